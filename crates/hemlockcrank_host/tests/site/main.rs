//! Tests of whole sites on loopback: guarantees to callers and operators under failures of hosts,
//! members, disks and the network.

mod control;
mod disks;
mod failover;
mod faults;
mod fixture;
mod leaving;
mod limits;
mod partitions;
mod protocol;
mod requests;
mod sessions;
