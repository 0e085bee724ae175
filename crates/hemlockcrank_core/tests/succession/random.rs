//! Seeded runs: members crash, are cut off and lose orders, while the host writes. The model asserts at
//! each promotion that no acknowledged commit is lost; here that a calm end always has a primary.

use hemlockcrank_core::Name;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use rstest::rstest;

use crate::model::Site;

const STEPS: usize = 1_200;
const CALM: usize = 800;
const MEMBERS: [&str; 3] = ["a", "b", "c"];

fn one_in(random: &mut ChaCha8Rng, count: u32) -> bool {
    random.next_u32().is_multiple_of(count)
}

fn disturb(site: &mut Site, random: &mut ChaCha8Rng) {
    let name = MEMBERS[random.next_u32() as usize % MEMBERS.len()];
    let others_down = site
        .real
        .iter()
        .any(|(other, real)| **other != *name && real.down);
    let real = site.real(name);
    match random.next_u32() % 4 {
        0 if !real.down && !others_down => {
            real.down = true;
        }
        1 => real.down = false,
        2 => real.far = !real.far,
        _ => real.alone = !real.alone,
    }
    if one_in(random, 6) {
        // A restarted member has forgotten that it was paused.
        site.real(name).held = 0;
    }
}

fn host(site: &mut Site, random: &mut ChaCha8Rng) {
    let primary: Name = site.lead().member.clone();
    let others: Vec<&str> = MEMBERS
        .iter()
        .copied()
        .filter(|name| **name != *primary)
        .collect();
    if site.change().is_none() {
        let count = 1 + random.next_u32() as usize % others.len();
        let first = random.next_u32() as usize % others.len();
        let receivers: Vec<&str> = others
            .iter()
            .copied()
            .cycle()
            .skip(first)
            .take(count)
            .collect();
        site.write(&primary, &receivers);
        let real = &site.real[&primary];
        let failing = real.down || real.alone || !real.primary;
        site.failing_ms = match (failing, site.failing_ms) {
            (true, Some(ms)) => Some(ms + crate::model::TICK_MS),
            (true, None) => Some(0),
            (false, _) => None,
        };
    } else if !site.settled.complete && one_in(random, 20) {
        let heard = !one_in(random, 4);
        site.release(heard);
    }
}

#[rstest]
fn no_acknowledged_commit_is_lost_and_calm_brings_a_primary(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64,
) {
    for seed in block * 25..(block + 1) * 25 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut site = Site::new();
        for _ in 0..STEPS {
            if one_in(&mut random, 15) {
                disturb(&mut site, &mut random);
            }
            host(&mut site, &mut random);
            site.tick(|_| one_in(&mut random, 8));
        }
        for real in site.real.values_mut() {
            real.down = false;
            real.far = false;
            real.alone = false;
        }
        for _ in 0..CALM {
            host(&mut site, &mut random);
            site.tick(|_| false);
        }
        assert_eq!(site.change(), None, "seed {seed}: {site:#?}");
        let lead = site.lead().member.clone();
        assert!(site.real[&lead].primary, "seed {seed}: {site:#?}");
    }
}
