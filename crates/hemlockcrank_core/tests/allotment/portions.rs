//! Portions of a rate: limits on their sum when answers are lost, owners fail and hosts stop renewing.

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
/// Parts that all hosts together may hold.
const HALF: u64 = TOTAL_PARTS / 2;
const HOSTS: [&str; 4] = ["h1", "h2", "h3", "h4"];

fn names() -> Vec<Name> {
    HOSTS.iter().map(|name| Name::from(*name)).collect()
}

fn request(held: u64, demand: u64) -> PortionRequest {
    PortionRequest {
        workspace: "w".into(),
        held,
        demand,
    }
}

/// An allocation to which every host has reported its portion.
fn reported_allocation() -> Allocation {
    let mut allocation = Allocation::new(0, names());
    for name in names() {
        allocation.allocate(0, &name, &request(0, 0), 4, HALF);
    }
    allocation
}

#[test]
fn portions_follow_demand_and_their_sum_stays_within_the_limit() {
    let mut allocation = reported_allocation();
    let mut held = BTreeMap::new();

    for now in 1..40 {
        for (name, demand) in names().iter().zip([90, 10, 0, 0]) {
            let held_before = held.get(name).copied().unwrap_or(0);
            let parts =
                allocation.allocate(now * 100, name, &request(held_before, demand), 4, HALF);
            held.insert(name.clone(), parts);
            assert!(held.values().sum::<u64>() <= HALF);
        }
    }

    assert!(held["h1"] > HALF / 2, "{held:?}");
    assert!(held["h3"] > 0, "an idle host keeps a little: {held:?}");
}

#[test]
fn a_new_owner_increases_no_portion_before_every_host_has_reported_its_own() {
    let mut allocation = Allocation::new(1_000, names());

    let first = allocation.allocate(1_000, &"h1".into(), &request(200_000, 50), 4, HALF);
    let second = allocation.allocate(1_000, &"h2".into(), &request(0, 50), 4, HALF);

    assert!(first <= 200_000);
    assert_eq!(second, 0);
}

#[test]
fn a_new_owner_grants_when_the_portions_of_the_previous_owner_have_expired() {
    let mut allocation = Allocation::new(1_000, names());

    let early = allocation.allocate(1_000 + PORTION_MS, &"h2".into(), &request(0, 50), 4, HALF);
    let late = allocation.allocate(1_200 + PORTION_MS, &"h2".into(), &request(0, 50), 4, HALF);

    assert_eq!(early, 0);
    assert!(late > 0);
}

#[test]
fn a_new_owner_does_not_wait_for_hosts_that_left_the_view() {
    let mut allocation = Allocation::new(1_000, names());
    allocation.retain_hosts(|name| **name == *"h2");

    let parts = allocation.allocate(1_000, &"h2".into(), &request(0, 50), 1, HALF);

    assert!(parts > 0);
}

#[test]
fn a_host_continues_without_the_owner_until_its_portion_expires() {
    let mut portion = Portion::default();
    portion.request(0, "w".into());
    portion.apply_grant(10, 0, HALF, RATE, 4);

    let early = (0..40)
        .filter(|step| portion.take(1_000 + step * 20, RATE, 4))
        .count();
    let late = (0..40)
        .filter(|step| portion.take(PORTION_MS + step * 20, RATE, 4))
        .count();

    assert!(early > 30, "{early}");
    assert_eq!(late, 0);
}

#[test]
fn no_portions_are_granted_of_a_rate_that_is_over_its_limit() {
    let mut allocation = reported_allocation();
    let held = allocation.allocate(100, &"h1".into(), &request(0, 50), 4, HALF);
    assert!(held > 0);

    let granted = allocation.allocate(400, &"h1".into(), &request(held, 50), 4, 0);
    assert_eq!(granted, 0);
    assert!(
        allocation.in_use(400, HALF) >= held,
        "the old portion counts until the host has confirmed the new one"
    );
    allocation.allocate(700, &"h1".into(), &request(0, 50), 4, 0);

    assert!(allocation.in_use(700, HALF) < held);
}

#[test]
fn an_answer_to_an_older_request_is_ignored() {
    let mut portion = Portion::default();
    portion.request(0, "w".into());
    portion.request(100, "w".into());

    portion.apply_grant(110, 0, TOTAL_PARTS, RATE, 4);

    assert_eq!(portion.request(200, "w".into()).held, 0);
}

/// Hosts spend as fast as they can while owners change and requests and answers are lost. In no time
/// window do the hosts together spend more than the rate and the burst allow, with one token per host for
/// rounding.
#[test]
fn no_window_exceeds_rate_and_burst() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut one_in = |count: u32| random.next_u32().is_multiple_of(count);
        let mut allocation = reported_allocation();
        let mut portions: BTreeMap<Name, Portion> = names()
            .into_iter()
            .map(|name| (name, Portion::default()))
            .collect();
        let mut spent_at: Vec<u64> = Vec::new();
        for now in (10..30_000).step_by(10) {
            if one_in(700) {
                allocation = Allocation::new(now, names());
            }
            for (name, portion) in &mut portions {
                if one_in(2_000) {
                    *portion = Portion::default();
                }
                if one_in(12) {
                    let request = portion.request(now, "w".into());
                    if one_in(8) {
                        continue;
                    }
                    let parts = allocation.allocate(now, name, &request, 4, HALF);
                    if !one_in(8) {
                        portion.apply_grant(now, now, parts, RATE, 4);
                    }
                }
                while portion.take(now, RATE, 4) {
                    spent_at.push(now);
                }
            }
        }
        for (index, start) in spent_at.iter().enumerate() {
            let within = spent_at[index..]
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
fn a_rate_too_small_for_many_hosts_is_lent_without_portions() {
    let small = Rate {
        per_second: 20,
        burst: 20,
    };

    assert!(uses_portions(small, 6), "few hosts hold one token each");
    assert!(!uses_portions(small, 55));
    assert!(uses_portions(RATE, 25));
}

#[test]
fn most_of_a_large_rate_is_held_in_portions() {
    let rate = |burst| Rate {
        per_second: burst,
        burst,
    };

    assert_eq!(max_held(rate(20)), HALF);
    assert_eq!(max_held(rate(120)), TOTAL_PARTS * 4 / 5);
}

/// While the owner is unreachable, a host continues with four fifths of a large rate.
#[test]
fn a_host_of_a_large_workspace_continues_without_the_owner() {
    let large = Rate {
        per_second: 120,
        burst: 120,
    };
    let max_parts = max_held(large);
    let mut allocation = Allocation::new(0, [Name::from("h1")]);
    let mut portion = Portion::default();
    let request = portion.request(0, "w".into());
    let parts = allocation.allocate(0, &"h1".into(), &request, 1, max_parts);
    portion.apply_grant(1, 0, parts, large, 1);

    let admitted = (0..240).filter(|step| portion.take(1_000 + step * 13, large, 1));

    assert!(
        admitted.count() >= 220,
        "77 operations a second are within the rate"
    );
}
