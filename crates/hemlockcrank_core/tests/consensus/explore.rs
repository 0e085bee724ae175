//! Every reachable state of three nodes within bounds, over real node states.

use hemlockcrank_core::consensus::{Input, Timing};

use crate::{
    cluster::{Cluster, Plant},
    reach::walk,
};

/// How often each kind of step may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    campaigns: u8,
    proposals: u8,
    crashes: u8,
    /// Longest path that is followed.
    depth: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    cluster: Cluster,
    left: Bounds,
}

/// Time stands still and elections are steps of their own, so no message is refused for being early.
fn timeless() -> Timing {
    Timing {
        heartbeat_ms: 0,
        election_min_ms: 0,
        election_spread_ms: 0,
        voter_timeout_ms: 0,
        target_voters: 3,
        max_entries: 2,
    }
}

fn successors(state: &State) -> Result<Vec<State>, String> {
    let mut next = Vec::new();
    if state.left.depth == 0 {
        return Ok(next);
    }
    let mut take = |step: &dyn Fn(&mut State) -> Result<(), String>| {
        let mut copy = state.clone();
        copy.left.depth -= 1;
        step(&mut copy)?;
        next.push(copy);
        Ok::<(), String>(())
    };
    for envelope in &state.cluster.network {
        take(&|s| s.cluster.deliver(envelope))?;
    }
    for index in 0..state.cluster.hosts.len() {
        if state.left.campaigns > 0 {
            take(&|s| {
                s.left.campaigns -= 1;
                s.cluster.input(index, Input::Campaign)
            })?;
        }
        if state.left.proposals > 0 && state.cluster.leader() == Some(index) {
            take(&|s| {
                s.left.proposals -= 1;
                s.cluster.propose(index, b"x")
            })?;
        }
        if state.left.crashes > 0 {
            take(&|s| {
                s.left.crashes -= 1;
                s.cluster.crash(index);
                s.cluster.restart(index);
                Ok(())
            })?;
        }
    }
    Ok(next)
}

/// Walks all states; returns their number and the first violation.
fn explore(bounds: Bounds, plant: Plant) -> (usize, Option<String>) {
    let start = State {
        cluster: Cluster::new(&["a", "b", "c"], timeless(), plant),
        left: bounds,
    };
    walk(start, successors)
}

const BOUNDS: Bounds = Bounds {
    campaigns: 2,
    proposals: 1,
    crashes: 1,
    depth: 9,
};

#[test]
fn no_reachable_state_breaks_an_invariant() {
    let (states, violation) = explore(BOUNDS, Plant::Nothing);
    println!("explored {states} states within {BOUNDS:?}");
    assert_eq!(violation, None);
    assert!(states > 10_000, "{states} states are too few to mean much");
}

#[test]
fn a_vote_that_is_not_on_disk_is_caught() {
    let (states, violation) = explore(BOUNDS, Plant::LosesVotes);
    println!("caught after {states} states");
    assert_eq!(violation.as_deref(), Some("two leaders in term 1"));
}

#[test]
fn an_entry_that_is_not_on_disk_is_caught() {
    let bounds = Bounds {
        proposals: 0,
        depth: 12,
        ..BOUNDS
    };
    let (states, violation) = explore(bounds, Plant::LosesEntries);
    println!("caught after {states} states");
    let found = violation.unwrap_or_default();
    assert!(
        found.contains("lacks committed") || found.contains("two ways"),
        "{found}"
    );
}
