//! Tests of the control group's protocol: exhaustive exploration of small groups, and long seeded
//! runs.

#![expect(
    clippy::print_stdout,
    reason = "state counts and seeds are part of the report"
)]

mod cluster;
mod explore;
mod lease;
mod random;
mod reach;
mod steps;
