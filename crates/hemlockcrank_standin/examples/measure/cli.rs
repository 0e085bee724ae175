//! Command line flags.

xflags::xflags! {
    /// Measures on loopback, with stand-in databases.
    cmd measure {
        /// What to measure.
        required name: String
        /// Prints JSON.
        optional --json
    }
}
