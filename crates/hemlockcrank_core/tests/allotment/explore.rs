//! Every sequence of steps up to a length, with two hosts and a small bucket.

use hemlockcrank_core::record::Rate;

use crate::fleet::{Fleet, Step};

const RATE: Rate = Rate {
    per_second: 5,
    burst: 2,
};
const STEPS: [Step; 8] = [
    Step::Pass(300),
    Step::Take(0),
    Step::Take(1),
    Step::Ask(0),
    Step::Ask(1),
    Step::Deliver(0),
    Step::Lose(0),
    Step::HandOver,
];

/// Walks all sequences of up to `depth` steps; returns their number and the first violation.
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
        let (more, violation) = explore(&copy, depth - 1);
        count += more;
        if violation.is_some() {
            return (count, violation);
        }
    }
    (count, None)
}

/// Both hosts have borrowed a token each and have not spent it.
fn lent(behind_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(RATE, behind_ms);
    borrow_all(&mut fleet);
    fleet
}

/// The loans have ended unspent, and both hosts have borrowed again.
fn lent_again(behind_ms: u64) -> Fleet {
    let mut fleet = lent(behind_ms);
    fleet.step(Step::Pass(700)).expect("no statement yet");
    borrow_all(&mut fleet);
    fleet
}

fn borrow_all(fleet: &mut Fleet) {
    for host in [0, 1] {
        for step in [Step::Ask(host), Step::Deliver(0), Step::Deliver(0)] {
            fleet.step(step).expect("no statement yet");
        }
    }
}

#[test]
fn no_sequence_admits_more_than_rate_and_burst() {
    let (fresh, violation) = explore(&Fleet::new(RATE, 0), 6);
    assert_eq!(violation, None);
    let (later, violation) = explore(&lent(0), 6);
    assert_eq!(violation, None);
    let (again, violation) = explore(&lent_again(0), 6);
    assert_eq!(violation, None);
    println!("explored {} sequences", fresh + later + again);
}

#[test]
fn a_host_that_spends_after_the_loan_has_ended_is_caught() {
    let (sequences, violation) = explore(&lent_again(2_000), 5);
    println!("caught after {sequences} sequences");
    assert!(violation.is_some_and(|found| found.contains("statements within")));
}
