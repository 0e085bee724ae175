//! Quality of service while an availability zone is taken out of service and put back.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use hemlockcrank_core::{Name, record::Kind};
use hemlockcrank_standin::{Site, SiteError};

use crate::{
    load::{group, read, save, settings, start, timed},
    report::{Report, quantile},
};

const PHASE_DURATION: Duration = Duration::from_secs(4);
/// Pause of a caller between two statements.
const PAUSE: Duration = Duration::from_millis(5);
const PHASES: [&str; 4] = ["before", "zone leaves and is out", "zone returns", "after"];
/// One statement in this many is a save, the others are reads.
const STATEMENTS_PER_SAVE: u32 = 8;

/// Outcome of one statement.
#[derive(Clone, Copy)]
struct Statement {
    phase: u8,
    served: bool,
    unknown: bool,
    took_ms: f64,
}

pub(crate) async fn measure() -> Result<Report, SiteError> {
    let setting = "6 hosts, 1 database of 3 with its primary in recife-a, which leaves and returns; 8 \
                   callers, reconnecting where told; 4 s a phase";
    let mut report = Report::new("zone-move", setting);
    report.rows.extend(run(true).await?.rows);
    report.rows.extend(run(false).await?.rows);
    Ok(report)
}

/// Runs all phases under load. With `planned`, the zone's record takes it out of service; otherwise
/// its hosts and its member are killed.
async fn run(planned: bool) -> Result<Report, SiteError> {
    let workspaces: [Name; 1] = ["abnt".into()];
    let mut site = start(settings(group()), &workspaces).await?;
    let phase = Arc::new(AtomicU8::new(0));
    let statements = Arc::new(Mutex::new(Vec::new()));
    let addresses: Vec<String> = (0..6)
        .map(|host| site.url(host, "abnt", "abnt-key", crate::load::SERVICE))
        .collect();
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..8 {
        let (phase, statements) = (Arc::clone(&phase), Arc::clone(&statements));
        callers.spawn(run_caller(addresses.clone(), number, phase, statements));
    }
    let primary = site.groups[0].members()[0].clone();
    let mut reads_by_phase = Vec::new();
    for next_phase in 0..4_u8 {
        phase.store(next_phase, Ordering::Relaxed);
        let before = count_reads(&site);
        match (next_phase, planned) {
            (1, true) => set_zone_state(&site, "out", 0).await?,
            (2, true) => set_zone_state(&site, "in_service", 1).await?,
            (1, false) => {
                primary.kill();
                site.kill_host(0).await;
                site.kill_host(1).await;
            }
            (2, false) => {
                primary.start();
                site.start_host(0).await?;
                site.start_host(1).await?;
            }
            _ => {}
        }
        tokio::time::sleep(PHASE_DURATION).await;
        let after = count_reads(&site);
        reads_by_phase.push((
            after.0.saturating_sub(before.0),
            after.1.saturating_sub(before.1),
        ));
    }
    phase.store(4, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let statements = statements
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Ok(summarize(&statements, &reads_by_phase, planned))
}

fn summarize(statements: &[Statement], reads_by_phase: &[(u64, u64)], planned: bool) -> Report {
    let mut report = Report::new("", "");
    for (phase, name) in (0..).zip(PHASES) {
        let in_phase: Vec<&Statement> = statements.iter().filter(|s| s.phase == phase).collect();
        let mut times: Vec<f64> = in_phase
            .iter()
            .filter(|s| s.served)
            .map(|s| s.took_ms)
            .collect();
        let refused = in_phase.iter().filter(|s| !s.served && !s.unknown).count();
        let unknown = in_phase.iter().filter(|s| s.unknown).count();
        let (total, primary) = reads_by_phase[usize::from(phase)];
        let case = if planned {
            "planned"
        } else {
            "baseline: unplanned loss"
        };
        report.row(
            format!("{case}, {name}"),
            vec![
                ("served", times.len() as f64),
                ("refused or cut", refused as f64),
                ("unknown", unknown as f64),
                ("p50 ms", quantile(&mut times, 0.5)),
                ("p99 ms", quantile(&mut times, 0.99)),
                ("worst ms", quantile(&mut times, 1.0)),
                (
                    "by replicas %",
                    100.0 * (total - primary.min(total)) as f64 / total.max(1) as f64,
                ),
            ],
        );
    }
    report
}

/// Reads counted by the hosts outside the zone: all, and those served by primaries.
fn count_reads(site: &Site) -> (u64, u64) {
    let (mut total, mut primary) = (0, 0);
    for host in 2..6 {
        let Some(daemon) = site.daemon(host) else {
            continue;
        };
        let text = daemon.context().metrics.render();
        for line in text
            .lines()
            .filter(|line| line.starts_with("hemlockcrank_reads"))
        {
            let value = line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
            let value = value.unwrap_or(0.0) as u64;
            total += value;
            primary += if line.contains("\"primary\"") {
                value
            } else {
                0
            };
        }
    }
    (total, primary)
}

/// Submits the zone's record if `revision` is 0, and revises that revision otherwise.
async fn set_zone_state(site: &Site, state: &str, revision: u64) -> Result<(), SiteError> {
    let operator = site.operator(3);
    let text = format!(r#"{{"state": "{state}"}}"#);
    if revision == 0 {
        operator.submit(Kind::Zone, "recife-a", 2, &text).await?;
    } else {
        operator
            .revise(Kind::Zone, "recife-a", 2, &text, revision)
            .await?;
    }
    Ok(())
}

/// One caller: one save in eight statements, the others reads; connects to the next host when its
/// host closes the connection. Stops when `phase` is 4, after the last phase.
async fn run_caller(
    urls: Vec<String>,
    number: usize,
    phase: Arc<AtomicU8>,
    statements: Arc<Mutex<Vec<Statement>>>,
) {
    let mut host = number;
    let mut client = None;
    for round in 0_u32.. {
        let current_phase = phase.load(Ordering::Relaxed);
        if current_phase == 4 {
            return;
        }
        let connected = match client.take() {
            Some(connected) => connected,
            None => {
                let url = &urls[host % urls.len()];
                let Ok((connected, connection)) =
                    tokio_postgres::connect(url, tokio_postgres::NoTls).await
                else {
                    host += 1;
                    tokio::time::sleep(PAUSE).await;
                    continue;
                };
                tokio::spawn(async move {
                    let _ = connection.await;
                });
                connected
            }
        };
        let id = format!("zone-{number}-{round}");
        let (outcome, took_ms) = timed(async {
            if round % STATEMENTS_PER_SAVE == 0 {
                save(&connected, &id).await
            } else {
                read(&connected).await
            }
        })
        .await;
        let detail = outcome
            .as_ref()
            .err()
            .and_then(|e| e.as_db_error()?.detail().map(str::to_owned));
        let statement = Statement {
            phase: current_phase,
            served: outcome.is_ok(),
            unknown: detail.is_some_and(|detail| detail.contains("unknown")),
            took_ms,
        };
        statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(statement);
        if connected.is_closed() {
            host += 1;
        } else {
            client = Some(connected);
        }
        tokio::time::sleep(PAUSE).await;
    }
}
