//! Explores every sequence of steps up to a length, with two hosts and a small bucket.

use hemlockcrank_core::record::Rate;

use crate::fleet::{Fleet, Step};

const RATE: Rate = Rate {
    per_second: 5,
    burst: 2,
};
const STEPS: [Step; 8] = [
    Step::Advance(300),
    Step::Take(0),
    Step::Take(1),
    Step::Request(0),
    Step::Request(1),
    Step::Deliver(0),
    Step::Lose(0),
    Step::HandOver,
];

/// Runs all sequences of up to `depth` steps; returns their number and the first violation.
fn explore(fleet: &Fleet, depth: u32) -> (u64, Option<String>) {
    if depth == 0 {
        return (1, None);
    }
    let mut count = 1;
    for step in STEPS {
        let mut copy = fleet.clone();
        if let Err(violation) = copy.step(step) {
            return (count, Some(violation));
        }
        let (explored, violation) = explore(&copy, depth - 1);
        count += explored;
        if violation.is_some() {
            return (count, violation);
        }
    }
    (count, None)
}

/// State in which both hosts have borrowed one token and not spent it.
fn after_loans(clock_lag_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(RATE, clock_lag_ms);
    borrow_all(&mut fleet);
    fleet
}

/// State in which the first loans expired unspent, and both hosts have borrowed again.
fn after_second_loans(clock_lag_ms: u64) -> Fleet {
    let mut fleet = after_loans(clock_lag_ms);
    fleet
        .step(Step::Advance(700))
        .expect("nothing is admitted yet");
    borrow_all(&mut fleet);
    fleet
}

fn borrow_all(fleet: &mut Fleet) {
    for host in [0, 1] {
        for step in [Step::Request(host), Step::Deliver(0), Step::Deliver(0)] {
            fleet.step(step).expect("nothing is admitted yet");
        }
    }
}

#[test]
fn no_sequence_admits_more_than_rate_and_burst() {
    let (initial, violation) = explore(&Fleet::new(RATE, 0), 6);
    assert_eq!(violation, None);
    let (first, violation) = explore(&after_loans(0), 6);
    assert_eq!(violation, None);
    let (second, violation) = explore(&after_second_loans(0), 6);
    assert_eq!(violation, None);
    println!("explored {} sequences", initial + first + second);
}

#[test]
fn a_host_that_spends_an_expired_loan_is_detected() {
    let (sequences, violation) = explore(&after_second_loans(2_000), 5);
    println!("detected after {sequences} sequences");
    assert!(violation.is_some_and(|text| text.contains("statements within")));
}
