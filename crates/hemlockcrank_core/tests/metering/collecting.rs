//! Counting at hosts, and adding up at the leader.

use hemlockcrank_core::{
    Name,
    membership::{Host, HostId, View},
    metering::{Collector, Counter, Tally},
    relay::Followers,
};

use crate::model::{FIRST, Model, WINDOWS, counts, tally};

/// Local time of a host when the first window begins, in milliseconds.
const BEGIN: u64 = 70_000;

fn start_of(window: u64) -> u64 {
    window * WINDOWS.length_ms
}

/// A host that knows the time.
fn counter() -> Counter {
    let mut counter = Counter::new(WINDOWS);
    counter.note_time(BEGIN, 1, Some(start_of(FIRST)));
    counter
}

fn id(name: &str, incarnation: u64) -> HostId {
    let name = name.into();
    HostId { name, incarnation }
}

/// Guards against operations that are counted in the window of their answer, or of a wall clock.
#[test]
fn an_operation_counts_in_the_window_in_which_it_was_sent() {
    let mut counter = counter();
    let w: Name = "w".into();
    counter.count(BEGIN + 4_990, &w);
    counter.count(BEGIN + 5_010, &w);

    let wrong_wall_ms = start_of(FIRST) + 600_000;
    let tally = counter.tally(BEGIN + 5_300, wrong_wall_ms);

    assert_eq!(tally.windows, [(FIRST, counts(1)), (FIRST + 1, counts(1))]);
}

/// Guards against operations that are lost because a host serves before it knows the time.
#[test]
fn operations_before_the_first_answer_are_dated_by_it() {
    let mut counter = Counter::new(WINDOWS);
    counter.count(BEGIN + 100, &"w".into());
    assert_eq!(counter.tally(BEGIN + 200, 0).windows, []);

    counter.note_time(BEGIN + 5_500, 1, Some(start_of(FIRST + 1) + 500));
    let tally = counter.tally(BEGIN + 5_600, 0);

    assert_eq!(tally.windows, [(FIRST, counts(1))]);
}

/// Guards against an answer that a host that stood still reads late: it would date operations back.
#[test]
fn an_answer_that_is_read_late_does_not_set_the_time_back() {
    let mut counter = counter();

    counter.note_time(BEGIN + 9_000, 1, Some(start_of(FIRST) + 1_000));

    assert_eq!(
        counter.true_ms(BEGIN + 9_000),
        Some(start_of(FIRST) + 9_000)
    );
}

/// Guards against polls that carry all totals each time, and against totals that a new leader never gets.
#[test]
fn a_report_contains_what_has_changed_and_everything_for_a_new_leader() {
    let mut counter = counter();
    counter.count(BEGIN, &"w".into());
    assert_eq!(counter.tally(BEGIN + 10, 0).windows.len(), 1);
    assert_eq!(counter.tally(BEGIN + 400, 0).windows, []);

    counter.note_time(BEGIN + 500, 2, Some(start_of(FIRST) + 500));
    let tally = counter.tally(BEGIN + 600, 0);

    assert_eq!(tally.windows, [(FIRST, counts(1))]);
    assert_eq!(tally.complete_ms, Some(start_of(FIRST) + 600));
}

/// Guards against memory and messages that grow during a long cut.
#[test]
fn windows_that_no_leader_closes_are_bounded() {
    let mut counter = counter();
    for window in 0..1_000 {
        counter.count(BEGIN + window * WINDOWS.length_ms, &"w".into());
    }

    let windows = counter.tally(BEGIN + 5_000_000, 0).windows;

    assert_eq!(windows.len(), 120);
    assert_eq!(counter.take_dropped(), 880);
}

/// Guards against reports that add up twice when they are repeated or arrive out of order, and against
/// counts of an earlier process of a host that are replaced by those of its next one.
#[test]
fn totals_are_added_by_process_and_repeats_add_nothing() {
    let mut collector = Collector::default();
    for (incarnation, count) in [(1, 5), (1, 3), (2, 4), (2, 4)] {
        collector.note(
            &id("entry", incarnation),
            &tally(0, &[(FIRST, count)]),
            FIRST,
        );
    }
    collector.note(&id("other", 1), &tally(0, &[(FIRST + 9, 1)]), FIRST);

    assert_eq!(collector.counts(FIRST), counts(9));
    assert_eq!(collector.counts(FIRST + 9).len(), 0);
}

/// Guards against a window that is closed without a host that was cut off for a moment, and against one that
/// waits too long for a host that was killed.
#[test]
fn a_window_waits_for_a_silent_host_for_half_of_the_delay() {
    let mut model = Model::new();
    let silent = id("killed", 1);
    let last = tally(start_of(FIRST) + 4_000, &[(FIRST, 2)]);
    model.collector.note(&silent, &last, FIRST);
    model.report(FIRST, 7);

    model.run(WINDOWS.length_ms * 2);

    assert_eq!(model.received[0].counts, counts(9));
    let late_ms = model.received[0].at - WINDOWS.end_of(FIRST);
    assert!((5_000..5_300).contains(&late_ms), "{late_ms}");
}

/// Guards against totals that a relay drops because its next poll is later than that of the host.
#[test]
fn a_relay_passes_on_all_totals_since_its_last_poll() {
    let mut followers = Followers::default();
    let host = Host::new("entry", "z");
    for (now, part) in [
        (100, tally(90, &[(FIRST, 2)])),
        (
            200,
            Tally {
                complete_ms: None,
                ..tally(0, &[(FIRST, 3)])
            },
        ),
    ] {
        followers.note(now, host.clone(), 1, Vec::new(), Vec::new());
        followers.note_usage(now, &host.name, part);
    }

    let listed = followers.list(250, &View::default());
    let usage = listed[0].usage.clone().expect("a report");

    assert_eq!(usage.windows, [(FIRST, counts(3))]);
    assert_eq!((usage.complete_ms, usage.age_ms), (Some(90), 50));
    assert_eq!(followers.list(300, &View::default())[0].usage, None);
}

/// Guards against a leader whose memory grows for as long as the platform takes no window and none can be
/// closed.
#[test]
fn the_totals_of_a_process_are_kept_for_a_bounded_number_of_windows() {
    let mut collector = Collector::default();
    let id = id("a", 1);
    for window in FIRST..FIRST + 1_000 {
        let report = Tally {
            windows: vec![(window, counts(1))],
            ..Tally::default()
        };
        collector.note(&id, &report, u64::MAX);
    }

    let kept = (FIRST..FIRST + 1_000).filter(|window| !collector.counts(*window).is_empty());
    assert_eq!(kept.count(), 120);
    assert_eq!(collector.counts(FIRST + 999), counts(1));
}
