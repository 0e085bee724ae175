//! Load patterns: each test says what callers of each kind need under it.

use hemlockcrank_core::dispatch::Dispatcher;

use crate::member::{Load, Result, SLOTS, run};

/// Orders: the most urgent kind.
fn orders(workspace: &'static str, per_second: u64) -> Load {
    Load {
        workspace,
        priority: 0,
        per_second,
        service_ms: 6,
        useful_wait_ms: 100,
        from_to: (0, 10_000),
    }
}

/// Stock lookups: the least urgent kind.
fn lookups(workspace: &'static str, per_second: u64) -> Load {
    Load {
        priority: 2,
        service_ms: 30,
        useful_wait_ms: 500,
        ..orders(workspace, per_second)
    }
}

fn serve(loads: &[Load]) -> Vec<Result> {
    run(Dispatcher::new(Some(SLOTS)), loads, 11_000, |_| 1).1
}

/// Nothing waits past the time until which it could be served, and no refusal comes as late as that.
fn assert_none_waits_in_vain(loads: &[Load], results: &[Result]) {
    for (load, result) in loads.iter().zip(results) {
        assert_eq!(result.late, 0, "{load:?}");
        let longest = result.refusals.iter().map(|(waited, _)| *waited).max();
        assert!(
            longest.is_none_or(|ms| ms < load.useful_wait_ms),
            "{load:?} {longest:?}"
        );
    }
}

/// Guards against lookups that fill the member's slots and queue, so that orders are refused.
#[test]
fn burst_of_the_least_urgent_kind() {
    let loads = [
        orders("a", 100),
        Load {
            from_to: (2_000, 8_000),
            ..lookups("b", 600)
        },
    ];

    let results = serve(&loads);

    assert_none_waits_in_vain(&loads, &results);
    assert_eq!(results[0].percent(), 100);
    assert!(results[1].percent() >= 10, "{}", results[1].percent());
}

/// Guards against strict priority: the least urgent kind is served less, but in every second.
#[test]
fn burst_of_the_most_urgent_kind() {
    let loads = [
        orders("a", 1_500),
        lookups("b", 20),
        Load {
            priority: 3,
            ..lookups("c", 20)
        },
    ];

    let results = serve(&loads);

    assert_none_waits_in_vain(&loads, &results);
    assert!(results[0].percent() >= 35, "{}", results[0].percent());
    for least_urgent in &results[1..] {
        assert!(least_urgent.served >= 10, "{}", least_urgent.served);
    }
}

/// Guards against a workspace whose load costs the others their service.
#[test]
fn one_workspace_with_many_times_its_load() {
    let quiet = [lookups("a", 20), lookups("b", 20), lookups("c", 20)];
    let mut loads = quiet.to_vec();
    loads.push(lookups("loud", 800));

    let alone = serve(&quiet);
    let results = serve(&loads);

    assert_none_waits_in_vain(&loads, &results);
    for (with, without) in results.iter().zip(&alone) {
        assert_eq!(with.served, without.served);
    }
    // The loud workspace gets what the others leave: 133 lookups a second less their 60.
    assert!(results[3].served >= 650, "{}", results[3].served);
}

/// Guards against statements that wait at a member that has become too slow to serve them.
#[test]
fn slow_member() {
    let loads = [orders("a", 100), lookups("b", 100)];
    let slow = |now: u64| if (3_000..6_000).contains(&now) { 6 } else { 1 };

    let (_, results) = run(Dispatcher::new(Some(SLOTS)), &loads, 11_000, slow);

    for (load, result) in loads.iter().zip(&results) {
        let longest = result.refusals.iter().map(|(waited, _)| *waited).max();
        assert!(longest.is_some_and(|ms| ms <= load.useful_wait_ms));
    }
    assert!(results[0].percent() >= results[1].percent());
    assert!(results[1].percent() >= 70, "{}", results[1].percent());
}
