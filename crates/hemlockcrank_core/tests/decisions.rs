//! Tests of small decision functions: read floors, acknowledgements, routes, outcomes, queues, owners,
//! leases, retries and clocks.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    Name,
    clock::{Clock, Stamp},
    directory::TermStart,
    lease::Lease,
    membership::{Host, View},
    queue::{Entry, FairQueue, Refusal},
    request::{Marker, MarkerState, Outcome, Stage, commit_survived, write_outcome},
    retry::Budget,
    route::{Candidate, choose},
    session::{Position, Token, floor, is_acknowledged},
};
use rstest::rstest;

fn at(term: u64, index: u64) -> Position {
    Position::new(term, index)
}

#[rstest]
#[case(3, &[at(1, 9)], None)]
#[case(3, &[at(1, 9), at(1, 4)], Some(at(1, 9)))]
#[case(3, &[at(1, 9), at(1, 4), at(1, 7)], Some(at(1, 7)))]
#[case(3, &[at(2, 1), at(1, 4), at(1, 7)], Some(at(1, 7)))]
#[case(5, &[at(1, 9), at(1, 8), at(1, 7)], Some(at(1, 9)))]
#[case(5, &[at(1, 9), at(1, 8), at(1, 7), at(1, 6), at(1, 5)], Some(at(1, 7)))]
#[case(1, &[at(1, 3)], Some(at(1, 3)))]
fn floors(
    #[case] members: usize,
    #[case] samples: &[Position],
    #[case] expected: Option<Position>,
) {
    assert_eq!(floor(members, samples), expected);
}

#[rstest]
#[case(&[(2, at(2, 7)), (2, at(2, 7))], true)]
#[case(&[(2, at(2, 7)), (2, at(2, 6)), (1, at(1, 9))], false)]
#[case(&[(2, at(2, 7)), (3, at(2, 7))], false)]
#[case(&[(2, at(2, 7)), (2, at(1, 9))], false)]
fn acknowledgements(#[case] reports: &[(u64, Position)], #[case] expected: bool) {
    assert_eq!(is_acknowledged(3, at(2, 7), reports), expected);
}

#[rstest]
#[case("1:ledger:2:3", true)]
#[case("1:with:colons:2:3", true)]
#[case("2:ledger:2:3", false)]
#[case("1::2:3", false)]
#[case("1:ledger:2:x", false)]
#[case("", false)]
fn tokens(#[case] text: &str, #[case] valid: bool) {
    let parsed: Result<Token, _> = text.parse();
    assert_eq!(parsed.is_ok(), valid);
    if let Ok(token) = parsed {
        assert_eq!(token.to_string(), text);
    }
}

fn candidate(name: &str, index: u64) -> Candidate {
    Candidate {
        name: name.into(),
        position: at(1, index),
        primary: false,
        available: true,
        load: 0,
        slots: 3,
        latency_us: 1_000,
    }
}

#[test]
fn a_read_goes_to_the_fastest_replica_that_is_fresh_enough_or_else_to_the_primary() {
    let mut members = vec![candidate("p", 9), candidate("near", 7), candidate("far", 9)];
    members[0].primary = true;
    members[1].latency_us = 300;

    assert_eq!(choose(&members, at(1, 5), &[]), Some(1));
    assert_eq!(choose(&members, at(1, 8), &[]), Some(2));
    assert_eq!(choose(&members, at(1, 8), &["far".into()]), Some(0));
    members[1].load = 30;
    assert_eq!(choose(&members, at(1, 5), &[]), Some(2));
    members[1].available = false;
    members[2].available = false;
    assert_eq!(choose(&members, at(1, 5), &[]), Some(0));
    assert_eq!(choose(&members, at(2, 0), &[]), None);
}

#[rstest]
#[case(Stage::Unsent, Outcome::NotRun)]
#[case(Stage::InTransaction, Outcome::NotRun)]
#[case(Stage::CommitSent, Outcome::Unknown)]
#[case(Stage::Rejected, Outcome::NotRun)]
#[case(Stage::Committed, Outcome::Unknown)]
#[case(Stage::Acknowledged, Outcome::Ran)]
fn outcomes(#[case] stage: Stage, #[case] expected: Outcome) {
    assert_eq!(write_outcome(stage), expected);
}

#[rstest]
#[case(at(2, 7), at(2, 7), at(3, 1), Some(true))]
#[case(at(2, 8), at(2, 7), at(3, 1), Some(false))]
#[case(at(2, 8), at(1, 9), at(3, 1), Some(false))]
#[case(at(2, 7), at(2, 7), at(2, 9), None)]
#[case(at(2, 7), at(2, 7), at(4, 1), None)]
#[case(at(1, 7), at(2, 7), at(3, 1), None)]
fn commits_that_survive(
    #[case] write: Position,
    #[case] last: Position,
    #[case] settled: Position,
    #[case] expected: Option<bool>,
) {
    let base = TermStart {
        previous_term: 2,
        last,
    };
    assert_eq!(commit_survived(write, 3, &base, settled), expected);
}

#[test]
fn a_marker_distinguishes_its_own_void_from_others_and_quotes_its_arguments() {
    let marker = Marker::new(&"w".into(), "it's", "a1");
    assert!(marker.claim().contains("'w/it''s'") && marker.claim().contains("'a1'"));
    assert_eq!(Marker::parse("a1"), MarkerState::Ran);
    let attempt = marker.voided_attempt();
    assert!(marker.void().contains(&format!("'{attempt}'")));
    assert_eq!(Marker::parse(&attempt), MarkerState::Void { attempt });
}

