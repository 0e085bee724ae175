//! Reports of usage: what hosts count, what leaders commit and send, and true time.

mod bad_input;
mod collecting;
mod leaders;
mod model;
mod true_time;
