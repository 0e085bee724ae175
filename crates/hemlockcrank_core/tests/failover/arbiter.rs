//! When a change of primary begins, and which host executes it.

use hemlockcrank_core::{
    directory::{Database, Promotion},
    failover::{Arbiter, Detector, Report, Verdict, WATCHERS_PER_DATABASE},
    membership::{Host, View},
};

fn view() -> View {
    let mut view = View::default();
    for (name, zone) in [("a", "z1"), ("b", "z2"), ("c", "z3"), ("d", "z1")] {
        view.insert(Host::new(name, zone));
    }
    view
}

fn database() -> Database {
    Database {
        service: "ledger".into(),
        size: 3,
        members: std::collections::BTreeMap::new(),
        term: 4,
        primary: Some("m1".into()),
        promotion: None,
        term_start: None,
    }
}

fn report(suspects: bool, reachable: u32) -> Report {
    Report {
        database: "ledger-1".into(),
        term: 4,
        suspects,
        reachable,
    }
}

fn decide(arbiter: &mut Arbiter, now: u64, database: &Database) -> Verdict {
    arbiter.decide(now, &"ledger-1".into(), database, &view(), None)
}

#[test]
fn a_change_begins_only_when_two_of_three_watchers_suspect_the_primary() {
    let watchers = view().select_across_zones("ledger-1", WATCHERS_PER_DATABASE);
    let mut arbiter = Arbiter::default();

    arbiter.record_report(100, &watchers[0], report(true, 2));
    let alone = decide(&mut arbiter, 110, &database());
    arbiter.record_report(120, &watchers[1], report(true, 2));
    let agreed = decide(&mut arbiter, 130, &database());

    assert_eq!(alone, Verdict::Wait);
    assert!(matches!(agreed, Verdict::Begin(Promotion { term: 5, .. })));
}

#[test]
fn old_reports_and_reports_of_an_old_term_do_not_count() {
    let watchers = view().select_across_zones("ledger-1", WATCHERS_PER_DATABASE);
    let mut arbiter = Arbiter::default();
    arbiter.record_report(100, &watchers[0], report(true, 2));
    arbiter.record_report(100, &watchers[1], report(true, 2));

    assert_eq!(decide(&mut arbiter, 5_000, &database()), Verdict::Wait);

    let mut newer = database();
    newer.term = 6;
    assert_eq!(decide(&mut arbiter, 110, &newer), Verdict::Wait);
}

#[test]
fn a_change_is_assigned_to_a_host_that_reaches_a_majority_and_reassigned_when_it_stalls() {
    let watchers = view().select_across_zones("ledger-1", WATCHERS_PER_DATABASE);
    let mut arbiter = Arbiter::default();
    let mut database = database();
    arbiter.record_report(100, &watchers[0], report(true, 1));
    arbiter.record_report(100, &watchers[1], report(true, 2));
    arbiter.record_report(100, &watchers[2], report(true, 2));

    let Verdict::Begin(first) = decide(&mut arbiter, 110, &database) else {
        unreachable!("two watchers agree and one reaches a majority");
    };
    assert_eq!(first.executor, watchers[1]);
    database.promotion = Some(first);

    for watcher in &watchers {
        arbiter.record_report(2_200, watcher, report(true, 2));
    }
    let Verdict::Begin(second) = decide(&mut arbiter, 2_210, &database) else {
        unreachable!("the first executor stalls");
    };
    assert_ne!(second.executor, watchers[1]);
    assert_eq!(second.term, 6);
}

#[test]
fn the_answer_of_a_replica_does_not_count_as_one_of_the_primary() {
    let mut detector = Detector::default();
    detector.set_primary(0, Some(&"m1".into()));

    detector.record_answer(300, &"m1".into(), true);
    detector.record_answer(900, &"m2".into(), true);
    detector.record_answer(900, &"m1".into(), false);

    assert!(!detector.suspects(600));
    assert!(detector.suspects(900));
}
