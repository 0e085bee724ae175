//! When a change of primary begins, and who carries it out.

use hemlockcrank_core::{
    directory::{Database, Promotion},
    failover::{Coordinator, Detector, Report, Verdict, WATCHERS_PER_DATABASE},
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
        base: None,
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

fn decide(panel: &mut Coordinator, now: u64, database: &Database) -> Verdict {
    panel.decide(now, &"ledger-1".into(), database, &view(), None)
}

#[test]
fn one_watcher_alone_changes_nothing_and_two_of_three_do() {
    let watchers = view().spread("ledger-1", WATCHERS_PER_DATABASE);
    let mut panel = Coordinator::default();

    panel.report(100, &watchers[0], report(true, 2));
    let alone = decide(&mut panel, 110, &database());
    panel.report(120, &watchers[1], report(true, 2));
    let agreed = decide(&mut panel, 130, &database());

    assert_eq!(alone, Verdict::Wait);
    assert!(matches!(agreed, Verdict::Begin(Promotion { term: 5, .. })));
}

#[test]
fn old_reports_and_reports_of_an_old_term_do_not_count() {
    let watchers = view().spread("ledger-1", WATCHERS_PER_DATABASE);
    let mut panel = Coordinator::default();
    panel.report(100, &watchers[0], report(true, 2));
    panel.report(100, &watchers[1], report(true, 2));

    assert_eq!(decide(&mut panel, 5_000, &database()), Verdict::Wait);

    let mut newer = database();
    newer.term = 6;
    assert_eq!(decide(&mut panel, 110, &newer), Verdict::Wait);
}

#[test]
fn a_change_goes_to_a_host_that_reaches_a_majority_and_moves_on_when_it_stalls() {
    let watchers = view().spread("ledger-1", WATCHERS_PER_DATABASE);
    let mut panel = Coordinator::default();
    let mut database = database();
    panel.report(100, &watchers[0], report(true, 1));
    panel.report(100, &watchers[1], report(true, 2));
    panel.report(100, &watchers[2], report(true, 2));

    let Verdict::Begin(first) = decide(&mut panel, 110, &database) else {
        unreachable!("two watchers agree and one reaches a majority");
    };
    assert_eq!(first.executor, watchers[1]);
    database.promotion = Some(first);

    for watcher in &watchers {
        panel.report(2_200, watcher, report(true, 2));
    }
    let Verdict::Begin(second) = decide(&mut panel, 2_210, &database) else {
        unreachable!("the first executor stalls");
    };
    assert_ne!(second.executor, watchers[1]);
    assert_eq!(second.term, 6);
}

#[test]
fn a_replica_that_answers_does_not_stand_for_the_primary() {
    let mut watch = Detector::default();
    watch.set_primary(0, Some(&"m1".into()));

    watch.record_answer(300, &"m1".into(), true);
    watch.record_answer(900, &"m2".into(), true);
    watch.record_answer(900, &"m1".into(), false);

    assert!(!watch.suspects(600));
    assert!(watch.suspects(900));
}
