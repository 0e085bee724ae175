//! Leader leases: no two nodes hold one at the same time, explored with discrete time.

use hemlockcrank_core::consensus::{Input, Node, Timing};

use crate::{
    cluster::{Cluster, Plant},
    reach::walk,
};

/// Length of a step of time.
const STEP_MS: u64 = 20;

fn timing() -> Timing {
    Timing {
        heartbeat_ms: 20,
        election_min_ms: 40,
        election_spread_ms: 0,
        voter_timeout_ms: 10_000,
        target_voters: 3,
        max_entries: 1,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    cluster: Cluster,
    time_steps: u8,
    restarts: u8,
    depth: u8,
}

/// A settled leader, `a`, that everybody has heard at time 0.
fn with_leader(plant: Plant) -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], timing(), plant);
    cluster.now = 1_000;
    cluster.input(0, Input::Campaign).expect("campaign");
    while let Some(envelope) = cluster.network.iter().next().cloned() {
        cluster.deliver(&envelope).expect("deliver");
    }
    assert_eq!(cluster.leader(), Some(0));
    cluster
}

fn check(cluster: &Cluster) -> Result<(), String> {
    let holds = |node: &Node| node.lease_until().is_some_and(|until| cluster.now < until);
    let nodes = cluster.hosts.iter().filter_map(|host| host.node.as_ref());
    let holders = nodes.filter(|node| holds(node)).count();
    if holders > 1 {
        return Err(format!("{holders} leases at {}", cluster.now));
    }
    Ok(())
}

fn successors(state: &State) -> Result<Vec<State>, String> {
    let mut next = Vec::new();
    if state.depth == 0 {
        return Ok(next);
    }
    let mut take = |step: &dyn Fn(&mut State) -> Result<(), String>| {
        let mut copy = state.clone();
        copy.depth -= 1;
        step(&mut copy)?;
        check(&copy.cluster)?;
        next.push(copy);
        Ok::<(), String>(())
    };
    for envelope in &state.cluster.network {
        take(&|s| s.cluster.deliver(envelope))?;
    }
    if state.time_steps > 0 {
        // `a` may be cut off: its messages stay undelivered on other paths. `b` ticks first.
        take(&|s| {
            s.time_steps -= 1;
            s.cluster.now += STEP_MS;
            for index in [1, 2, 0] {
                s.cluster.input(index, Input::Tick { random: 0 })?;
            }
            Ok(())
        })?;
    }
    if state.restarts > 0 {
        for index in [1, 2] {
            take(&|s| {
                s.restarts -= 1;
                s.cluster.crash(index);
                s.cluster.restart(index);
                Ok(())
            })?;
        }
    }
    Ok(next)
}

fn explore(depth: u8, plant: Plant) -> (usize, Option<String>) {
    let start = State {
        cluster: with_leader(plant),
        time_steps: 3,
        restarts: 2,
        depth,
    };
    walk(start, successors)
}

#[test]
fn no_two_nodes_hold_a_lease_at_once() {
    let (states, violation) = explore(9, Plant::Nothing);
    println!("explored {states} states");
    assert_eq!(violation, None);
    assert!(states > 10_000, "{states} states are too few to mean much");
}

#[test]
fn a_restarted_node_that_votes_at_once_is_caught() {
    let (states, violation) = explore(14, Plant::VotesAtOnce);
    println!("caught after {states} states");
    assert!(violation.is_some_and(|found| found.contains("leases at")));
}
