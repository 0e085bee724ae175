//! Which connections are closed when the clients of a host use too much of it.

use hemlockcrank_core::budget::{Budget, Closing, Id, Limits, NoRoom, Port, Reason};

const KB: u64 = 1_000;
const LIMITS: Limits = Limits {
    bytes: 1_000 * KB,
    connections: 3,
    message_ms: 30_000,
};

fn budget_with(count: usize) -> (Budget, Vec<Id>) {
    let mut budget = Budget::new(LIMITS);
    let ids = (0..count).map(|_| budget.open(0, Port::Callers).0);
    let ids = ids.collect();
    (budget, ids)
}

fn ids(closed: &[Closing]) -> Vec<Id> {
    closed.iter().map(|closing| closing.id).collect()
}

/// Guards against a crowd of unfinished messages that outgrows the limit.
#[test]
fn a_crowd_never_holds_more_than_the_limit() {
    let (mut budget, accounts) = budget_with(200);

    for step in 1..=100_u64 {
        for id in &accounts {
            budget.hold(step, *id, step * 10 * KB);
            assert!(budget.held() <= LIMITS.bytes);
        }
    }
}

/// Guards against the closing of ordinary sessions in favour of large ones.
#[test]
fn the_largest_is_closed_before_small_ones() {
    let (mut budget, accounts) = budget_with(3);
    budget.hold(0, accounts[0], 2 * KB);
    budget.hold(0, accounts[1], 900 * KB);

    let closed = budget.hold(10, accounts[2], 100 * KB);

    assert_eq!(ids(&closed), [accounts[1]]);
    assert_eq!(closed[0].reason, Reason::Bytes);
}

/// Guards against slow senders that outlast quick ones of the same size.
#[test]
fn the_slowest_is_closed_among_equals() {
    let (mut budget, accounts) = budget_with(3);
    budget.hold(0, accounts[1], 400 * KB);
    budget.hold(5_000, accounts[0], 400 * KB);

    let closed = budget.hold(6_000, accounts[2], 400 * KB);

    assert_eq!(ids(&closed), [accounts[1]]);
}

/// Guards against an old session with few bytes that is closed in place of a new large one.
#[test]
fn age_alone_does_not_outweigh_size() {
    let (mut budget, accounts) = budget_with(2);
    budget.hold(0, accounts[0], 1);

    let closed = budget.hold(86_400_000, accounts[1], 1_001 * KB);

    assert_eq!(ids(&closed), [accounts[1]]);
}

/// Guards against the closing of a session whose statement may have run.
#[test]
fn work_in_progress_is_kept() {
    let (mut budget, accounts) = budget_with(2);
    budget
        .begin_work(0, accounts[0], 800 * KB)
        .expect("room for the first");

    let closed = budget.hold(1, accounts[1], 300 * KB);

    assert_eq!(ids(&closed), [accounts[1]]);
}

/// Guards against queued work that outgrows the limit.
#[test]
fn work_without_room_does_not_begin() {
    let (mut budget, accounts) = budget_with(2);
    budget
        .begin_work(0, accounts[0], 800 * KB)
        .expect("room for the first");

    let second = budget.begin_work(1, accounts[1], 300 * KB);

    assert_eq!(second, Err(NoRoom));
    assert_eq!(budget.held(), 800 * KB);
    budget.settle(2, accounts[0]);
    assert_eq!(budget.begin_work(3, accounts[1], 300 * KB), Ok(Vec::new()));
}

/// Guards against a limit that refuses a single message in calm.
#[test]
fn a_single_message_is_worked_on_whatever_the_limit() {
    let (mut budget, accounts) = budget_with(1);

    let begun = budget.begin_work(0, accounts[0], 3_000 * KB);

    assert_eq!(begun, Ok(Vec::new()));
}

