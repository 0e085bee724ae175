//! Configurations submitted whole, announcements and departures of members, floors and
//! observations.

use std::sync::Arc;

use hemlockcrank_core::{
    catalog::{Catalog, Draft, Freshness, Invalid, Route, Service, Workspace},
    floor::{Anchor, Floor, Sample, from_leader_age},
    group::{Age, Edit, Group, Groups, Lead, Member, Notice, Standing},
    membership::HostId,
    observation::{Observation, Observations},
    session::Position,
    state::{Command, Reply, State},
};

fn route(name: &str, database: &str) -> Route {
    Route {
        name: name.into(),
        database: database.into(),
        prefix: "/".into(),
        service: "s".into(),
        freshness: Freshness::Bounded,
        max_age_ms: 1_500,
        timeout_ms: 2_000,
        objective_ms: 600,
        priority: 2,
        open: false,
    }
}

fn draft(version: u64) -> Draft {
    let service = Service {
        name: "s".into(),
        connections: 21,
        sync_replicas: 1,
    };
    Draft {
        version,
        routes: vec![route("r1", "db1"), route("r2", "db2")],
        services: vec![service],
        workspaces: vec![workspace("w1", "k1"), workspace("w2", "k2")],
        ..Draft::default()
    }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        name: name.into(),
        keys: vec![key.into()],
        rate: None,
    }
}

fn notice(member: &str, port: u16, born: u64, seq: u64) -> Notice {
    Notice {
        service: "s".into(),
        member: member.into(),
        data: Member {
            address: ([127, 0, 0, 1], port).into(),
            zone: "z".into(),
            slots: 3,
            standing: Standing::Ready,
            age: Age { born, seq },
        },
        leads: false,
    }
}

fn apply(state: &mut State, command: &Command) -> Reply {
    state.apply(state.index + 1, Some(command))
}

fn announce(state: &mut State, notice: Notice) -> Reply {
    apply(state, &Command::Group(Edit::Announce(notice)))
}

fn members(groups: &Groups) -> Vec<&str> {
    let group = groups.get("s").expect("group");
    group.members.keys().map(|name| &**name).collect()
}

// -------------------------------------------------------------------------------------------------
// Configurations

#[test]
fn the_highest_version_wins_whatever_the_order() {
    let mut state = State::default();
    for version in [3, 7, 5, 7] {
        let catalog = Catalog::check(draft(version)).expect("valid");
        apply(&mut state, &Command::Catalog(Arc::new(catalog)));
    }

    assert_eq!(state.catalog.version(), 7);
}

#[test]
fn other_content_under_the_current_version_is_ignored() {
    let mut state = State::default();
    let first = Catalog::check(draft(3)).expect("valid");
    apply(&mut state, &Command::Catalog(Arc::new(first)));
    let mut other = draft(3);
    other.workspaces.clear();
    let other = Catalog::check(other).expect("valid");

    let reply = apply(&mut state, &Command::Catalog(Arc::new(other)));

    assert_eq!(reply, Reply::Stale);
    assert!(state.catalog.workspace_by_key("k1").is_some());
}

#[test]
fn contradictory_configurations_are_refused() {
    let mut shared_key = draft(1);
    shared_key.workspaces[1].keys.push("k1".into());
    let mut same_place = draft(1);
    same_place.routes[1].database = "db1".into();
    let mut unknown_service = draft(1);
    unknown_service.services.clear();
    let mut no_timeout = draft(1);
    no_timeout.routes[0].timeout_ms = 0;

    assert!(matches!(
        Catalog::check(shared_key),
        Err(Invalid::SharedKey { .. })
    ));
    assert!(matches!(
        Catalog::check(same_place),
        Err(Invalid::SamePlace { .. })
    ));
    assert!(matches!(
        Catalog::check(unknown_service),
        Err(Invalid::UnknownService { .. })
    ));
    assert!(matches!(
        Catalog::check(no_timeout),
        Err(Invalid::NoTimeout { .. })
    ));
}

#[test]
fn the_same_key_twice_in_one_workspace_is_no_contradiction() {
    let mut twice = draft(1);
    twice.workspaces[0].keys.push("k1".into());

    assert!(Catalog::check(twice).is_ok());
}

