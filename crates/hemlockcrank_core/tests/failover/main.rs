//! Changes of primary: exhaustive exploration and single decisions.

#![expect(
    clippy::print_stdout,
    reason = "state counts and seeds are part of the report"
)]

mod arbiter;
mod explore;
