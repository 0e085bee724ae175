//! Long seeded runs over many rates, with owners that fail.

use hemlockcrank_core::record::Rate;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

use crate::fleet::{Fleet, Step};

const SEED: u64 = 20_261_204;
const RUNS: u64 = 300;
const STEPS: u64 = 2_000;

fn random_step(random: &mut ChaCha8Rng) -> Step {
    let host = (random.next_u64() % 2) as usize;
    let choice = (random.next_u64() % 8) as usize;
    match random.next_u64() % 100 {
        0..20 => Step::Advance(random.next_u64() % 120),
        20..55 => Step::Take(host),
        55..70 => Step::Request(host),
        70..92 => Step::Deliver(choice),
        92..95 => Step::Lose(choice),
        95..98 => Step::ReturnUnspent(host),
        98 => Step::HandOver,
        _ => Step::OwnerLost,
    }
}

#[test]
fn random_runs_admit_no_more_than_rate_and_burst() {
    let runs = std::env::var("RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok());
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(SEED);
    println!("seed {seed}");
    let mut admitted = 0;
    for run in 0..runs.unwrap_or(RUNS) {
        let mut random = ChaCha8Rng::seed_from_u64(seed + run);
        let rate = Rate {
            per_second: 1 + random.next_u64() % 200,
            burst: 1 + random.next_u64() % 40,
        };
        let mut fleet = Fleet::new(rate, 0);
        for _ in 0..STEPS {
            let step = random_step(&mut random);
            let outcome = fleet.step(step);
            assert_eq!(outcome, Ok(()), "run {run} of seed {seed}");
        }
        admitted += fleet.admitted.len();
    }
    assert!(admitted > 1_000, "only {admitted} statements were admitted");
}
