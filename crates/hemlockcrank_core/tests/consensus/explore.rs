//! Explores every state that three nodes can reach within bounds, with the real implementation.

use hemlockcrank_core::consensus::{Input, Timing};

use crate::{
    cluster::{Cluster, InjectedBug},
    reach::explore_states,
};

/// How many steps of each kind a path may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    campaigns: u8,
    proposals: u8,
    crashes: u8,
    /// Maximum length of a path.
    depth: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    cluster: Cluster,
    remaining: Bounds,
}

/// Timing of a model without time: elections are explicit steps, and as the timeouts are 0, no vote
/// is refused because of a recent leader.
fn zero_timing() -> Timing {
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
    if state.remaining.depth == 0 {
        return Ok(next);
    }
    let mut branch = |step: &dyn Fn(&mut State) -> Result<(), String>| {
        let mut copy = state.clone();
        copy.remaining.depth -= 1;
        step(&mut copy)?;
        next.push(copy);
        Ok::<(), String>(())
    };
    for envelope in &state.cluster.network {
        branch(&|s| s.cluster.deliver(envelope))?;
    }
    for index in 0..state.cluster.hosts.len() {
        if state.remaining.campaigns > 0 {
            branch(&|s| {
                s.remaining.campaigns -= 1;
                s.cluster.input(index, Input::Campaign)
            })?;
        }
        if state.remaining.proposals > 0 && state.cluster.leader() == Some(index) {
            branch(&|s| {
                s.remaining.proposals -= 1;
                s.cluster.propose(index, b"x")
            })?;
        }
        if state.remaining.crashes > 0 {
            branch(&|s| {
                s.remaining.crashes -= 1;
                s.cluster.crash(index);
                s.cluster.restart(index);
                Ok(())
            })?;
        }
    }
    Ok(next)
}

/// Explores all states within `bounds`; returns their number and the first violation.
fn explore(bounds: Bounds, bug: InjectedBug) -> (usize, Option<String>) {
    let start = State {
        cluster: Cluster::new(&["a", "b", "c"], zero_timing(), bug),
        remaining: bounds,
    };
    explore_states(start, successors)
}

const BOUNDS: Bounds = Bounds {
    campaigns: 2,
    proposals: 1,
    crashes: 1,
    depth: 9,
};

#[test]
fn no_reachable_state_breaks_an_invariant() {
    let (states, violation) = explore(BOUNDS, InjectedBug::None);
    println!("explored {states} states within {BOUNDS:?}");
    assert_eq!(violation, None);
    assert!(states > 10_000, "only {states} states were explored");
}

#[test]
fn a_vote_that_is_not_on_disk_is_detected() {
    let (states, violation) = explore(BOUNDS, InjectedBug::LosesVote);
    println!("detected after {states} states");
    assert_eq!(violation.as_deref(), Some("two leaders in term 1"));
}

#[test]
fn an_entry_that_is_not_on_disk_is_detected() {
    let bounds = Bounds {
        proposals: 0,
        depth: 12,
        ..BOUNDS
    };
    let (states, violation) = explore(bounds, InjectedBug::LosesEntries);
    println!("detected after {states} states");
    let violation = violation.unwrap_or_default();
    assert!(
        violation.contains("lacks committed") || violation.contains("two ways"),
        "{violation}"
    );
}
