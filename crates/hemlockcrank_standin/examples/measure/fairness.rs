//! Rates and fair shares: the worst-served workspace, and wrongful refusals.
//!
//! The load is open: each workspace sends on a schedule, whatever the answers are. The baselines run over
//! the very same arrivals: a bucket of a sixth of the rate on each host, and one queue in order of arrival.

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
/// Share of its rate that a workspace sends when it does not surge, in percent.
const NORMAL_PERCENT: u64 = 90;
const RUN: Duration = Duration::from_secs(5);
/// Connections of each workspace, on hosts that the balancer picks.
const CONNECTIONS: usize = 3;
/// Statements of a workspace that may be open at once on one connection's task.
const STATEMENT_MS: u64 = 5;
const SLOTS: usize = 3;
const DEADLINE_MS: f64 = 3_000.0;
const SEED: u64 = 20_261_204;

/// One statement as sent, and how it ended.
#[derive(Clone, Debug)]
struct Sent {
    at_ms: u64,
    workspace: usize,
    host: usize,
    served: bool,
    took_ms: f64,
}

struct Case {
    name: &'static str,
    /// Load of each workspace, as a multiple of its normal load.
    times: [u64; WORKSPACES],
    rates: bool,
}

pub(crate) async fn worst_workspace() -> Result<Report, SiteError> {
    let setting = "6 hosts, 8 workspaces at 36/s, one database of 3 members with 3 slots and 5 ms a \
                   statement, no rates set; goodput as a share of what was sent, the flooding one left out";
    let mut report = Report::new("worst-workspace", setting);
    let mut surge = [1; WORKSPACES];
    let cases = [
        (1, "all at 1x"),
        (3, "one at 3x"),
        (10, "one at 10x"),
        (50, "one at 50x"),
    ];
    for (times, name) in cases {
        surge[0] = times;
        let case = Case {
            name,
            times: surge,
            rates: false,
        };
        let sent = run(&case).await?;
        report.row(name, shares(&sent));
        report.row(
            format!("{name}, baseline: first come first served"),
            shares(&in_order(&sent)),
        );
    }
    Ok(report)
}

pub(crate) async fn wrongful_refusals() -> Result<Report, SiteError> {
    let setting = "6 hosts, 8 workspaces with rate 40/s and burst 20 sending 36/s over 3 connections; \
                   refused although one exact bucket for the fleet would have admitted it";
    let mut report = Report::new("wrongful-refusals", setting);
    let all = |times| [times; WORKSPACES];
    let one = |times| {
        let mut all = [1; WORKSPACES];
        all[0] = times;
        all
    };
    let cases = [
        ("all at 1x", all(1)),
        ("one at 3x", one(3)),
        ("one at 10x", one(10)),
        ("all at 3x", all(3)),
    ];
    for (name, times) in cases {
        let case = Case {
            name,
            times,
            rates: true,
        };
        let sent = run(&case).await?;
        report.row(case.name, wrongful(&sent));
        let divided = divide(&sent);
        report.row(
            format!("{name}, baseline: static division by 6"),
            wrongful(&divided),
        );
    }
    Ok(report)
}

fn name(workspace: usize) -> Name {
    format!("member-{workspace}").into()
}

