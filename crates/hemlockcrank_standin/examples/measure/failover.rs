//! Gap in service during a change of primary, as a caller sees it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use hemlockcrank_core::Name;
use hemlockcrank_standin::{Member, Site, SiteError};

use crate::{
    load::{connect, group, millis, save, settings, start},
    report::{Report, quantile},
};

const TRIALS: usize = 20;
const PAUSE: Duration = Duration::from_millis(2);
const SETTLE: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(15);

#[derive(Clone, Copy, PartialEq)]
enum Strike {
    Kill,
    Cut,
    SwitchOver,
}

#[derive(Default)]
struct Told {
    at: Option<Instant>,
    acknowledged: u64,
    not_run: u64,
    unknown: u64,
}

pub(crate) async fn measure() -> Result<Report, SiteError> {
    let setting = "6 hosts, 1 database of 3, lag 5 ms, one saver on each of 2 hosts, 20 trials a case; \
                   gap from the last acknowledgement before to the first after";
    let mut report = Report::new("failover-gap", setting);
    let (kill, cut, planned) =
        tokio::join!(run(Strike::Kill), run(Strike::Cut), run(Strike::SwitchOver));
    report.row("primary killed", kill?);
    report.row("primary cut off", cut?);
    report.row("planned switchover", planned?);
    let never = vec![("gap ms", f64::INFINITY)];
    report.row("baseline: no proxy (nobody else promotes)", never);
    report.row("target at full size", vec![("gap ms", 11_000.0)]);
    Ok(report)
}

async fn run(strike: Strike) -> Result<Vec<(&'static str, f64)>, SiteError> {
    let workspaces: [Name; 1] = ["abnt".into()];
    let site = start(settings(group()), &workspaces).await?;
    let told = Arc::new(Mutex::new(Told::default()));
    let stop = std::sync::atomic::AtomicBool::new(false);
    let savers = [0, 3].map(|host| save_until(&site, host, &told, &stop));
    let trials = async {
        let mut gaps = Vec::new();
        for _ in 0..TRIALS {
            gaps.push(trial(&site, strike, &told).await?);
        }
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        Ok::<_, SiteError>(gaps)
    };
    let (gaps, savers) = tokio::join!(trials, futures_util::future::join_all(savers));
    for saver in savers {
        saver?;
    }
    let mut gaps = gaps?;
    let told = lock(&told);
    Ok(vec![
        ("gap p50 ms", quantile(&mut gaps, 0.5)),
        ("gap worst ms", quantile(&mut gaps, 1.0)),
        ("acknowledged", told.acknowledged as f64),
        ("said not run", told.not_run as f64),
        ("unknown", told.unknown as f64),
    ])
}

async fn trial(site: &Site, strike: Strike, told: &Mutex<Told>) -> Result<f64, SiteError> {
    let group = &site.groups[0];
    let old = group
        .primary()
        .ok_or(SiteError::Timeout("a primary"))?
        .clone();
    tokio::time::sleep(SETTLE).await;
    let others = group.members().iter().filter(|m| m.name != old.name);
    let next: Vec<Arc<Member>> = others.cloned().collect();
    match strike {
        Strike::Kill => old.kill(),
        Strike::Cut => old.set_partitioned(true),
        Strike::SwitchOver => {
            let operator = site.operator(0);
            operator
                .switch_over(&group.settings.database, &next[0].name)
                .await?;
        }
    }
    let gap = longest_gap(site, &old, told).await?;
    old.start();
    old.set_partitioned(false);
    site.wait_for("the old primary to follow", || {
        group.primary().is_some_and(|primary| {
            let behind = primary.last().index.saturating_sub(old.last().index);
            primary.name != old.name && old.role().1 == primary.role().1 && behind < 20
        })
    })
    .await?;
    Ok(gap)
}

/// Longest pause between two acknowledgements until well after the new primary serves.
async fn longest_gap(site: &Site, old: &Member, told: &Mutex<Told>) -> Result<f64, SiteError> {
    let started = Instant::now();
    let mut last = started;
    let mut longest: f64 = 0.0;
    let mut served_after = None;
    while started.elapsed() < LIMIT {
        tokio::time::sleep(Duration::from_micros(500)).await;
        let at = lock(told).at.filter(|at| *at > last);
        if let Some(at) = at {
            longest = longest.max(millis(at - last));
            last = at;
        }
        let moved = site.groups[0].primary().is_some_and(|p| p.name != old.name);
        if moved && at.is_some() && served_after.is_none() {
            served_after = Some(Instant::now());
        }
        if served_after.is_some_and(|since| since.elapsed() > Duration::from_millis(200)) {
            return Ok(longest);
        }
    }
    Err(SiteError::Timeout("service after a change of primary"))
}

async fn save_until(
    site: &Site,
    host: usize,
    told: &Mutex<Told>,
    stop: &std::sync::atomic::AtomicBool,
) -> Result<(), SiteError> {
    let mut client = connect(site, host, "abnt").await?;
    let mut number = 0;
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        number += 1;
        let outcome = save(&client, &format!("layout-{host}-{number}")).await;
        note(&mut lock(told), &outcome);
        if client.is_closed() {
            client = connect(site, host, "abnt").await?;
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}

fn note(told: &mut Told, outcome: &Result<(), tokio_postgres::Error>) {
    match outcome {
        Ok(()) => {
            told.at = Some(Instant::now());
            told.acknowledged += 1;
        }
        Err(error) => {
            let detail = error.as_db_error().and_then(|e| e.detail()).unwrap_or("");
            let unknown = detail.contains("unknown");
            told.unknown += u64::from(unknown);
            told.not_run += u64::from(!unknown);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
