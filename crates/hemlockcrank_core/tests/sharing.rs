//! Executors of a zone: who runs the operations of its hosts, and with how many connections.

use std::collections::{BTreeMap, BTreeSet};

use hemlockcrank_core::{
    Name,
    connections::Fleet,
    membership::{Host, View},
    sharing::{Assignment, Executors, Loss, Sent, is_shared},
};
use rstest::rstest;

fn view(zones: &[(&str, usize)]) -> View {
    let mut view = View::default();
    for (zone, hosts) in zones {
        for number in 0..*hosts {
            view.insert(Host::new(format!("{zone}-{number}"), *zone));
        }
    }
    view
}

fn services(count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| format!("service-{number}").into())
        .collect()
}

fn executors(assignment: &Assignment, services: &[Name]) -> Vec<(Name, Name)> {
    let pairs = services.iter().flat_map(|service| {
        let executors = assignment.executors(service, "workspace");
        executors.map(|host| (service.clone(), host.clone()))
    });
    pairs.collect()
}

/// Guards against an entry host that runs the operations of two services while others run none.
#[test]
fn no_host_is_executor_twice_while_another_is_not() {
    let services = services(8);
    let view = view(&[("a", 23), ("b", 23)]);

    let assignment = Assignment::new(&view, "a", services.clone());

    let pairs = executors(&assignment, &services);
    let hosts: BTreeSet<&Name> = pairs.iter().map(|(_, host)| host).collect();
    assert_eq!((pairs.len(), hosts.len()), (16, 16));
    assert!(hosts.iter().all(|host| host.starts_with("a-")));
}

/// Guards against an assignment that changes as a whole, and with it all pools, when one host leaves.
#[test]
fn few_executors_change_when_a_host_leaves() {
    let services = services(8);
    let whole = view(&[("a", 23), ("b", 23)]);
    let before = executors(&Assignment::new(&whole, "a", services.clone()), &services);
    let mut most = 0;
    for number in 0..23 {
        let mut smaller = whole.clone();
        smaller.remove(&format!("a-{number}"), 0);

        let after = executors(&Assignment::new(&smaller, "a", services.clone()), &services);

        let before: BTreeSet<&(Name, Name)> = before.iter().collect();
        let moved = after.iter().filter(|pair| !before.contains(pair)).count();
        most = most.max(moved);
    }
    assert!(most <= 4, "{most} of 16 executors changed");
}

/// Guards against operations of one workspace that are spread over several pools.
#[test]
fn a_workspace_has_one_preferred_executor_and_the_other_as_fallback() {
    let services = services(2);
    let assignment = Assignment::new(&view(&[("a", 8)]), "a", services.clone());
    let mut preferred: BTreeMap<Name, usize> = BTreeMap::new();
    for number in 0..100 {
        let order: Vec<&Name> = assignment
            .executors(&services[0], &format!("workspace-{number}"))
            .collect();

        assert_eq!(order.len(), 2);
        assert_ne!(order[0], order[1]);
        *preferred.entry(order[0].clone()).or_default() += 1;
    }
    assert!(
        preferred.values().all(|count| *count >= 30),
        "{preferred:?}"
    );
}

/// Guards against executors that together open more connections than a member accepts.
#[test]
fn executors_leave_connections_for_other_hosts() {
    let services = services(8);
    let zones = [("a", 23), ("b", 23), ("c", 25)];
    let assignment = Assignment::new(&view(&zones), "a", services.clone());

    let each = assignment.connections(&services[0], 56);

    assert_eq!(each, 7);
    assert!(each * 2 * zones.len() < 56);
}

/// Guards against a hop on sites whose hosts have connections enough, or too few hosts for it to pay.
#[test]
fn only_large_sites_share() {
    let fleet = |connections, hosts| Fleet { connections, hosts };
    assert!(is_shared(fleet(56, 71), 23));
    assert!(is_shared(fleet(70, 32), 10));
    assert!(!is_shared(fleet(156, 55), 13));
    assert!(!is_shared(fleet(34, 6), 2));
    assert!(!is_shared(fleet(16, 7), 3));
}

fn names() -> [Name; 2] {
    ["a".into(), "b".into()]
}

/// Health of executor `a` after answers that took this long.
fn answered_in(took_ms: u64) -> Executors {
    let mut executors = Executors::default();
    for _ in 0..100 {
        executors.record_answer(&names()[0], took_ms);
    }
    executors
}

/// Guards against an operation that is sent twice to one executor, or to one that has just failed.
#[test]
fn the_first_executor_that_is_not_tried_or_avoided_is_chosen() {
    let order = names();
    let mut executors = Executors::default();

    assert_eq!(executors.choose(0, &order, &[]), Some("a".into()));
    assert_eq!(executors.choose(0, &order, &order[..1]), Some("b".into()));
    executors.record_failure(0, &order[0]);
    assert_eq!(executors.choose(0, &order, &[]), Some("b".into()));
    assert_eq!(executors.choose(0, &order, &order[1..]), None);
    assert_eq!(executors.choose(0, &[], &[]), None);
}

