//! Rates and fair shares: goodput of the worst-served workspace, and wrongful refusals.
//!
//! The load is open-loop: each workspace sends on a schedule, independent of the answers. The
//! baselines are computed for the same arrivals: a bucket with a sixth of the rate on each host, and
//! one queue in order of arrival.

use std::{
    collections::{BinaryHeap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use hemlockcrank_core::{
    Name,
    quota::{Answer, Bucket},
    record::Rate,
};
use hemlockcrank_standin::{Site, SiteError};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

use crate::{
    load::{connect, group, millis, read, settings, start},
    report::{Report, quantile},
};

const WORKSPACES: usize = 8;
const RATE: Rate = Rate {
    per_second: 40,
    burst: 20,
};
/// Normal load of a workspace, in percent of its rate.
const NORMAL_PERCENT: u64 = 90;
const CASE_DURATION: Duration = Duration::from_secs(5);
/// Connections of each workspace, each to a host chosen at random as by a load balancer.
const CONNECTIONS: usize = 3;
/// Time that a statement takes at a member, in milliseconds.
const STATEMENT_MS: u64 = 5;
/// Statements that a member runs concurrently.
const SLOTS: usize = 3;
/// Longest wait in the queue of the baseline in order of arrival.
const DEADLINE_MS: f64 = 3_000.0;
const SEED: u64 = 20_261_204;

/// One statement: when it was sent, by which workspace, through which host, and its outcome.
#[derive(Clone, Debug)]
struct Statement {
    sent_at_ms: u64,
    workspace: usize,
    host: usize,
    served: bool,
    took_ms: f64,
}

struct Case {
    name: &'static str,
    /// Load of each workspace, as a multiple of its normal load.
    multiples: [u64; WORKSPACES],
    /// Whether each workspace has a rate.
    has_rates: bool,
}

pub(crate) async fn worst_workspace() -> Result<Report, SiteError> {
    let setting = "6 hosts, 8 workspaces at 36/s, one database of 3 members with 3 slots and 5 ms a \
                   statement, no rates set; goodput as a share of what was sent, the flooding one left out";
    let mut report = Report::new("worst-workspace", setting);
    let mut multiples = [1; WORKSPACES];
    let cases = [
        (1, "all at 1x"),
        (3, "one at 3x"),
        (10, "one at 10x"),
        (50, "one at 50x"),
    ];
    for (multiple, name) in cases {
        multiples[0] = multiple;
        let case = Case {
            name,
            multiples,
            has_rates: false,
        };
        let statements = run(&case).await?;
        report.row(name, goodput(&statements));
        report.row(
            format!("{name}, baseline: first come first served"),
            goodput(&simulate_queue(&statements)),
        );
    }
    Ok(report)
}

pub(crate) async fn wrongful_refusals() -> Result<Report, SiteError> {
    let setting = "6 hosts, 8 workspaces with rate 40/s and burst 20 sending 36/s over 3 connections; \
                   refused although one exact bucket for the fleet would have admitted it";
    let mut report = Report::new("wrongful-refusals", setting);
    let all = |multiple| [multiple; WORKSPACES];
    let one = |multiple| {
        let mut multiples = [1; WORKSPACES];
        multiples[0] = multiple;
        multiples
    };
    let cases = [
        ("all at 1x", all(1)),
        ("one at 3x", one(3)),
        ("one at 10x", one(10)),
        ("all at 3x", all(3)),
    ];
    for (name, multiples) in cases {
        let case = Case {
            name,
            multiples,
            has_rates: true,
        };
        let statements = run(&case).await?;
        report.row(case.name, count_refusals(&statements));
        let divided = simulate_static_division(&statements);
        report.row(
            format!("{name}, baseline: static division by 6"),
            count_refusals(&divided),
        );
    }
    Ok(report)
}

fn workspace_name(workspace: usize) -> Name {
    format!("member-{workspace}").into()
}

async fn run(case: &Case) -> Result<Vec<Statement>, SiteError> {
    let names: Vec<Name> = (0..WORKSPACES).map(workspace_name).collect();
    let group = group().statement_ms(STATEMENT_MS);
    let site = Arc::new(start(settings(group), &names).await?);
    if case.has_rates {
        for workspace in &names {
            site.set_rate(workspace, RATE.per_second, RATE.burst)
                .await?;
        }
    }
    let log = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let senders = case
        .multiples
        .iter()
        .enumerate()
        .map(|(workspace, multiple)| {
            let per_second = RATE.per_second * NORMAL_PERCENT * multiple / 100;
            send(
                Arc::clone(&site),
                workspace,
                per_second,
                started,
                Arc::clone(&log),
            )
        });
    for sender in futures_util::future::join_all(senders).await {
        sender?;
    }
    let mut statements = log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    statements.sort_by_key(|statement: &Statement| statement.sent_at_ms);
    Ok(statements)
}

/// Sends one workspace's statements on schedule, each on one of its connections chosen at random,
/// without waiting for earlier answers.
async fn send(
    site: Arc<Site>,
    workspace: usize,
    per_second: u64,
    started: Instant,
    log: Arc<Mutex<Vec<Statement>>>,
) -> Result<(), SiteError> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED + workspace as u64);
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let host = (random.next_u64() % 6) as usize;
        let client = Arc::new(connect(&site, host, &workspace_name(workspace)).await?);
        clients.push((host, client));
    }
    let mean_interval = Duration::from_micros(1_000_000 / per_second.max(1));
    let mut tasks = tokio::task::JoinSet::new();
    let mut send_at = Duration::ZERO;
    while send_at < CASE_DURATION {
        send_at += mean_interval * (random.next_u64() % 200) as u32 / 100;
        tokio::time::sleep_until((started + Duration::from_millis(500) + send_at).into()).await;
        let (host, client) = clients[(random.next_u64() % CONNECTIONS as u64) as usize].clone();
        let log = Arc::clone(&log);
        tasks.spawn(async move {
            let sent_at = Instant::now();
            let served = read(&client).await.is_ok();
            let statement = Statement {
                sent_at_ms: u64::try_from((sent_at - started).as_millis()).unwrap_or(0),
                workspace,
                host,
                served,
                took_ms: millis(sent_at.elapsed()),
            };
            log.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(statement);
        });
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

/// Goodput of the worst-served workspace and latencies of all, the first workspace excluded.
fn goodput(statements: &[Statement]) -> Vec<(&'static str, f64)> {
    let mut worst: f64 = 100.0;
    let mut latencies = Vec::new();
    for workspace in 1..WORKSPACES {
        let of_workspace: Vec<&Statement> = statements
            .iter()
            .filter(|s| s.workspace == workspace)
            .collect();
        let served = of_workspace.iter().filter(|s| s.served).count();
        worst = worst.min(100.0 * served as f64 / of_workspace.len().max(1) as f64);
        latencies.extend(of_workspace.iter().filter(|s| s.served).map(|s| s.took_ms));
    }
    let first = statements.iter().filter(|s| s.workspace == 0);
    vec![
        ("worst share %", worst),
        ("others p50 ms", quantile(&mut latencies.clone(), 0.5)),
        ("others p99 ms", quantile(&mut latencies, 0.99)),
        ("flooding one sent", first.clone().count() as f64),
        ("served", first.filter(|s| s.served).count() as f64),
    ]
}

/// Simulates the same arrivals through one queue for the slots of two replicas, in order of arrival.
fn simulate_queue(statements: &[Statement]) -> Vec<Statement> {
    let mut free_at: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    free_at.extend((0..2 * SLOTS).map(|_| std::cmp::Reverse(0)));
    let serve = |arrival: &Statement| {
        let slot_free_at = free_at.pop().map_or(0, |at| at.0);
        let begin = slot_free_at.max(arrival.sent_at_ms);
        let wait = (begin - arrival.sent_at_ms) as f64;
        let served = wait <= DEADLINE_MS;
        free_at.push(std::cmp::Reverse(if served {
            begin + STATEMENT_MS
        } else {
            slot_free_at
        }));
        Statement {
            served,
            took_ms: wait + STATEMENT_MS as f64,
            ..arrival.clone()
        }
    };
    statements.iter().map(serve).collect()
}

/// Simulates the same arrivals with a sixth of the rate and the burst on each host.
fn simulate_static_division(statements: &[Statement]) -> Vec<Statement> {
    let share = Rate {
        per_second: RATE.per_second / 6,
        burst: (RATE.burst / 6).max(1),
    };
    let mut buckets: HashMap<(usize, usize), Bucket> = HashMap::new();
    let admit = |arrival: &Statement| {
        let key = (arrival.workspace, arrival.host);
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::full(share, 0));
        Statement {
            served: spend_token(bucket, arrival.sent_at_ms),
            ..arrival.clone()
        }
    };
    statements.iter().map(admit).collect()
}

