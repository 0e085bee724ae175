//! Loads of a large site, without a network.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    connections::{Capacity, Connections, Fleet, Release, Take},
    floor::{Floor, Sample},
    observation::Observation,
    session::Position,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

const HOSTS: usize = 294;
const WORKSPACES: u64 = 190;
const ACCEPTED: usize = 180;
/// Time that a connection takes to open, and a statement to run, in milliseconds.
const OPEN_MS: u64 = 12;
const RUN_MS: u64 = 24;
const SEED: u64 = 20_261_205;

/// Runs 20 s of statements at one member, from all hosts in turn; returns the largest number of open
/// connections and the number of sessions that got none.
fn run(statements_per_s: u64) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let fleet = Fleet {
        connections: ACCEPTED as u64,
        hosts: HOSTS as u64,
    };
    let capacity = Capacity::new(fleet, Some(0));
    let mut hosts: Vec<Connections> = (0..HOSTS).map(|_| Connections::new(capacity)).collect();
    let mut open = vec![0_usize; HOSTS];
    let mut ends: BTreeMap<u64, Vec<(usize, u64)>> = BTreeMap::new();
    let (mut most, mut refused) = (0, 0);
    for now in 0..20_000_u64 {
        for (host, id) in ends.remove(&now).unwrap_or_default() {
            assert_eq!(hosts[host].release(now, id), Release::Keep);
        }
        for (host, connections) in hosts.iter_mut().enumerate() {
            open[host] -= connections.take_idle(now).len();
        }
        if random.next_u64() % 1_000 >= statements_per_s {
            continue;
        }
        let host = (random.next_u64() % HOSTS as u64) as usize;
        // Few workspaces are large.
        let workspace = (random.next_u64() % WORKSPACES) * (random.next_u64() % WORKSPACES);
        let workspace = format!("workspace-{}", workspace / WORKSPACES).into();
        let (id, ready_at) = match hosts[host].take(now, &workspace, 0, true) {
            Take::Reuse(id) => (id, now),
            Take::Open => {
                open[host] += 1;
                (hosts[host].opened(now, workspace), now + OPEN_MS)
            }
            Take::Replace(_) => (hosts[host].opened(now, workspace), now + OPEN_MS),
            Take::Wait => {
                refused += 1;
                continue;
            }
        };
        ends.entry(ready_at + RUN_MS).or_default().push((host, id));
        most = most.max(open.iter().sum());
    }
    (most, refused)
}

/// Pattern: more hosts than connections, at the mean load of a member and at five times that. Before,
/// each host kept one connection for good, and the member refused the hosts that came late.
#[test]
fn hosts_that_close_idle_connections_share_a_member_that_accepts_fewer_than_there_are_hosts() {
    for statements_per_s in [40, 200] {
        let (most, refused) = run(statements_per_s);

        assert!(
            most <= ACCEPTED,
            "{most} connections at {statements_per_s}/s"
        );
        assert_eq!(refused, 0, "at {statements_per_s}/s");
    }
}

#[test]
fn hosts_with_connections_enough_keep_them() {
    let fleet = Fleet {
        connections: 34,
        hosts: 6,
    };

    let mut connections = Connections::new(Capacity::new(fleet, Some(5)));
    assert_eq!(connections.take(0, &"w".into(), 0, false), Take::Open);
    let id = connections.opened(12, "w".into());
    connections.release(20, id);

    assert!(connections.take_idle(1_000_000).is_empty());
    assert_eq!(Capacity::new(fleet, None).connections, 5);
}

/// Pattern: a site with many services of which a host uses few. It reports those alone, and carries no
/// samples that are too old for any read.
#[test]
fn what_nobody_uses_is_not_reported() {
    let used = |operations, acknowledged| Observation {
        service: "ledger".into(),
        term: 1,
        failing_ms: None,
        served_ms: None,
        acknowledged,
        released: None,
        operations,
        sample: None,
    };
    let mut floor = Floor::default();
    let sample = Sample {
        at: 1_000,
        position: Position::new(1, 4),
    };
    floor.add(1, sample);

    assert!(used(0, Position::default()).is_empty());
    assert!(!used(16, Position::default()).is_empty());
    assert!(!used(0, Position::new(1, 4)).is_empty());
    assert_eq!(floor.newest_usable(5_000), Some((1, sample)));
    assert_eq!(floor.newest_usable(7_000), None);
}
