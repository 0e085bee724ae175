//! Changes of primary in a group whose members replicate without help from the proxy.

mod calls;
mod copies;
mod late_calls;
mod late_orders;
mod model;
mod random;
mod steps;