/// Spends one token; returns whether there was one.
fn spend_token(bucket: &mut Bucket, now: u64) -> bool {
    match bucket.lend(now, 1, 0, &[]) {
        Answer::Granted(loan) => {
            let spent = hemlockcrank_core::quota::Settlement {
                id: loan.id,
                unspent: 0,
            };
            bucket.lend(now, 0, 0, &[spent]);
            true
        }
        Answer::Reserved { .. } | Answer::Empty { .. } | Answer::Closed => false,
    }
}

/// Counts refusals, and those among them that one exact bucket for all hosts would not have made.
fn count_refusals(statements: &[Statement]) -> Vec<(&'static str, f64)> {
    let mut exact_buckets: HashMap<usize, Bucket> = HashMap::new();
    let (mut refused, mut wrongly_refused, mut within_rate) = (0, 0, 0);
    for arrival in statements {
        let bucket = exact_buckets
            .entry(arrival.workspace)
            .or_insert_with(|| Bucket::full(RATE, 0));
        let is_within_rate = spend_token(bucket, arrival.sent_at_ms);
        within_rate += u64::from(is_within_rate);
        refused += u64::from(!arrival.served);
        wrongly_refused += u64::from(!arrival.served && is_within_rate);
    }
    let mut latencies: Vec<f64> = statements
        .iter()
        .filter(|s| s.served)
        .map(|s| s.took_ms)
        .collect();
    vec![
        ("sent", statements.len() as f64),
        ("within rate", within_rate as f64),
        ("refused", refused as f64),
        ("wrongly", wrongly_refused as f64),
        ("others p99 ms", quantile(&mut latencies, 0.99)),
    ]
}