/// Guards against messages that are begun and never completed.
#[test]
fn only_what_is_incomplete_for_too_long_is_overdue() {
    let (mut budget, accounts) = budget_with(3);
    budget.hold(0, accounts[0], 10);
    budget.begin_work(0, accounts[1], 10).expect("room");

    assert!(budget.overdue(30_000).is_empty());
    let closed = budget.overdue(30_001);

    assert_eq!(ids(&closed), [accounts[0]]);
    assert_eq!(closed[0].reason, Reason::Slow);
}

/// Guards against bytes that arrive one by one and renew the time limit each time.
#[test]
fn more_bytes_do_not_renew_the_time_limit() {
    let (mut budget, accounts) = budget_with(1);

    for second in 0..=30 {
        budget.hold(second * 1_000, accounts[0], second + 1);
    }

    assert_eq!(ids(&budget.overdue(30_001)), [accounts[0]]);
}

/// Guards against idle connections that leave no room for new ones at a port.
#[test]
fn the_longest_idle_connection_makes_room_at_a_full_port() {
    let mut budget = Budget::new(LIMITS);
    let open = |budget: &mut Budget, now| budget.open(now, Port::Operators);
    let accounts: Vec<Id> = (0..3).map(|now| open(&mut budget, now).0).collect();
    budget.settle(10, accounts[0]);

    let (_, closing) = open(&mut budget, 11);

    assert_eq!(closing.map(|closing| closing.id), Some(accounts[1]));
    let (_, other) = budget.open(11, Port::Ready);
    assert_eq!(other, None);
}

/// Guards against a crowd at the port for peers that displaces our own hosts.
#[test]
fn trusted_connections_neither_count_nor_make_room() {
    let mut budget = Budget::new(LIMITS);
    for now in 0..10 {
        let (id, _) = budget.open(now, Port::Peers);
        budget.trust(id);
    }

    let closings = (10..13).map(|now| budget.open(now, Port::Peers).1);

    assert!(closings.into_iter().all(|closing| closing.is_none()));
    let (_, closing) = budget.open(13, Port::Peers);
    assert_eq!(closing.map(|closing| closing.id), Some(10));
}

/// Guards against clients that delay the messages of our own hosts.
#[test]
fn trusted_connections_are_read_while_chosen_ones_are_closed() {
    let (mut budget, accounts) = budget_with(2);
    let (host, _) = budget.open(0, Port::Peers);
    budget.trust(host);
    budget.hold(0, accounts[0], 900 * KB);

    budget.hold(1, accounts[1], 200 * KB);

    assert!(budget.must_wait(accounts[1]));
    assert!(!budget.must_wait(host));
}

/// Guards against bytes of closed connections that stay in the sum.
#[test]
fn closed_accounts_hold_nothing() {
    let (mut budget, accounts) = budget_with(2);
    budget.hold(0, accounts[0], 300 * KB);
    budget.hold(0, accounts[1], 200 * KB);

    budget.close(accounts[0]);
    budget.settle(1, accounts[1]);

    assert_eq!(budget.held(), 0);
}

/// Guards against reading that goes on while chosen connections still occupy their memory.
#[test]
fn reading_waits_until_chosen_connections_are_closed() {
    let (mut budget, accounts) = budget_with(2);
    budget.hold(0, accounts[0], 900 * KB);
    assert!(!budget.must_wait(accounts[1]));

    budget.hold(1, accounts[1], 200 * KB);

    assert!(budget.must_wait(accounts[1]));
    budget.close(accounts[0]);
    assert!(!budget.must_wait(accounts[1]));
}

/// Guards against values and prepared statements that sessions keep, and against a time limit on them.
#[test]
fn what_a_session_keeps_counts_but_is_not_overdue() {
    let (mut budget, accounts) = budget_with(2);
    budget.keep(0, accounts[0], 600 * KB);
    budget.hold(0, accounts[0], 1);
    budget.settle(0, accounts[0]);

    assert_eq!(budget.held(), 600 * KB);
    assert!(budget.overdue(86_400_000).is_empty());
    let closed = budget.keep(86_400_000, accounts[1], 500 * KB);

    assert_eq!(ids(&closed), [accounts[0]]);
}
