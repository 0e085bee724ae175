//! Portions of a rate: what hosts may use together, through lost answers, lost owners and silent hosts.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    Name,
    quota::{
        Allocation, PORTION_MS, Portion, PortionRequest, TOTAL_PARTS, max_held, uses_portions,
    },
    record::Rate,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

const RATE: Rate = Rate {
    per_second: 100,
    burst: 50,
};
/// Parts that may be held together.
const HALF: u64 = TOTAL_PARTS / 2;
const HOSTS: [&str; 4] = ["h1", "h2", "h3", "h4"];

fn names() -> Vec<Name> {
    HOSTS.iter().map(|name| Name::from(*name)).collect()
}

fn ask(held: u64, demand: u64) -> PortionRequest {
    PortionRequest {
        workspace: "w".into(),
        held,
        demand,
    }
}

/// A division that every host has reported to.
fn open_division() -> Allocation {
    let mut division = Allocation::new(0, names());
    for name in names() {
        division.allocate(0, &name, &ask(0, 0), 4, HALF);
    }
    division
}

#[test]
fn demand_decides_and_the_sum_stays_within_the_whole() {
    let mut division = open_division();
    let mut held = BTreeMap::new();

    for now in 1..40 {
        for (name, demand) in names().iter().zip([90, 10, 0, 0]) {
            let before = held.get(name).copied().unwrap_or(0);
            let parts = division.allocate(now * 100, name, &ask(before, demand), 4, HALF);
            held.insert(name.clone(), parts);
            assert!(held.values().sum::<u64>() <= HALF);
        }
    }

    assert!(held["h1"] > HALF / 2, "{held:?}");
    assert!(held["h3"] > 0, "an idle host keeps a little: {held:?}");
}

#[test]
fn a_new_owner_raises_nothing_before_every_host_has_told_what_it_holds() {
    let mut division = Allocation::new(1_000, names());

    let first = division.allocate(1_000, &"h1".into(), &ask(200_000, 50), 4, HALF);
    let second = division.allocate(1_000, &"h2".into(), &ask(0, 50), 4, HALF);

    assert!(first <= 200_000);
    assert_eq!(second, 0);
}

#[test]
fn a_new_owner_opens_when_the_old_portions_have_surely_ended() {
    let mut division = Allocation::new(1_000, names());

    let early = division.allocate(1_000 + PORTION_MS, &"h2".into(), &ask(0, 50), 4, HALF);
    let late = division.allocate(1_200 + PORTION_MS, &"h2".into(), &ask(0, 50), 4, HALF);

    assert_eq!(early, 0);
    assert!(late > 0);
}

#[test]
fn a_new_owner_does_not_wait_for_hosts_that_left_the_view() {
    let mut division = Allocation::new(1_000, names());
    division.retain_hosts(|name| **name == *"h2");

    let parts = division.allocate(1_000, &"h2".into(), &ask(0, 50), 1, HALF);

    assert!(parts > 0);
}

#[test]
fn a_host_goes_on_without_its_owner_until_its_portion_ends() {
    let mut portion = Portion::default();
    portion.request(0, "w".into());
    portion.apply_grant(10, 0, HALF, RATE, 4);

    let early = (0..40)
        .filter(|turn| portion.take(1_000 + turn * 20, RATE, 4))
        .count();
    let late = (0..40)
        .filter(|turn| portion.take(PORTION_MS + turn * 20, RATE, 4))
        .count();

    assert!(early > 30, "{early}");
    assert_eq!(late, 0);
}

#[test]
fn nothing_is_held_of_a_rate_that_is_over_its_limit() {
    let mut division = open_division();
    let held = division.allocate(100, &"h1".into(), &ask(0, 50), 4, HALF);
    assert!(held > 0);

    let less = division.allocate(400, &"h1".into(), &ask(held, 50), 4, 0);
    assert_eq!(less, 0);
    assert!(
        division.in_use(400, HALF) >= held,
        "until the host has confirmed it"
    );
    division.allocate(700, &"h1".into(), &ask(0, 50), 4, 0);

    assert!(division.in_use(700, HALF) < held);
}

#[test]
fn an_answer_to_an_older_question_is_dropped() {
    let mut portion = Portion::default();
    portion.request(0, "w".into());
    portion.request(100, "w".into());

    portion.apply_grant(110, 0, TOTAL_PARTS, RATE, 4);

    assert_eq!(portion.request(200, "w".into()).held, 0);
}

/// Hosts take as fast as they can; owners come and go; questions and answers are lost. In no window do
/// the hosts together get more than the rate and the burst allow, with one operation a host for rounding.
#[test]
fn no_window_exceeds_rate_and_burst() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut chance = |count: u32| random.next_u32().is_multiple_of(count);
        let mut division = open_division();
        let mut portions: BTreeMap<Name, Portion> = names()
            .into_iter()
            .map(|name| (name, Portion::default()))
            .collect();
        let mut taken: Vec<u64> = Vec::new();
        for now in (10..30_000).step_by(10) {
            if chance(700) {
                division = Allocation::new(now, names());
            }
            for (name, portion) in &mut portions {
                if chance(2_000) {
                    *portion = Portion::default();
                }
                if chance(12) {
                    let question = portion.request(now, "w".into());
                    if chance(8) {
                        continue;
                    }
                    let parts = division.allocate(now, name, &question, 4, HALF);
                    if !chance(8) {
                        portion.apply_grant(now, now, parts, RATE, 4);
                    }
                }
                while portion.take(now, RATE, 4) {
                    taken.push(now);
                }
            }
        }
        for (index, start) in taken.iter().enumerate() {
            let within = taken[index..]
                .iter()
                .take_while(|at| **at < start + 5_000)
                .count() as u64;
            let allowed = (5 * RATE.per_second + RATE.burst) / 2 + HOSTS.len() as u64;
            assert!(
                within <= allowed,
                "seed {seed}: {within} operations from {start} on"
            );
        }
    }
}

#[test]
fn a_rate_too_small_for_many_hosts_is_lent_as_a_whole() {
    let small = Rate {
        per_second: 20,
        burst: 20,
    };

    assert!(uses_portions(small, 6), "few hosts hold one operation each");
    assert!(!uses_portions(small, 55));
    assert!(uses_portions(RATE, 25));
}

#[test]
fn a_large_rate_is_held_for_the_greater_part() {
    let rate = |burst| Rate {
        per_second: burst,
        burst,
    };

    assert_eq!(max_held(rate(20)), HALF);
    assert_eq!(max_held(rate(120)), TOTAL_PARTS * 4 / 5);
}

/// The owner is cut off; a host goes on with four fifths of what it may use of a large rate.
#[test]
fn a_host_of_a_large_workspace_goes_on_without_the_owner() {
    let large = Rate {
        per_second: 120,
        burst: 120,
    };
    let most = max_held(large);
    let mut division = Allocation::new(0, [Name::from("h1")]);
    let mut portion = Portion::default();
    let question = portion.request(0, "w".into());
    let parts = division.allocate(0, &"h1".into(), &question, 1, most);
    portion.apply_grant(1, 0, parts, large, 1);

    let came = (0..240).filter(|turn| portion.take(1_000 + turn * 13, large, 1));

    assert!(
        came.count() >= 220,
        "77 operations a second are within the rate"
    );
}