// -------------------------------------------------------------------------------------------------
// Members

#[test]
fn a_late_announcement_changes_nothing() {
    let mut state = State::default();
    announce(&mut state, notice("m", 1, 100, 9));
    let mut leaving = notice("m", 1, 100, 10);
    leaving.data.standing = Standing::Leaving;
    announce(&mut state, leaving);

    let reply = announce(&mut state, notice("m", 1, 100, 9));

    assert_eq!(reply, Reply::Stale);
    let (_, member) = state.groups.find("m").expect("member");
    assert_eq!(member.standing, Standing::Leaving);
}

#[test]
fn the_counter_of_a_restarted_member_starts_again() {
    let mut state = State::default();
    announce(&mut state, notice("m", 1, 100, 50));

    let reply = announce(&mut state, notice("m", 1, 200, 1));

    assert_eq!(reply, Reply::Done);
}

#[test]
fn an_address_belongs_to_the_member_that_started_there_last() {
    let mut state = State::default();
    announce(&mut state, notice("old", 1, 100, 5));
    announce(&mut state, notice("new", 1, 200, 1));

    let late = announce(&mut state, notice("old", 1, 100, 6));

    assert_eq!(late, Reply::Stale);
    assert_eq!(members(&state.groups), ["new"]);
}

/// After more departures than are remembered, a delayed announcement of a member that left lately is
/// still refused, whatever its name.
#[test]
fn the_oldest_departure_is_forgotten_first() {
    let mut state = State::default();
    for number in 0..600_u64 {
        let name = format!("{:03}", 999 - number);
        let member = notice(&name, 5_000, number + 1, 1);
        apply(&mut state, &Command::Group(Edit::Announce(member)));
        let depart = Edit::Depart {
            member: name.into(),
            age: Age {
                born: number + 1,
                seq: 9,
            },
        };
        apply(&mut state, &Command::Group(depart));
    }

    let recent = notice("401", 5_001, 599, 5);
    let reply = apply(&mut state, &Command::Group(Edit::Announce(recent)));

    assert_eq!(reply, Reply::Stale);
}

#[test]
fn a_late_announcement_does_not_add_a_departed_member_again() {
    let mut state = State::default();
    announce(&mut state, notice("m", 1, 100, 5));
    let age = Age {
        born: 100,
        seq: u64::MAX,
    };
    let member = "m".into();
    apply(&mut state, &Command::Group(Edit::Depart { member, age }));

    let late = announce(&mut state, notice("m", 1, 100, 6));
    let restarted = announce(&mut state, notice("m", 1, 200, 1));

    assert_eq!((late, restarted), (Reply::Stale, Reply::Done));
}

#[test]
fn a_repeated_announcement_changes_nothing() {
    let mut state = State::default();
    announce(&mut state, notice("m", 1, 100, 5));

    assert!(!state.groups.changes_member(&notice("m", 1, 100, 6)));
}

#[test]
fn a_term_never_decreases() {
    let mut state = State::default();
    announce(&mut state, notice("a", 1, 1, 1));
    announce(&mut state, notice("b", 2, 1, 1));
    let finish = |member: &str, term| {
        let lead = Lead {
            member: member.into(),
            term,
        };
        Command::Group(Edit::Finish {
            service: "s".into(),
            change: None,
            lead,
        })
    };
    apply(&mut state, &finish("a", 4));

    let reply = apply(&mut state, &finish("b", 3));

    assert_eq!(reply, Reply::Stale);
}

// -------------------------------------------------------------------------------------------------
// Floors

fn sample(at: u64, index: u64) -> Sample {
    Sample {
        at,
        position: Position::new(1, index),
    }
}

#[test]
fn a_floor_is_the_oldest_sample_that_is_recent_enough() {
    let mut floor = Floor::default();
    for (at, index) in [(1_000, 10), (1_500, 20), (2_000, 30)] {
        floor.add(1, sample(at, index));
    }

    assert_eq!(floor.at_or_after(1, 1_200), Some(Position::new(1, 20)));
    assert_eq!(floor.at_or_after(1, 2_100), None);
}

