//! Whole sites on loopback: every promise of the brief, under the failures of the brief.

mod control;
mod failover;
mod fixture;
mod leaving;
mod limits;
mod partitions;
mod protocol;
mod requests;
mod sessions;