/// Guards against an executor that is never used again after one failure.
#[test]
fn an_executor_is_avoided_for_a_while_or_until_it_answers() {
    let order = names();
    let mut executors = Executors::default();

    assert!(executors.record_failure(0, &order[0]));
    assert!(!executors.record_failure(299, &order[0]));
    assert_eq!(executors.choose(299, &order, &[]), Some("b".into()));
    assert_eq!(executors.choose(300, &order, &[]), Some("a".into()));
    assert!(executors.record_failure(300, &order[0]));
    assert_eq!(executors.choose(899, &order, &[]), Some("b".into()));
    executors.record_answer(&order[0], 20);
    assert_eq!(executors.choose(899, &order, &[]), Some("a".into()));
}

/// Guards against operations that wait at a frozen executor until they time out, and against an
/// executor that is avoided because it is busy.
#[rstest]
#[case::fast(10, 250)]
#[case::busy(100, 800)]
#[case::slow(1_000, 1_000)]
fn an_executor_is_silent_after_some_latencies(#[case] took_ms: u64, #[case] silence_ms: u64) {
    let order = names();
    let mut executors = answered_in(took_ms);
    executors.record_sent(5_000, &order[0]);
    executors.record_sent(5_100, &order[0]);

    let before = executors.avoid_silent(5_000 + silence_ms - 1, &order);
    let after = executors.avoid_silent(5_000 + silence_ms, &order);

    assert_eq!((before, after), (vec![], order[..1].to_vec()));
    let chosen = executors.choose(5_000 + silence_ms, &order, &[]);
    assert_eq!(chosen, Some("b".into()));
}

/// Guards against an executor that is avoided because of an operation that it answered, and one that
/// is reported as silent again while it is avoided.
#[test]
fn an_executor_that_was_sent_nothing_since_its_answer_is_not_silent() {
    let order = names();
    let mut executors = Executors::default();
    executors.record_sent(0, &order[0]);
    executors.record_answer(&order[0], 20);
    executors.record_sent(0, &order[1]);

    let silent = executors.avoid_silent(60_000, &order);
    let again = executors.avoid_silent(60_000, &order);

    assert_eq!((silent, again), (order[1..].to_vec(), vec![]));
}

/// Guards against an executor that is avoided because callers left, or reads were answered directly,
/// before its answer arrived, and no operation was sent for some time after that.
#[test]
fn only_time_in_which_an_operation_waits_counts_as_silence() {
    let order = names();
    let mut executors = Executors::default();
    executors.record_sent(0, &order[0]);
    executors.record_end(100, &order[0]);

    let idle = executors.avoid_silent(60_000, &order);
    executors.record_sent(60_000, &order[0]);
    let before = executors.avoid_silent(60_149, &order);
    let after = executors.avoid_silent(60_150, &order);

    assert_eq!((idle, before), (vec![], vec![]));
    assert_eq!(after, order[..1].to_vec());
}

/// Guards against reads that run twice because their executor is busy, not silent.
#[test]
fn a_read_is_hedged_once_its_executor_is_silent() {
    let mut executors = answered_in(100);
    executors.record_sent(5_000, &names()[0]);

    assert!(!executors.is_silent(5_799, "a"));
    assert!(executors.is_silent(5_800, "a"));
    assert!(!executors.is_silent(5_800, "b"));
}

/// Guards against reads that wait until they time out because another operation has found their
/// executor silent before them.
#[test]
fn reads_that_wait_at_an_executor_are_hedged_once_it_is_avoided() {
    let order = names();
    let mut executors = Executors::default();
    executors.record_sent(0, &order[0]);
    executors.record_sent(0, &order[0]);

    let avoided = executors.avoid_silent(250, &order);

    assert_eq!(avoided, order[..1].to_vec());
    assert!(executors.is_silent(250, "a"));
}

/// Guards against a write that runs twice, and against an answer that says *not run* of a statement
/// that may have taken effect.
#[rstest]
#[case(Sent::Read, Loss::Repeat)]
#[case(Sent::Write, Loss::Unknown)]
#[case(Sent::Statement, Loss::Abort)]
#[case(Sent::Commit { wrote: true }, Loss::Unknown)]
#[case(Sent::Commit { wrote: false }, Loss::Abort)]
fn a_missing_answer_is_never_taken_for_not_run(#[case] sent: Sent, #[case] loss: Loss) {
    assert_eq!(sent.unanswered(), loss);
}
