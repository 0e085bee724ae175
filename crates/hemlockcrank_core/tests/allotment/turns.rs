//! A workspace far over its rate: hosts near the owner and hosts far from it are served in turn.
//!
//! This guards against starvation of distant hosts: tokens are refilled one at a time, every host waits
//! for them, and the host nearest to the owner is always the first to ask.

use hemlockcrank_core::{
    quota::{Answer, Bucket, Loans, Take},
    record::Rate,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

const RATE: Rate = Rate {
    per_second: 22,
    burst: 22,
};
/// Longest wait of an operation for a token, in milliseconds.
const MAX_WAIT_MS: u64 = 50;
/// One-way delay between each host and the owner, in milliseconds.
const DELAYS_MS: [u64; 2] = [0, 3];
/// Mean time between two operations of a host, in milliseconds.
const MEAN_INTERVAL_MS: u64 = 37;

/// An operation that waits for a token.
struct Waiting {
    host: usize,
    deadline: u64,
    /// Time at which it next sends a request or tries to take a token.
    next_at: u64,
    /// Time of the request that is in flight.
    asked_at: Option<u64>,
}

/// Runs for a minute; returns the number of operations admitted at each host.
fn run(seed: u64) -> [u64; 2] {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bucket = Bucket::empty(RATE, 0, 0);
    let mut loans = [Loans::default(), Loans::default()];
    let mut admitted = [0, 0];
    let mut waiting: Vec<Waiting> = Vec::new();
    for now in 0..60_000 {
        for host in 0..DELAYS_MS.len() {
            if random.next_u64().is_multiple_of(MEAN_INTERVAL_MS) {
                waiting.push(Waiting {
                    host,
                    deadline: now + MAX_WAIT_MS,
                    next_at: now,
                    asked_at: None,
                });
            }
        }
        waiting.retain_mut(|operation| {
            let host = operation.host;
            if now < operation.next_at {
                return true;
            }
            if let Some(asked_at) = operation.asked_at.take() {
                let max_wait_ms = operation.deadline.saturating_sub(now);
                let answer = bucket.lend(now, 1, max_wait_ms, &[]);
                let received_at = now + DELAYS_MS[host];
                loans[host].receive(received_at, asked_at, Some(answer));
                operation.next_at = match answer {
                    Answer::Granted(_) => received_at,
                    Answer::Reserved { wait_ms, .. } => received_at + wait_ms,
                    Answer::Empty { .. } | Answer::Closed => return false,
                };
                return true;
            }
            if loans[host].take(now) == Take::Admitted {
                admitted[host] += 1;
                return false;
            }
            if now >= operation.deadline {
                return false;
            }
            if loans[host].request(now, 1).is_some() {
                operation.asked_at = Some(now);
                operation.next_at = now + DELAYS_MS[host];
            } else {
                operation.next_at = now + 1;
            }
            true
        });
    }
    admitted
}

#[test]
fn a_host_far_from_the_owner_is_not_starved() {
    for seed in 0..8 {
        let [near, far] = run(seed);

        assert!(far * 10 >= near * 8, "seed {seed}: {near} near, {far} far");
    }
}

#[test]
fn nearly_all_refilled_tokens_are_spent() {
    let [near, far] = run(1);

    assert!(near + far >= 60 * RATE.per_second * 95 / 100);
}

#[test]
fn reservations_follow_each_other() {
    let mut bucket = Bucket::empty(RATE, 0, 0);

    let waits = [bucket.lend(0, 1, 100, &[]), bucket.lend(0, 1, 100, &[])].map(|answer| {
        let Answer::Reserved { wait_ms, .. } = answer else {
            return 0;
        };
        wait_ms
    });

    assert_eq!(waits, [46, 91]);
    assert_eq!(
        bucket.lend(0, 1, 100, &[]),
        Answer::Empty {
            retry_after_ms: 137
        }
    );
}

#[test]
fn a_reserved_token_is_not_spent_before_it_is_refilled() {
    let mut bucket = Bucket::empty(RATE, 0, 0);
    let mut loans = Loans::default();
    let request = loans.request(0, 1).expect("no other request is pending");

    let answer = bucket.lend(0, request.tokens, 100, &request.settled);
    loans.receive(1, request.asked_at, Some(answer));

    assert_eq!(loans.take(46), Take::NoToken);
    assert_eq!(loans.take(47), Take::Admitted);
}

#[test]
fn a_rate_of_zero_reserves_no_token() {
    let rate = Rate {
        per_second: 0,
        burst: 4,
    };
    let mut bucket = Bucket::empty(rate, 0, 0);

    let answer = bucket.lend(10, 1, 200, &[]);

    assert!(matches!(answer, Answer::Empty { .. }));
}
