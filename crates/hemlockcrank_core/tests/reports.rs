//! What hosts report of their commits in a change of primary, and hosts that left without a report.

use hemlockcrank_core::{
    floor::Sample,
    group::{Change, Group, Lead},
    membership::HostId,
    observation::{Observations, Use},
    session::Position,
    succession::Fencing,
};

const SERVICE: &str = "ledger";
/// Log index of the change in progress.
const CHANGE: u64 = 42;
/// Longer than any wait of a change of primary, in milliseconds.
const LONG_MS: u64 = 600_000;

fn group() -> Group {
    Group {
        lead: Some(Lead {
            member: "a".into(),
            term: 3,
        }),
        change: Some(Change {
            index: CHANGE,
            planned: false,
        }),
        ..Group::default()
    }
}

fn process(host: &str, incarnation: u64) -> HostId {
    HostId {
        name: host.into(),
        incarnation,
    }
}

fn release(observations: &mut Observations, host: &HostId) {
    let used = Use {
        service: SERVICE.into(),
        released: Some(CHANGE),
        operations: 0,
    };
    observations.record_uses(host, vec![used]);
}

/// How far hosts are fenced off, long after all of them have released the old primary; `here` is the
/// only one in view.
fn fencing(observations: &mut Observations) -> Fencing {
    let here = process("here", 1);
    release(observations, &here);
    observations.fencing(LONG_MS, SERVICE, &group(), [(here, 1_000)])
}

fn sample(observations: &mut Observations, at: u64, number: u64) {
    let position = Position::new(3, number);
    observations.add_sample(&SERVICE.into(), 3, Sample { at, position });
}

fn leave(observations: &mut Observations, acting_until: u64) {
    let hosts = [process("gone", 1)];
    observations.note_departures(&SERVICE.into(), &hosts, Some(CHANGE), acting_until);
}

/// Guards against a lost commit: a host that left had acknowledged it unheard, and ten seconds without
/// a change of view stood for its report.
#[test]
fn no_wait_stands_for_the_report_of_a_host_that_left() {
    let mut observations = Observations::new(1, 0);
    sample(&mut observations, 3_999, 7);

    leave(&mut observations, 4_000);

    let fencing = fencing(&mut observations);
    assert!(fencing.complete && !fencing.confirmed);
}

#[test]
fn a_sample_taken_after_a_host_could_last_act_bounds_what_it_acknowledged() {
    let mut observations = Observations::new(1, 0);
    leave(&mut observations, 4_000);

    sample(&mut observations, 4_000, 8);
    sample(&mut observations, 5_000, 9);

    let fencing = fencing(&mut observations);
    assert!(fencing.confirmed);
    assert_eq!(fencing.departed, Position::new(3, 8));
}

/// Guards against the same for hosts that left under an earlier leader, which this one never heard of.
#[test]
fn a_new_leader_knows_nothing_of_hosts_that_left_before() {
    let mut observations = Observations::new(2, 3_050);

    let unknown = fencing(&mut observations);
    sample(&mut observations, 3_050, 8);
    let known = fencing(&mut observations);

    assert!(!unknown.confirmed && known.confirmed);
}

/// Guards against a change that waits although every host has reported: one of them has left since.
#[test]
fn a_host_that_left_after_its_release_has_reported_everything() {
    let mut observations = Observations::new(1, 0);
    release(&mut observations, &process("gone", 1));

    leave(&mut observations, LONG_MS);

    assert!(fencing(&mut observations).confirmed);
}

/// Guards against the release of a new process as the word of the one before it on the same host.
#[test]
fn a_process_reports_nothing_for_the_one_before_it() {
    let mut observations = Observations::new(1, 0);
    release(&mut observations, &process("here", 2));
    release(&mut observations, &process("gone", 2));

    let here = [(process("here", 1), LONG_MS + 1)];
    let early = observations.fencing(LONG_MS, SERVICE, &group(), here);
    leave(&mut observations, LONG_MS);
    let late = fencing(&mut observations);

    assert!(!early.complete && !early.confirmed);
    assert!(!late.confirmed);
}
