//! Gap in service during a change of primary, as observed by callers.

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
/// Pause of a saver between two saves.
const SAVE_PAUSE: Duration = Duration::from_millis(2);
/// Time of undisturbed service before each trial.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Longest wait for service after a change of primary.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(15);

/// How the primary is changed.
#[derive(Clone, Copy, PartialEq)]
enum Disruption {
    Kill,
    Partition,
    SwitchOver,
}

/// Outcomes of all savers' saves.
#[derive(Default)]
struct Outcomes {
    last_acknowledged_at: Option<Instant>,
    acknowledged: u64,
    not_run: u64,
    unknown: u64,
}

pub(crate) async fn measure() -> Result<Report, SiteError> {
    let setting = "6 hosts, 1 database of 3, lag 5 ms, one saver on each of 2 hosts, 20 trials a case; \
                   gap from the last acknowledgement before to the first after";
    let mut report = Report::new("failover-gap", setting);
    let (killed, partitioned, planned) = tokio::join!(
        run(Disruption::Kill),
        run(Disruption::Partition),
        run(Disruption::SwitchOver)
    );
    report.row("primary killed", killed?);
    report.row("primary cut off", partitioned?);
    report.row("planned switchover", planned?);
    let no_promotion = vec![("gap ms", f64::INFINITY)];
    report.row("baseline: no proxy (nobody else promotes)", no_promotion);
    report.row("target at full size", vec![("gap ms", 11_000.0)]);
    Ok(report)
}

async fn run(disruption: Disruption) -> Result<Vec<(&'static str, f64)>, SiteError> {
    let workspaces: [Name; 1] = ["abnt".into()];
    let site = start(settings(group()), &workspaces).await?;
    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let stop = std::sync::atomic::AtomicBool::new(false);
    let savers = [0, 3].map(|host| save_until(&site, host, &outcomes, &stop));
    let trials = async {
        let mut gaps = Vec::new();
        for _ in 0..TRIALS {
            gaps.push(trial(&site, disruption, &outcomes).await?);
        }
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        Ok::<_, SiteError>(gaps)
    };
    let (gaps, savers) = tokio::join!(trials, futures_util::future::join_all(savers));
    for saver in savers {
        saver?;
    }
    let mut gaps = gaps?;
    let outcomes = lock(&outcomes);
    Ok(vec![
        ("gap p50 ms", quantile(&mut gaps, 0.5)),
        ("gap worst ms", quantile(&mut gaps, 1.0)),
        ("acknowledged", outcomes.acknowledged as f64),
        ("said not run", outcomes.not_run as f64),
        ("unknown", outcomes.unknown as f64),
    ])
}

/// Changes the primary once and returns the gap in service in milliseconds.
async fn trial(
    site: &Site,
    disruption: Disruption,
    outcomes: &Mutex<Outcomes>,
) -> Result<f64, SiteError> {
    let group = &site.groups[0];
    let old = group
        .primary()
        .ok_or(SiteError::Timeout("a primary"))?
        .clone();
    tokio::time::sleep(SETTLE_TIME).await;
    let others = group.members().iter().filter(|m| m.name != old.name);
    let candidates: Vec<Arc<Member>> = others.cloned().collect();
    match disruption {
        Disruption::Kill => old.kill(),
        Disruption::Partition => old.set_partitioned(true),
        Disruption::SwitchOver => {
            let operator = site.operator(0);
            operator
                .switch_over(&group.settings.database, &candidates[0].name)
                .await?;
        }
    }
    let gap = longest_gap(site, &old, outcomes).await?;
    old.start();
    old.set_partitioned(false);
    site.wait_for("the old primary to follow", || {
        group.primary().is_some_and(|primary| {
            let lag_entries = primary.last().index.saturating_sub(old.last().index);
            primary.name != old.name && old.role().1 == primary.role().1 && lag_entries < 20
        })
    })
    .await?;
    Ok(gap)
}

/// Longest time between two acknowledgements, measured until 200 ms after service by the new primary
/// is observed.
async fn longest_gap(
    site: &Site,
    old: &Member,
    outcomes: &Mutex<Outcomes>,
) -> Result<f64, SiteError> {
    let started = Instant::now();
    let mut last = started;
    let mut longest: f64 = 0.0;
    let mut served_since = None;
    while started.elapsed() < TRIAL_TIMEOUT {
        tokio::time::sleep(Duration::from_micros(500)).await;
        let at = lock(outcomes).last_acknowledged_at.filter(|at| *at > last);
        if let Some(at) = at {
            longest = longest.max(millis(at - last));
            last = at;
        }
        let has_new_primary = site.groups[0].primary().is_some_and(|p| p.name != old.name);
        if has_new_primary && at.is_some() && served_since.is_none() {
            served_since = Some(Instant::now());
        }
        if served_since.is_some_and(|since| since.elapsed() > Duration::from_millis(200)) {
            return Ok(longest);
        }
    }
    Err(SiteError::Timeout("service after a change of primary"))
}

/// Saves through one host until `stop`; reconnects when the host closes the connection.
async fn save_until(
    site: &Site,
    host: usize,
    outcomes: &Mutex<Outcomes>,
    stop: &std::sync::atomic::AtomicBool,
) -> Result<(), SiteError> {
    let mut client = connect(site, host, "abnt").await?;
    let mut number = 0;
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        number += 1;
        let outcome = save(&client, &format!("layout-{host}-{number}")).await;
        record(&mut lock(outcomes), &outcome);
        if client.is_closed() {
            client = connect(site, host, "abnt").await?;
        }
        tokio::time::sleep(SAVE_PAUSE).await;
    }
    Ok(())
}

fn record(outcomes: &mut Outcomes, outcome: &Result<(), tokio_postgres::Error>) {
    match outcome {
        Ok(()) => {
            outcomes.last_acknowledged_at = Some(Instant::now());
            outcomes.acknowledged += 1;
        }
        Err(error) => {
            let detail = error.as_db_error().and_then(|e| e.detail()).unwrap_or("");
            let is_unknown = detail.contains("unknown");
            outcomes.unknown += u64::from(is_unknown);
            outcomes.not_run += u64::from(!is_unknown);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
