//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Operates hemlockcrank through any of its hosts.
    ///
    /// Exit status: 0 done, 1 the host failed or was not reached, 2 bad arguments or input,
    /// 3 the change was refused, 4 accepted but not in force everywhere in time.
    cmd hemlockctl {
        /// Operator address of a host, also from HEMLOCKCRANK_HOST.
        optional --host address: String
        /// File with the operator token; else HEMLOCKCRANK_TOKEN holds the token.
        optional --token-file file: PathBuf
        /// Prints JSON.
        optional --json

        /// Submits a new record.
        ///
        /// Example: hemlockctl submit rate teclado rate.json --wait
        cmd submit {
            /// workspace, key, rate, service, zone or database.
            required kind: String
            /// Name of the record.
            required name: String
            /// File with the record in JSON; standard input if left out.
            optional file: PathBuf
            /// Schema version of the file, 1 or 2; 1 if left out.
            optional --schema version: u32
            /// Operation id; sending again with the same one is safe.
            optional --op id: String
            /// Waits until the change is in force on every live host.
            optional --wait
        }
        /// Replaces a record.
        ///
        /// Example: hemlockctl revise rate teclado rate.json --revision 3
        cmd revise {
            /// Kind of the record.
            required kind: String
            /// Name of the record.
            required name: String
            /// File with the record in JSON; standard input if left out.
            optional file: PathBuf
            /// Revision that the change is based on.
            required --revision number: u64
            /// Schema version of the file, 1 or 2; 1 if left out.
            optional --schema version: u32
            /// Operation id; sending again with the same one is safe.
            optional --op id: String
            /// Waits until the change is in force on every live host.
            optional --wait
        }
        /// Takes a record out of force.
        ///
        /// Example: hemlockctl withdraw key teclado-1 --revision 1 --wait
        cmd withdraw {
            /// Kind of the record.
            required kind: String
            /// Name of the record.
            required name: String
            /// Revision that the change is based on.
            required --revision number: u64
            /// Operation id; sending again with the same one is safe.
            optional --op id: String
            /// Waits until the change is in force on every live host.
            optional --wait
        }
        /// Shows all records, or one.
        ///
        /// Example: hemlockctl get rate teclado
        cmd get {
            /// Kind of the record.
            optional kind: String
            /// Name of the record.
            optional name: String
        }
        /// Shows the control group and all live hosts.
        ///
        /// Example: hemlockctl status --json
        cmd status {}
        /// Shows databases, members and primaries.
        ///
        /// Example: hemlockctl databases
        cmd databases {}
        /// Makes a member primary, without losing a write.
        ///
        /// Example: hemlockctl switchover ledger-1 ledger-1-m2
        cmd switchover {
            /// Database.
            required database: String
            /// Member that should become primary.
            required member: String
        }
        /// Shows recent events of all hosts in causal order.
        ///
        /// Example: hemlockctl timeline --field database=ledger-1
        cmd timeline {
            /// Only events of this host.
            optional --of host: String
            /// Only events with this field, as NAME=VALUE; may be given again.
            repeated --field pair: String
        }
        /// Checks a settings file, or with --kind a record file, and names the line at fault.
        ///
        /// Example: hemlockctl check rate.json --kind rate --schema 2
        cmd check {
            /// File in JSON.
            required file: PathBuf
            /// Kind of the record in the file.
            optional --kind kind: String
            /// Schema version of the record, 1 or 2; 1 if left out.
            optional --schema version: u32
        }
    }
}
