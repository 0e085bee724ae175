//! # hemlockcrank
//!
//! The daemon.

pub mod pg;
