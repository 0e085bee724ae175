//! A workspace far over its rate: hosts near the owner and hosts far from it are served in turn.
//!
//! The pattern: tokens come in one by one, every host waits for them, and whoever is nearest asks first.

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
const PATIENCE_MS: u64 = 50;
/// One-way delay between each host and the owner, in milliseconds.
const DELAYS_MS: [u64; 2] = [0, 3];
/// Mean time between two operations of a host, in milliseconds.
const BETWEEN_MS: u64 = 37;

/// An operation that waits for a token.
struct Waiting {
    host: usize,
    until: u64,
    /// When it asks the owner, or looks for its token, next.
    next_at: u64,
    asked_at: Option<u64>,
}

/// Operations admitted at each host within a minute.
fn run(seed: u64) -> [u64; 2] {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bucket = Bucket::empty(RATE, 0, 0);
    let mut purses = [Loans::default(), Loans::default()];
    let mut admitted = [0, 0];
    let mut waiting: Vec<Waiting> = Vec::new();
    for now in 0..60_000 {
        for host in 0..DELAYS_MS.len() {
            if random.next_u64().is_multiple_of(BETWEEN_MS) {
                waiting.push(Waiting {
                    host,
                    until: now + PATIENCE_MS,
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
                let patience = operation.until.saturating_sub(now);
                let answer = bucket.lend(now, 1, patience, &[]);
                let heard_at = now + DELAYS_MS[host];
                purses[host].receive(heard_at, asked_at, Some(answer));
                operation.next_at = match answer {
                    Answer::Granted(_) => heard_at,
                    Answer::Reserved { wait_ms, .. } => heard_at + wait_ms,
                    Answer::Empty { .. } | Answer::Closed => return false,
                };
                return true;
            }
            if purses[host].take(now) == Take::Admitted {
                admitted[host] += 1;
                return false;
            }
            if now >= operation.until {
                return false;
            }
            if purses[host].request(now, 1).is_some() {
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
fn a_host_far_from_the_owner_gets_its_turn() {
    for seed in 0..8 {
        let [near, far] = run(seed);

        assert!(far * 10 >= near * 8, "seed {seed}: {near} near, {far} far");
    }
}

#[test]
fn all_that_comes_in_is_used() {
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
fn a_reserved_token_is_not_spent_before_it_has_come_in() {
    let mut bucket = Bucket::empty(RATE, 0, 0);
    let mut purse = Loans::default();
    let ask = purse.request(0, 1).expect("no question is under way");

    let answer = bucket.lend(0, ask.tokens, 100, &ask.settled);
    purse.receive(1, ask.asked_at, Some(answer));

    assert_eq!(purse.take(46), Take::NoToken);
    assert_eq!(purse.take(47), Take::Admitted);
}

#[test]
fn a_rate_of_nothing_reserves_nothing() {
    let rate = Rate {
        per_second: 0,
        burst: 4,
    };
    let mut bucket = Bucket::empty(rate, 0, 0);

    let answer = bucket.lend(10, 1, 200, &[]);

    assert!(matches!(answer, Answer::Empty { .. }));
}
