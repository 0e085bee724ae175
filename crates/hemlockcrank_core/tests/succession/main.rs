//! Changes of primary in a group that replicates by itself.

mod model;
mod random;
mod steps;
