//! Share of reads served by replicas, and latency of reads and saves.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use hemlockcrank_core::Name;
use hemlockcrank_standin::{Site, SiteError};

use crate::{
    load::{connect, group, read, save, settings, start, timed},
    report::{Report, quantile},
};

const LAGS_MS: [u64; 3] = [5, 50, 500];
const CASE_DURATION: Duration = Duration::from_millis(2_500);
const READERS: usize = 6;
const READ_PAUSE: Duration = Duration::from_millis(4);
const SAVE_PAUSE: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// Each read uses the session token of the last save.
    Token,
    /// Reads use no session token.
    NoToken,
    /// All reads go to the primary.
    Primary,
}

pub(crate) async fn measure() -> Result<Report, SiteError> {
    let setting =
        "6 hosts, 1 database of 3, 6 readers and 1 saver, 2.5 s a case; shares in percent";
    let mut report = Report::new("replica-share", setting);
    for lag in LAGS_MS {
        for mode in [Mode::Token, Mode::NoToken, Mode::Primary] {
            let name = match mode {
                Mode::Token => "with token",
                Mode::NoToken => "without token",
                Mode::Primary => "baseline: all reads to the primary",
            };
            let figures = run(lag, mode).await?;
            report.row(format!("lag {lag} ms, {name}"), figures);
        }
    }
    Ok(report)
}

async fn run(lag: u64, mode: Mode) -> Result<Vec<(&'static str, f64)>, SiteError> {
    let mut site = settings(group().lag_ms(lag).statement_ms(1));
    site.limits.replica_reads = mode != Mode::Primary;
    let workspaces: [Name; 1] = ["abnt".into()];
    let site = start(site, &workspaces).await?;
    let stop = AtomicBool::new(false);
    let saves = AtomicU64::new(0);
    let primary = site.groups[0].members()[0].clone();
    let statements_before: u64 = site.groups[0]
        .members()
        .iter()
        .map(|m| m.statement_count())
        .sum();
    let primary_before = primary.statement_count();
    let token = tokio::sync::watch::Sender::new(String::new());
    let readers = (0..READERS).map(|host| read_until(&site, host, mode, &stop, &token));
    let stopper = async {
        tokio::time::sleep(CASE_DURATION).await;
        stop.store(true, Ordering::Relaxed);
    };
    let (read_times, save_times, ()) = tokio::join!(
        futures_util::future::try_join_all(readers),
        save_until(&site, &stop, &saves, &token),
        stopper
    );
    let mut read_times: Vec<f64> = read_times?.into_iter().flatten().collect();
    let mut save_times = save_times?;
    let saves = saves.load(Ordering::Relaxed);
    let statements_after: u64 = site.groups[0]
        .members()
        .iter()
        .map(|m| m.statement_count())
        .sum();
    let all_reads = (statements_after - statements_before)
        .saturating_sub(saves)
        .max(1);
    let primary_reads = (primary.statement_count() - primary_before).saturating_sub(saves);
    let share = 100.0 * (all_reads - primary_reads.min(all_reads)) as f64 / all_reads as f64;
    Ok(vec![
        ("replica share", share),
        ("reads", read_times.len() as f64),
        ("read p50 ms", quantile(&mut read_times, 0.5)),
        ("read p99 ms", quantile(&mut read_times, 0.99)),
        ("save p50 ms", quantile(&mut save_times, 0.5)),
    ])
}

async fn read_until(
    site: &Site,
    host: usize,
    mode: Mode,
    stop: &AtomicBool,
    token: &tokio::sync::watch::Sender<String>,
) -> Result<Vec<f64>, SiteError> {
    let client = connect(site, host, "abnt").await?;
    let mut token = token.subscribe();
    let mut times = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        if mode == Mode::Token && token.has_changed().unwrap_or(false) {
            let token = token.borrow_and_update().clone();
            let set_token = format!("SET hemlockcrank.session = '{token}'");
            client.batch_execute(&set_token).await?;
        }
        let (outcome, took_ms) = timed(read(&client)).await;
        outcome?;
        times.push(took_ms);
        tokio::time::sleep(READ_PAUSE).await;
    }
    Ok(times)
}

async fn save_until(
    site: &Site,
    stop: &AtomicBool,
    saves: &AtomicU64,
    token: &tokio::sync::watch::Sender<String>,
) -> Result<Vec<f64>, SiteError> {
    let client = connect(site, 0, "abnt").await?;
    let mut times = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = saves.fetch_add(1, Ordering::Relaxed);
        let (outcome, took_ms) = timed(save(&client, &format!("layout-{number}"))).await;
        outcome?;
        times.push(took_ms);
        let row = client.query_one("SHOW hemlockcrank.session", &[]).await?;
        token.send_replace(row.get(0));
        tokio::time::sleep(SAVE_PAUSE).await;
    }
    Ok(times)
}
