//! Fleet-wide rates: exhaustive exploration, and long seeded runs.

mod explore;
mod fleet;
mod random;
