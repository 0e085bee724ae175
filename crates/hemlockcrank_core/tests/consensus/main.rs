//! The control group's protocol: exhaustive exploration of small groups, and long seeded runs.

mod cluster;
mod explore;
mod lease;
mod random;
mod steps;
