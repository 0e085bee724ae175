//! Hosts that follow the control log, directly and through relays.

mod load;
mod parent;
mod relays;
mod updates;
