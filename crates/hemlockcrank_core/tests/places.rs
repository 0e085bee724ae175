//! Few connections, many workspaces: who keeps a connection, who waits, who takes a place.

use hemlockcrank_core::{
    Name,
    connections::{ConnectionId, Connections, Release, Take},
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

fn open(places: &mut Connections, now: u64, workspace: &str) -> ConnectionId {
    let workspace = Name::from(workspace);
    assert_eq!(places.take(now, &workspace, 0, false), Take::Open);
    places.opened(now, workspace)
}

#[test]
fn a_free_connection_of_the_workspace_is_used_again() {
    let mut places = Connections::new(2);
    let link = open(&mut places, 0, "a");
    places.release(1, link);

    assert_eq!(places.take(2, &"a".into(), 0, false), Take::Reuse(link));
}

#[test]
fn a_workspace_waits_for_its_own_connection_and_gets_it() {
    let mut places = Connections::new(2);
    let own = open(&mut places, 0, "a");
    let other = open(&mut places, 0, "b");
    places.release(1, other);

    assert_eq!(places.take(2, &"a".into(), 0, false), Take::Wait);
    let ticket = places.wait("a".into(), 1).expect("room to wait");

    assert_eq!(places.release(3, own), Release::Give(ticket));
}

#[test]
fn a_session_that_has_waited_takes_a_free_place() {
    let mut places = Connections::new(2);
    open(&mut places, 0, "a");
    let other = open(&mut places, 0, "b");
    places.release(1, other);

    assert_eq!(places.take(2, &"a".into(), 0, true), Take::Replace(other));
}

#[test]
fn the_place_of_the_least_used_workspace_is_taken() {
    let mut places = Connections::new(2);
    let loud = open(&mut places, 0, "loud");
    let quiet = open(&mut places, 0, "quiet");
    places.release(1, quiet);
    places.release(2, loud);
    for now in 3..20 {
        assert_eq!(
            places.take(now, &"loud".into(), 0, false),
            Take::Reuse(loud)
        );
        places.release(now, loud);
    }

    let taken = places.take(30, &"new".into(), 0, false);

    assert_eq!(taken, Take::Replace(quiet));
}

#[test]
fn a_waiting_session_of_a_higher_rank_goes_first() {
    let mut places = Connections::new(1);
    let link = open(&mut places, 0, "a");
    places.wait("a".into(), 2).expect("room");
    let high = places.wait("b".into(), 1).expect("room");

    assert_eq!(places.release(1, link), Release::Replace("b".into()));
    let fresh = places.opened(2, "b".into());
    assert_eq!(places.release(2, fresh), Release::Give(high));
}

#[test]
fn a_place_that_did_not_open_goes_to_the_next() {
    let mut places = Connections::new(1);
    assert_eq!(places.take(0, &"a".into(), 0, false), Take::Open);
    places.wait("b".into(), 1).expect("room");

    assert_eq!(places.open_failed(1, &"a".into()), Some("b".into()));
}

/// A member that takes long to open: sessions give up and come again, and each used to begin one more
/// connection, until the member did nothing but open them.
#[test]
fn one_connection_a_workspace_is_opened_however_many_sessions_come() {
    let mut places = Connections::new(8);
    let mut begun = 0;
    for now in 0..500 {
        if places.take(now, &"a".into(), 0, now % 2 == 0) == Take::Open {
            begun += 1;
        }
        if let Some(ticket) = places.wait("a".into(), 1) {
            places.cancel(ticket);
        }
    }
    let link = places.opened(500, "a".into());

    assert_eq!(begun, 1);
    assert_eq!(
        places.release(500, link),
        Release::Keep,
        "its session has gone"
    );
    assert_eq!(places.take(501, &"a".into(), 0, false), Take::Reuse(link));
}

#[test]
fn few_connections_are_opened_at_once() {
    let mut places = Connections::new(8);
    let taken = ["a", "b", "c", "d"].map(|name| places.take(0, &name.into(), 0, true));

    assert_eq!(taken, [Take::Open, Take::Open, Take::Wait, Take::Wait]);
}

/// Hosts that left for a while had lent their places to the others; when they come back, a member refuses
/// them as long as the others keep what they have.
#[test]
fn free_connections_over_the_room_are_closed_and_busy_ones_when_they_come_free() {
    let mut places = Connections::new(3);
    let links = ["a", "b"].map(|name| open(&mut places, 0, name));
    let busy = open(&mut places, 0, "c");
    for link in links {
        places.release(1, link);
    }

    places.set_capacity(1);
    let first = places.trim(2);
    let before = places.trim(3);
    places.set_capacity(0);
    places.release(4, busy);

    assert_eq!(first.len(), 2, "the busy one stays");
    assert!(before.is_empty());
    assert_eq!(places.trim(5), [busy]);
}

/// Eight workspaces of unequal size before three connections: the load of one host at one member. Counts
/// how many statements open a connection, and that there are never more than three.
#[test]
fn large_workspaces_keep_their_connections() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut places = Connections::new(3);
    let mut busy: Vec<(u64, ConnectionId)> = Vec::new();
    let mut opened = 0_u32;
    let mut served = 0_u32;
    for now in (0..60_000).step_by(10) {
        let (done, still): (Vec<_>, Vec<_>) = busy.into_iter().partition(|(end, _)| *end <= now);
        busy = still;
        for (_, link) in done {
            assert_eq!(
                places.release(now, link),
                Release::Keep,
                "nobody waits here"
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
        let link = match places.take(now, &workspace, 0, false) {
            Take::Reuse(link) => link,
            Take::Open | Take::Replace(_) => {
                opened += 1;
                places.opened(now, workspace)
            }
            Take::Wait => continue,
        };
        served += 1;
        busy.push((now + 20, link));
        assert!(busy.len() <= 3);
    }

    assert!(
        opened * 100 < served * 45,
        "{opened} of {served} opened one"
    );
}

/// Sessions of many workspaces press on two places; returns how often a place changed hands in the third
/// second. An opening takes 12 ms and `queue_ms` more.
fn count_changes(queue_ms: u64) -> u64 {
    let names: Vec<Name> = (0..8).map(|number| format!("w{number}").into()).collect();
    let mut places = Connections::new(2);
    for name in &names[..2] {
        assert_eq!(places.take(0, name, 0, false), Take::Open);
        let link = places.opened(12, name.clone());
        places.release(12, link);
    }
    let mut changes = 0;
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
            .map(|(_, link): &(u64, ConnectionId)| *link)
            .collect();
        let opened: Vec<(u64, Name)> = opened;
        free.extend(opened.into_iter().map(|(_, name)| places.opened(now, name)));
        for link in free {
            match places.release(now, link) {
                Release::Keep => {}
                Release::Give(_) => busy.push((now + 10, link)),
                Release::Replace(name) => {
                    changes += u64::from(counted);
                    opening.push((now + 12 + queue_ms, name));
                }
            }
        }
        if now % 10 != 0 {
            continue;
        }
        let name = &names[(now / 10 % 8) as usize];
        match places.take(now, name, 0, false) {
            Take::Reuse(link) => busy.push((now + 10, link)),
            Take::Open => opening.push((now + 12 + queue_ms, name.clone())),
            Take::Replace(_) => {
                changes += u64::from(counted);
                opening.push((now + 12 + queue_ms, name.clone()));
            }
            Take::Wait => {
                places.wait(name.clone(), 0);
            }
        }
    }
    changes
}

#[test]
fn places_of_a_busy_member_change_hands_seldom() {
    let idle = count_changes(0);
    let busy = count_changes(30);

    assert!(idle >= 30, "{idle} changes at an idle member");
    assert!(busy <= 6, "{busy} changes at a busy member");
}