async fn run(case: &Case) -> Result<Vec<Sent>, SiteError> {
    let names: Vec<Name> = (0..WORKSPACES).map(name).collect();
    let group = group().statement_ms(STATEMENT_MS);
    let site = Arc::new(start(settings(group), &names).await?);
    if case.rates {
        for workspace in &names {
            site.set_rate(workspace, RATE.per_second, RATE.burst)
                .await?;
        }
    }
    let log = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let senders = case.times.iter().enumerate().map(|(workspace, times)| {
        let per_second = RATE.per_second * NORMAL_PERCENT * times / 100;
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
    let mut sent = log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    sent.sort_by_key(|sent: &Sent| sent.at_ms);
    Ok(sent)
}

/// Sends one workspace's statements on schedule, each by a pooled connection of its own.
async fn send(
    site: Arc<Site>,
    workspace: usize,
    per_second: u64,
    started: Instant,
    log: Arc<Mutex<Vec<Sent>>>,
) -> Result<(), SiteError> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED + workspace as u64);
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let host = (random.next_u64() % 6) as usize;
        let client = Arc::new(connect(&site, host, &name(workspace)).await?);
        clients.push((host, client));
    }
    let gap = Duration::from_micros(1_000_000 / per_second.max(1));
    let mut tasks = tokio::task::JoinSet::new();
    let mut due = Duration::ZERO;
    while due < RUN {
        due += gap * (random.next_u64() % 200) as u32 / 100;
        tokio::time::sleep_until((started + Duration::from_millis(500) + due).into()).await;
        let (host, client) = clients[(random.next_u64() % CONNECTIONS as u64) as usize].clone();
        let log = Arc::clone(&log);
        tasks.spawn(async move {
            let at = Instant::now();
            let served = read(&client).await.is_ok();
            let sent = Sent {
                at_ms: u64::try_from((at - started).as_millis()).unwrap_or(0),
                workspace,
                host,
                served,
                took_ms: millis(at.elapsed()),
            };
            log.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(sent);
        });
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

/// Goodput of the worst-served workspace but the first, and the waits of all but the first.
fn shares(sent: &[Sent]) -> Vec<(&'static str, f64)> {
    let mut worst: f64 = 100.0;
    let mut waits = Vec::new();
    for workspace in 1..WORKSPACES {
        let own: Vec<&Sent> = sent.iter().filter(|s| s.workspace == workspace).collect();
        let served = own.iter().filter(|s| s.served).count();
        worst = worst.min(100.0 * served as f64 / own.len().max(1) as f64);
        waits.extend(own.iter().filter(|s| s.served).map(|s| s.took_ms));
    }
    let first = sent.iter().filter(|s| s.workspace == 0);
    vec![
        ("worst share %", worst),
        ("others p50 ms", quantile(&mut waits.clone(), 0.5)),
        ("others p99 ms", quantile(&mut waits, 0.99)),
        ("flooding one sent", first.clone().count() as f64),
        ("served", first.filter(|s| s.served).count() as f64),
    ]
}

/// The same arrivals through one queue before the slots of two replicas, in order of arrival.
fn in_order(sent: &[Sent]) -> Vec<Sent> {
    let mut free: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    free.extend((0..2 * SLOTS).map(|_| std::cmp::Reverse(0)));
    let serve = |arrival: &Sent| {
        let slot = free.pop().map_or(0, |slot| slot.0);
        let begin = slot.max(arrival.at_ms);
        let wait = (begin - arrival.at_ms) as f64;
        let served = wait <= DEADLINE_MS;
        free.push(std::cmp::Reverse(if served {
            begin + STATEMENT_MS
        } else {
            slot
        }));
        Sent {
            served,
            took_ms: wait + STATEMENT_MS as f64,
            ..arrival.clone()
        }
    };
    sent.iter().map(serve).collect()
}

/// The same arrivals with a sixth of rate and burst on each host.
fn divide(sent: &[Sent]) -> Vec<Sent> {
    let share = Rate {
        per_second: RATE.per_second / 6,
        burst: (RATE.burst / 6).max(1),
    };
    let mut buckets: HashMap<(usize, usize), Bucket> = HashMap::new();
    let admit = |arrival: &Sent| {
        let key = (arrival.workspace, arrival.host);
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::full(share, 0));
        Sent {
            served: spend(bucket, arrival.at_ms),
            ..arrival.clone()
        }
    };
    sent.iter().map(admit).collect()
}

/// Takes one token for good.
fn spend(bucket: &mut Bucket, now: u64) -> bool {
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

/// Refusals that one exact bucket for the whole fleet would not have made.
fn wrongful(sent: &[Sent]) -> Vec<(&'static str, f64)> {
    let mut exact: HashMap<usize, Bucket> = HashMap::new();
    let (mut refused, mut wrongly, mut within) = (0, 0, 0);
    for arrival in sent {
        let bucket = exact
            .entry(arrival.workspace)
            .or_insert_with(|| Bucket::full(RATE, 0));
        let allowed = spend(bucket, arrival.at_ms);
        within += u64::from(allowed);
        refused += u64::from(!arrival.served);
        wrongly += u64::from(!arrival.served && allowed);
    }
    let mut waits: Vec<f64> = sent
        .iter()
        .filter(|s| s.served)
        .map(|s| s.took_ms)
        .collect();
    vec![
        ("sent", sent.len() as f64),
        ("within rate", within as f64),
        ("refused", refused as f64),
        ("wrongly", wrongly as f64),
        ("others p99 ms", quantile(&mut waits, 0.99)),
    ]
}
