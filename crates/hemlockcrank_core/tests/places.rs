//! Many workspaces compete for few connections: which one keeps, waits for, or replaces a connection.

use hemlockcrank_core::{
    Name,
    connections::{ConnectionId, Connections, Release, Take},
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

fn open(connections: &mut Connections, now: u64, workspace: &str) -> ConnectionId {
    let workspace = Name::from(workspace);
    assert_eq!(connections.take(now, &workspace, 0, false), Take::Open);
    connections.opened(now, workspace)
}

#[test]
fn a_free_connection_of_the_workspace_is_used_again() {
    let mut connections = Connections::new(2);
    let id = open(&mut connections, 0, "a");
    connections.release(1, id);

    assert_eq!(connections.take(2, &"a".into(), 0, false), Take::Reuse(id));
}

#[test]
fn a_workspace_waits_for_its_own_connection_and_gets_it() {
    let mut connections = Connections::new(2);
    let own = open(&mut connections, 0, "a");
    let other = open(&mut connections, 0, "b");
    connections.release(1, other);

    assert_eq!(connections.take(2, &"a".into(), 0, false), Take::Wait);
    let ticket = connections.wait("a".into(), 1).expect("the queue has room");

    assert_eq!(connections.release(3, own), Release::Give(ticket));
}

#[test]
fn a_session_that_has_waited_replaces_a_free_connection() {
    let mut connections = Connections::new(2);
    open(&mut connections, 0, "a");
    let other = open(&mut connections, 0, "b");
    connections.release(1, other);

    assert_eq!(
        connections.take(2, &"a".into(), 0, true),
        Take::Replace(other)
    );
}

#[test]
fn the_connection_of_the_least_used_workspace_is_replaced() {
    let mut connections = Connections::new(2);
    let loud = open(&mut connections, 0, "loud");
    let quiet = open(&mut connections, 0, "quiet");
    connections.release(1, quiet);
    connections.release(2, loud);
    for now in 3..20 {
        assert_eq!(
            connections.take(now, &"loud".into(), 0, false),
            Take::Reuse(loud)
        );
        connections.release(now, loud);
    }

    let take = connections.take(30, &"new".into(), 0, false);

    assert_eq!(take, Take::Replace(quiet));
}

#[test]
fn a_waiting_session_of_a_lower_rank_goes_first() {
    let mut connections = Connections::new(1);
    let id = open(&mut connections, 0, "a");
    connections.wait("a".into(), 2).expect("the queue has room");
    let first = connections.wait("b".into(), 1).expect("the queue has room");

    assert_eq!(connections.release(1, id), Release::Replace("b".into()));
    let opened = connections.opened(2, "b".into());
    assert_eq!(connections.release(2, opened), Release::Give(first));
}

#[test]
fn after_a_failed_opening_one_begins_for_the_next_session() {
    let mut connections = Connections::new(1);
    assert_eq!(connections.take(0, &"a".into(), 0, false), Take::Open);
    connections.wait("b".into(), 1).expect("the queue has room");

    assert_eq!(connections.open_failed(1, &"a".into()), Some("b".into()));
}

/// Guards against a pile-up at a member that is slow to open connections: sessions gave up and came again,
/// and each began to open one more connection, until the member did nothing but open them.
#[test]
fn only_one_connection_per_workspace_is_opening_for_any_number_of_sessions() {
    let mut connections = Connections::new(8);
    let mut openings = 0;
    for now in 0..500 {
        if connections.take(now, &"a".into(), 0, now % 2 == 0) == Take::Open {
            openings += 1;
        }
        if let Some(ticket) = connections.wait("a".into(), 1) {
            connections.cancel(ticket);
        }
    }
    let id = connections.opened(500, "a".into());

    assert_eq!(openings, 1);
    assert_eq!(
        connections.release(500, id),
        Release::Keep,
        "no session waits for it any more"
    );
    assert_eq!(
        connections.take(501, &"a".into(), 0, false),
        Take::Reuse(id)
    );
}

#[test]
fn few_connections_are_opened_at_once() {
    let mut connections = Connections::new(8);
    let results = ["a", "b", "c", "d"].map(|name| connections.take(0, &name.into(), 0, true));

    assert_eq!(results, [Take::Open, Take::Open, Take::Wait, Take::Wait]);
}

/// Guards against refusals after hosts return: while they were away, the other hosts opened connections in
/// their place, and the member refuses the returning hosts as long as the others keep those open.
#[test]
fn connections_over_the_capacity_are_closed_as_soon_as_they_are_free() {
    let mut connections = Connections::new(3);
    let ids = ["a", "b"].map(|name| open(&mut connections, 0, name));
    let busy = open(&mut connections, 0, "c");
    for id in ids {
        connections.release(1, id);
    }

    connections.set_capacity(1);
    let first = connections.trim(2);
    let second = connections.trim(3);
    connections.set_capacity(0);
    connections.release(4, busy);

    assert_eq!(first.len(), 2, "the busy connection stays");
    assert!(second.is_empty());
    assert_eq!(connections.trim(5), [busy]);
}

/// Eight workspaces of unequal size compete for three connections, as on one host for one member. Counts
/// how many statements open a connection, and checks that there are never more than three.
#[test]
fn large_workspaces_keep_their_connections() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut connections = Connections::new(3);
    let mut busy: Vec<(u64, ConnectionId)> = Vec::new();
    let mut opened = 0_u32;
    let mut served = 0_u32;
    for now in (0..60_000).step_by(10) {
        let (done, running): (Vec<_>, Vec<_>) = busy.into_iter().partition(|(end, _)| *end <= now);
        busy = running;
        for (_, id) in done {
            assert_eq!(
                connections.release(now, id),
                Release::Keep,
                "no session waits in this test"
            );
        }
        if !random.next_u32().is_multiple_of(4) {
            continue;
        }
        let draw = random.next_u32() % 100;
        let workspace: Name = match draw {
            0..40 => "large-1".into(),
            40..75 => "large-2".into(),
            _ => format!("small-{}", draw % 6).into(),
        };
        let id = match connections.take(now, &workspace, 0, false) {
            Take::Reuse(id) => id,
            Take::Open | Take::Replace(_) => {
                opened += 1;
                connections.opened(now, workspace)
            }
            Take::Wait => continue,
        };
        served += 1;
        busy.push((now + 20, id));
        assert!(busy.len() <= 3);
    }

    assert!(
        opened * 100 < served * 45,
        "{opened} of {served} statements opened a connection"
    );
}

