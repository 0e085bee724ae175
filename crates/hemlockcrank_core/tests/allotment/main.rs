//! Fleet-wide rate limits: exhaustive exploration and long seeded runs.

#![expect(
    clippy::print_stdout,
    reason = "state counts and seeds are part of the report"
)]

mod explore;
mod fleet;
mod overload;
mod portions;
mod random;
mod turns;
