//! Outages, the limit, and when those who are refused come back.

use std::collections::BTreeSet;

use hemlockcrank_core::dispatch::{Decision, Dispatcher, Offer, Outcome, Ticket};

use crate::member::SLOTS;

fn offer(workspace: &str, priority: u32, latest: u64) -> Offer {
    Offer {
        workspace: workspace.into(),
        priority,
        latest,
        begun: false,
    }
}

/// A dispatcher at its largest limit that has measured this service time.
fn warm(service_ms: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Some(SLOTS));
    for _ in 0..60 {
        if let Decision::Run(ticket) = dispatcher.offer(0, offer("warm", 0, 0)) {
            dispatcher.finish(service_ms, ticket, Outcome::Served);
        }
    }
    assert_eq!(dispatcher.load().limit, Some(SLOTS + 1));
    dispatcher
}

/// Starts as many statements as the limit allows.
fn fill(dispatcher: &mut Dispatcher, now: u64) -> Vec<Ticket> {
    let decisions = std::iter::repeat_with(|| dispatcher.offer(now, offer("w", 0, 0)));
    let running = decisions.map_while(|decision| match decision {
        Decision::Run(ticket) => Some(ticket),
        _ => None,
    });
    running.collect()
}

/// Guards against a primary that is back and gets all that waited for it at once.
#[test]
fn primary_lost() {
    let mut dispatcher = warm(10);
    for ticket in fill(&mut dispatcher, 1_000) {
        dispatcher.finish(1_100, ticket, Outcome::Unreached);
    }

    let mut in_progress = Vec::new();
    let mut open = fill(&mut dispatcher, 2_000);
    for round in 1..=12 {
        in_progress.push(open.len());
        for ticket in open {
            dispatcher.finish(2_000 + round * 10, ticket, Outcome::Served);
        }
        open = fill(&mut dispatcher, 2_000 + round * 10);
    }

    assert_eq!(in_progress[0], 1);
    assert!(in_progress.windows(2).all(|pair| pair[1] <= pair[0] + 1));
    assert_eq!(in_progress[11], SLOTS + 1);
}

/// Guards against callers that were refused after an outage and are told to come back all at once.
#[test]
fn return_of_all_callers_after_an_outage() {
    let mut dispatcher = warm(10);
    dispatcher.restart();
    fill(&mut dispatcher, 1_000);

    let decisions = (0..300).map(|_| dispatcher.offer(1_000, offer("w", 0, 1_100)));
    let times: Vec<u64> = decisions
        .filter_map(|decision| match decision {
            Decision::Refuse(refusal) => Some(refusal.retry_after_ms),
            _ => None,
        })
        .collect();

    assert!(times.len() >= 280, "{}", times.len());
    // At 10 ms each, at most one in 10 ms can be served. No 100 ms get more than twice their part of
    // the 2 s that the times are spread over.
    let busiest = (0..4_000)
        .step_by(100)
        .map(|from| {
            times
                .iter()
                .filter(|ms| (from..from + 100).contains(*ms))
                .count()
        })
        .max();
    assert!(busiest <= Some(2 * 300 * 100 / 2_000), "{busiest:?}");
    let distinct: BTreeSet<&u64> = times.iter().collect();
    assert!(distinct.len() >= 200, "{}", distinct.len());
}

/// Guards against hosts that together fill a member's queue, as none knows of the others.
#[test]
fn busy_answers_lower_the_limit_once_a_round_and_not_below_half_of_the_slots() {
    let mut dispatcher = warm(10);
    let mut limits = Vec::new();
    for round in 0..8 {
        let now = 1_000 + round * 20;
        for ticket in fill(&mut dispatcher, now) {
            dispatcher.finish(now + 10, ticket, Outcome::Busy);
        }
        limits.extend(dispatcher.load().limit);
    }
    assert_eq!(limits, [3, 2, 2, 2, 2, 2, 2, 2]);
}

/// Guards against executors that each fill the member's queue without a refusal, where the most urgent
/// then wait behind all others.
#[test]
fn several_executors_share_a_member() {
    let mut executors = vec![Dispatcher::new(Some(SLOTS)); 6];
    let mut in_progress = Vec::new();
    for round in 0..60 {
        let now = round * 1_000;
        let running: Vec<Vec<Ticket>> = executors.iter_mut().map(|e| fill(e, now)).collect();
        let total: usize = running.iter().map(Vec::len).sum();
        let took_ms = (17 * total / SLOTS).max(17) as u64;
        for (executor, tickets) in executors.iter_mut().zip(running) {
            for ticket in tickets {
                executor.finish(now + took_ms, ticket, Outcome::Served);
            }
        }
        in_progress.push(total);
    }

    let last = &in_progress[30..];
    assert!(
        last.iter().all(|total| (SLOTS..=5 * SLOTS).contains(total)),
        "{last:?}"
    );
}

/// Guards against new work that holds up transactions, which hold locks and a connection.
#[test]
fn statements_of_transactions_that_have_begun_go_first() {
    let mut dispatcher = warm(10);
    let running = fill(&mut dispatcher, 1_000);
    let new = dispatcher.offer(1_000, offer("a", 0, 1_100));
    let begun = Offer {
        begun: true,
        ..offer("b", 3, 1_001)
    };
    let begun = dispatcher.offer(1_000, begun);
    assert!(matches!(new, Decision::Wait(_)));

    dispatcher.finish(1_001, running[0], Outcome::Served);
    let turns = dispatcher.take_turns(1_001);

    assert_eq!(Decision::Wait(turns[0].ticket), begun);
    assert_eq!((turns.len(), turns[0].refusal), (1, None));
}

/// Guards against a queue in which the least urgent wait in vain while urgent work overtakes them.
#[test]
fn urgent_arrivals_refuse_the_least_urgent_at_once() {
    let mut dispatcher = warm(10);
    fill(&mut dispatcher, 1_000);
    let waiting = (0..5).map(|_| dispatcher.offer(1_000, offer("a", 2, 1_012)));
    let waiting: Vec<Decision> = waiting.collect();

    for _ in 0..10 {
        dispatcher.offer(1_001, offer("b", 0, 1_100));
    }
    let refused = dispatcher.take_turns(1_001);

    let refused: Vec<Ticket> = refused
        .iter()
        .filter(|turn| turn.refusal.is_some_and(|r| r.retry_after_ms > 0))
        .map(|turn| turn.ticket)
        .collect();
    assert!(refused.len() >= 4, "{refused:?}");
    assert!(
        refused
            .iter()
            .all(|ticket| waiting.contains(&Decision::Wait(*ticket)))
    );
}

/// Guards against a change on sites without executors, where nothing waits here.
#[test]
fn without_slots_there_is_no_limit() {
    let mut dispatcher = Dispatcher::new(None);
    let running = (0..1_000).map(|_| dispatcher.offer(0, offer("w", 3, 0)));
    assert!(
        running
            .into_iter()
            .all(|decision| matches!(decision, Decision::Run(_)))
    );
}

/// Guards against a member at which nothing runs any more because the answers to a few statements are
/// lost.
#[test]
fn statements_without_an_answer_do_not_keep_others_waiting() {
    let mut dispatcher = warm(10);
    let lost = fill(&mut dispatcher, 1_000);
    assert!(!lost.is_empty());

    let started = fill(&mut dispatcher, 1_400);

    assert_eq!(started.len(), lost.len());
    assert_eq!(fill(&mut dispatcher, 1_400).len(), 0);
}