/// Sessions of many workspaces compete for two connections; returns how often a connection was replaced in
/// the third second. An opening takes 12 ms and `queue_ms` more.
fn count_replacements(queue_ms: u64) -> u64 {
    let names: Vec<Name> = (0..8).map(|number| format!("w{number}").into()).collect();
    let mut connections = Connections::new(2);
    for name in &names[..2] {
        assert_eq!(connections.take(0, name, 0, false), Take::Open);
        let id = connections.opened(12, name.clone());
        connections.release(12, id);
    }
    let mut replacements = 0;
    let mut busy: Vec<(u64, ConnectionId)> = Vec::new();
    let mut opening: Vec<(u64, Name)> = Vec::new();
    for now in 100..3_000 {
        let counted = now >= 2_000;
        let (done, rest) = busy.into_iter().partition(|(until, _)| *until <= now);
        busy = rest;
        let (opened, rest) = opening.into_iter().partition(|(until, _)| *until <= now);
        opening = rest;
        let mut free: Vec<ConnectionId> = done
            .iter()
            .map(|(_, id): &(u64, ConnectionId)| *id)
            .collect();
        let opened: Vec<(u64, Name)> = opened;
        free.extend(
            opened
                .into_iter()
                .map(|(_, name)| connections.opened(now, name)),
        );
        for id in free {
            match connections.release(now, id) {
                Release::Keep => {}
                Release::Give(_) => busy.push((now + 10, id)),
                Release::Replace(name) => {
                    replacements += u64::from(counted);
                    opening.push((now + 12 + queue_ms, name));
                }
            }
        }
        if now % 10 != 0 {
            continue;
        }
        let name = &names[(now / 10 % 8) as usize];
        match connections.take(now, name, 0, false) {
            Take::Reuse(id) => busy.push((now + 10, id)),
            Take::Open => opening.push((now + 12 + queue_ms, name.clone())),
            Take::Replace(_) => {
                replacements += u64::from(counted);
                opening.push((now + 12 + queue_ms, name.clone()));
            }
            Take::Wait => {
                connections.wait(name.clone(), 0);
            }
        }
    }
    replacements
}

#[test]
fn connections_to_a_busy_member_are_seldom_replaced() {
    let idle = count_replacements(0);
    let busy = count_replacements(30);

    assert!(idle >= 30, "{idle} replacements at an idle member");
    assert!(busy <= 6, "{busy} replacements at a busy member");
}
