//! A randomised soak: the daemons as processes, members behind a proxy, faults drawn from a seed.
//!
//! Callers save and read all the while; afterwards the group's log is held against what they were told:
//! nothing acknowledged is lost, nothing is kept twice, nothing that was refused is kept, no read misses
//! an older save of its session, no key works once its withdrawal has been acknowledged for a while, and
//! no configuration that was acknowledged is gone.
//!
//! `SOAK_SEEDS=1..50` plays these seeds; without it those of [`SEEDS`] and of `failed.txt`, where seeds
//! that have failed are kept. `SOAK_KEEP=1` keeps logs and settings of a run.

#![expect(clippy::print_stdout, reason = "seeds and faults are the report")]

#[path = "../../../../platform/tests/fixture/caller.rs"]
mod caller;
mod fault;
mod gate;
mod ledger;
#[path = "../../../../platform/tests/fixture/operator.rs"]
mod operator;
#[path = "../shared/process.rs"]
mod process;
mod site;
#[path = "../../../../platform/tests/fixture/stand_in.rs"]
mod stand_in;

use std::{sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::time::sleep;

use fault::Fault;
use ledger::Ledger;
use site::Site;

/// Seeds of the short run.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Seeds that have failed once, one a line.
const FAILED: &str = include_str!("failed.txt");
/// Faults of one run.
const FAULTS: u32 = 7;
/// Callers at each entry host.
const CALLERS: usize = 3;
/// Longest pause between two faults, in milliseconds.
const PAUSE_MS: u64 = 1_500;

fn seeds() -> Vec<u64> {
    if let Ok(range) = std::env::var("SOAK_SEEDS") {
        let (first, last) = range.split_once("..").expect("FIRST..LAST");
        let parse = |text: &str| text.parse::<u64>().expect("a number");
        return (parse(first)..=parse(last)).collect();
    }
    let failed = FAILED.lines().filter_map(|line| line.parse().ok());
    SEEDS.into_iter().chain(failed).collect()
}

async fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start(seed).await;
    let ledger = Arc::new(Ledger::new(seed));
    let callers: Vec<_> = (0..CALLERS * site.callers.len())
        .map(|number| {
            let address = site.callers[number % site.callers.len()];
            tokio::spawn(Arc::clone(&ledger).call(number, address))
        })
        .collect();
    for _ in 0..FAULTS {
        let fault = Fault::draw(&mut random);
        println!("seed {seed}: {fault:?}");
        site.strike(&fault, &ledger, &mut random).await;
        sleep(Duration::from_millis(random.next_u64() % PAUSE_MS)).await;
    }
    site.heal().await;
    site.wait_served().await;
    ledger.stop();
    for caller in callers {
        caller.await.expect("a caller");
    }
    site.wait_served().await;
    let broken = ledger.check(&site.group, site.newest().await);
    assert!(
        broken.is_empty(),
        "seed {seed}, files in {}: {broken:#?}",
        site.keep().display()
    );
    println!("seed {seed}: {}", ledger.summary());
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_under_faults_drawn_from_a_seed() {
    for seed in seeds() {
        play(seed).await;
    }
}
