//! The daemon's command line.

use std::path::PathBuf;

xflags::xflags! {
    /// A database proxy with session consistency.
    cmd hemlockcrank {
        /// Runs one host until it is told to stop.
        default cmd run {
            /// Settings file in JSON; see docs/SETTINGS.md.
            required --settings file: PathBuf
        }
        /// Checks a settings file and says what is wrong with it.
        cmd check {
            /// Settings file in JSON.
            required file: PathBuf
        }
        /// Prints the version.
        cmd version {}
    }
}