#[test]
fn samples_of_an_older_term_do_not_count_in_the_current_one() {
    let mut floor = Floor::default();
    floor.add(1, sample(1_000, 10));
    floor.add(2, sample(1_100, 11));
    floor.add(1, sample(1_200, 12));

    assert_eq!(floor.at_or_after(1, 900), None);
    assert_eq!(floor.at_or_after(2, 900), Some(Position::new(1, 11)));
}

#[test]
fn a_merged_sample_is_never_lower_than_its_parts() {
    let mut floor = Floor::default();
    floor.add(1, sample(1_000, 10));
    floor.add(1, sample(1_005, 15));

    assert_eq!(floor.at_or_after(1, 1_000), Some(Position::new(1, 15)));
}

/// However far clocks differ and messages are delayed, the time of a sample on another host is
/// never later than when the sample was taken.
#[test]
fn a_sample_carried_between_clocks_only_grows_older() {
    for (leader_ahead, delay) in [(0, 0), (5_000, 3), (90_000, 700), (17, 40_000)] {
        // In true time, the host receives the leader's answer at 100 and takes a sample at 250. The
        // leader receives the sample at 250 + delay. Another host sends a request at 300 + delay
        // and is answered at 305 + delay.
        let anchor = Anchor {
            leader_term: 1,
            leader_ms: 95 + leader_ahead,
            received_ms: 100,
        };
        let at_leader = anchor.to_leader_time(250).expect("after the anchor");
        assert!(at_leader <= 250 + leader_ahead);
        let answered_at = 305 + delay + leader_ahead;
        let age = answered_at - at_leader;

        let at_host = from_leader_age(300 + delay, age);

        assert!(
            at_host.is_none_or(|at| at <= 250),
            "{at_host:?} for {leader_ahead}, {delay}"
        );
    }
}

#[test]
fn a_sample_older_than_the_anchor_is_not_converted() {
    let anchor = Anchor {
        leader_term: 1,
        leader_ms: 0,
        received_ms: 100,
    };

    assert_eq!(anchor.to_leader_time(99), None);
}

// -------------------------------------------------------------------------------------------------
// Observations

fn observation(failing_ms: Option<u64>, served_ms: Option<u64>) -> Observation {
    Observation {
        operations: 0,
        service: "s".into(),
        term: 1,
        failing_ms,
        served_ms,
        acknowledged: Position::new(1, 5),
        released: None,
        sample: None,
    }
}

fn process(host: &str) -> HostId {
    HostId {
        name: host.into(),
        incarnation: 1,
    }
}

#[test]
fn a_success_on_one_host_clears_the_failures_on_others() {
    let mut observations = Observations::new(1, 0);
    observations.record(1_000, &process("h1"), vec![observation(Some(400), None)]);
    assert_eq!(observations.failing_ms(1_000, "s", 1), Some(400));

    observations.record(1_000, &process("h2"), vec![observation(None, Some(10))]);

    assert_eq!(observations.failing_ms(1_000, "s", 1), None);
}

#[test]
fn a_host_that_does_not_report_is_fenced_once_its_lease_expires_but_never_confirmed() {
    let observations = Observations::new(1, 0);
    let mut state = State::default();
    announce(&mut state, notice("a", 1, 1, 1));
    let begin = Edit::Begin {
        service: "s".into(),
        term: 0,
        planned: false,
    };
    apply(&mut state, &Command::Group(begin));
    let group: &Group = state.groups.get("s").expect("group");
    let host = || process("h1");

    let early = observations.fencing(999, "s", group, [(host(), 1_000)]);
    let late = observations.fencing(1_000, "s", group, [(host(), 1_000)]);

    assert_eq!((early.complete, early.confirmed), (false, false));
    assert_eq!((late.complete, late.confirmed), (true, false));
}

#[test]
fn samples_in_another_leaders_clock_are_dropped() {
    let mut observations = Observations::new(2, 0);
    let mut old = observation(None, Some(1));
    old.sample = Some((1, sample(500, 9)));
    let mut current = observation(None, Some(1));
    current.sample = Some((2, sample(600, 9)));

    observations.record(1_000, &process("h1"), vec![old]);
    assert_eq!(observations.newest_samples(60).count(), 0);
    observations.record(1_000, &process("h1"), vec![current]);

    assert_eq!(observations.newest_samples(60).count(), 1);
}