fn entry(workspace: &str, weight: u32) -> Entry {
    Entry {
        workspace: workspace.into(),
        weight,
        deadline: 100_000,
    }
}

/// Serves `turns` statements of 10 ms each, one at a time; returns their number by workspace.
fn serve(
    queue: &mut FairQueue,
    workspaces: &BTreeMap<u64, Name>,
    turns: usize,
) -> BTreeMap<Name, usize> {
    let mut served = BTreeMap::new();
    let mut now = 0;
    for _ in 0..turns {
        let turn = queue.pop(now).expect("a statement waits");
        assert!(turn.admitted);
        *served.entry(workspaces[&turn.ticket].clone()).or_default() += 1;
        queue.release(now, now + 10);
        now += 10;
    }
    served
}

#[test]
fn a_flood_of_one_workspace_does_not_delay_another_and_weights_count() {
    let mut queue = FairQueue::new(1);
    let mut workspaces = BTreeMap::new();
    for _ in 0..100 {
        workspaces.insert(
            queue
                .push(0, entry("flood", 1))
                .expect("the queue has room"),
            "flood".into(),
        );
    }
    for _ in 0..30 {
        workspaces.insert(
            queue.push(0, entry("calm", 1)).expect("the queue has room"),
            "calm".into(),
        );
        workspaces.insert(
            queue
                .push(0, entry("large", 2))
                .expect("the queue has room"),
            "large".into(),
        );
    }

    let served = serve(&mut queue, &workspaces, 40);

    assert_eq!(served["flood"], 10);
    assert_eq!(served["calm"], 10);
    assert_eq!(served["large"], 20);
}

#[test]
fn a_statement_that_cannot_be_served_in_time_is_refused_on_arrival() {
    let mut queue = FairQueue::new(1);
    queue.push(0, entry("w", 1)).expect("the queue has room");
    queue.pop(0).expect("a free slot");
    queue.release(0, 1_000);
    queue
        .push(1_000, entry("w", 1))
        .expect("the queue has room");
    queue.pop(1_000).expect("a free slot");
    let tight = Entry {
        deadline: 1_500,
        ..entry("w", 1)
    };

    assert_eq!(
        queue.push(1_000, tight),
        Err(Refusal::Busy { expected_ms: 1_000 })
    );
}

#[test]
fn a_statement_whose_deadline_passes_in_the_queue_is_refused_without_a_slot() {
    let mut queue = FairQueue::new(1);
    let ticket = queue
        .push(
            0,
            Entry {
                deadline: 5,
                ..entry("w", 1)
            },
        )
        .expect("the queue has room");

    let turn = queue.pop(6).expect("it is first in the queue");

    assert_eq!((turn.ticket, turn.admitted), (ticket, false));
    assert_eq!(queue.busy(), 0);
}

#[test]
fn watchers_are_in_different_zones_and_a_host_that_leaves_moves_only_its_share() {
    let mut view = View::default();
    for index in 0..60 {
        view.insert(Host::new(format!("h{index}"), format!("z{}", index % 4)));
    }
    let keys: Vec<String> = (0..600).map(|key| format!("workspace-{key}")).collect();
    let before: Vec<Option<Name>> = keys.iter().map(|key| view.owner(key).cloned()).collect();
    for key in &keys {
        let watchers = view.select_across_zones(key, 3);
        let mut zones: Vec<&Name> = watchers
            .iter()
            .filter_map(|host| Some(&view.get(host)?.zone))
            .collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 3);
    }

    view.remove("h7", 0);

    let reassigned = keys
        .iter()
        .zip(&before)
        .filter(|(key, owner)| view.owner(key) != owner.as_ref());
    for (_, owner) in reassigned {
        assert_eq!(owner.as_deref(), Some("h7"));
    }
}

#[test]
fn an_old_incarnation_neither_replaces_nor_removes_a_newer_one() {
    let mut view = View::default();
    let mut newer = Host::new("h", "z");
    newer.incarnation = 5;
    view.insert(newer);

    assert!(!view.insert(Host::new("h", "z")));
    assert!(!view.remove("h", 4));
    assert!(view.remove("h", 5));
}

#[test]
fn a_lease_runs_from_the_request_and_never_longer_than_its_term() {
    let mut lease = Lease::default();
    assert!(!lease.is_valid(0));
    lease.renew(1_000, 99_999);
    assert!(lease.is_valid(3_999) && !lease.is_valid(4_000));
    lease.renew(900, 3_000);
    assert_eq!(lease.until(), 4_000);
}

#[test]
fn retries_are_a_small_share_of_the_traffic() {
    let mut budget = Budget::default();
    let initial = (0..100).filter(|_| budget.try_withdraw()).count();
    let mut after_deposits = 0;
    for _ in 0..1_000 {
        budget.deposit();
        after_deposits += usize::from(budget.try_withdraw());
    }
    assert_eq!((initial, after_deposits), (10, 100));
}

#[test]
fn a_clock_far_ahead_does_not_advance_the_others() {
    let mut clock = Clock::default();
    let before = clock.tick(1_000);
    clock.observe(
        1_000,
        Stamp {
            wall_ms: u64::MAX,
            count: 0,
        },
    );
    assert!(clock.tick(1_000).wall_ms < 100_000);
    clock.observe(
        1_000,
        Stamp {
            wall_ms: 2_000,
            count: 4,
        },
    );
    assert!(clock.tick(1_001) > before);
    assert_eq!(clock.tick(1_001).wall_ms, 2_000);
}
