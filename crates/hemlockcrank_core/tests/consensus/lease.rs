//! Leader leases: explores all states with discrete time and checks that no two nodes have a valid
//! lease at once.

use hemlockcrank_core::consensus::{Input, Node, Timing};

use crate::{
    cluster::{Cluster, InjectedBug},
    reach::explore_states,
};

/// Length of one time step.
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
    /// Time steps that remain.
    time_steps: u8,
    /// Restarts that remain.
    restarts: u8,
    /// Steps of any kind that remain.
    depth: u8,
}

/// A cluster whose leader `a` has replicated to both followers, at time 1000.
fn cluster_with_leader(bug: InjectedBug) -> Cluster {
    let mut cluster = Cluster::new(&["a", "b", "c"], timing(), bug);
    cluster.now = 1_000;
    cluster.input(0, Input::Campaign).expect("campaign");
    while let Some(envelope) = cluster.network.iter().next().cloned() {
        cluster.deliver(&envelope).expect("deliver");
    }
    assert_eq!(cluster.leader(), Some(0));
    cluster
}

fn check_leases(cluster: &Cluster) -> Result<(), String> {
    let has_lease = |node: &Node| node.lease_until().is_some_and(|until| cluster.now < until);
    let nodes = cluster.hosts.iter().filter_map(|host| host.node.as_ref());
    let leases = nodes.filter(|node| has_lease(node)).count();
    if leases > 1 {
        return Err(format!("{leases} leases at {}", cluster.now));
    }
    Ok(())
}

fn successors(state: &State) -> Result<Vec<State>, String> {
    let mut next = Vec::new();
    if state.depth == 0 {
        return Ok(next);
    }
    let mut branch = |step: &dyn Fn(&mut State) -> Result<(), String>| {
        let mut copy = state.clone();
        copy.depth -= 1;
        step(&mut copy)?;
        check_leases(&copy.cluster)?;
        next.push(copy);
        Ok::<(), String>(())
    };
    for envelope in &state.cluster.network {
        branch(&|s| s.cluster.deliver(envelope))?;
    }
    if state.time_steps > 0 {
        // On paths that deliver none of its messages, `a` is partitioned. `b` ticks first.
        branch(&|s| {
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
            branch(&|s| {
                s.restarts -= 1;
                s.cluster.crash(index);
                s.cluster.restart(index);
                Ok(())
            })?;
        }
    }
    Ok(next)
}

fn explore(depth: u8, bug: InjectedBug) -> (usize, Option<String>) {
    let start = State {
        cluster: cluster_with_leader(bug),
        time_steps: 3,
        restarts: 2,
        depth,
    };
    explore_states(start, successors)
}

#[test]
fn no_two_nodes_have_a_valid_lease_at_once() {
    let (states, violation) = explore(9, InjectedBug::None);
    println!("explored {states} states");
    assert_eq!(violation, None);
    assert!(states > 10_000, "only {states} states were explored");
}

#[test]
fn a_restarted_node_that_votes_immediately_is_detected() {
    let (states, violation) = explore(14, InjectedBug::VotesImmediately);
    println!("detected after {states} states");
    assert!(violation.is_some_and(|violation| violation.contains("leases at")));
}
