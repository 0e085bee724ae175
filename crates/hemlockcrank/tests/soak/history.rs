//! Records the outcomes that are reported to callers and operators, and checks them against the log
//! of the group at the end of the run.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::time::{sleep, timeout};

use crate::{
    caller::{Caller, Outcome},
    promotions::Promoted,
    stand_in::Group,
};

/// Longest time for which a key may still work after its withdrawal was acknowledged.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait of a caller for a session to open or for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two operations of a caller.
const PAUSE: Duration = Duration::from_millis(12);

#[derive(Debug, Default)]
struct Outcomes {
    /// Items whose write was acknowledged, each with the time of the acknowledgement.
    saved: BTreeMap<String, Instant>,
    /// Items whose write was reported as not run.
    refused: BTreeSet<String>,
    /// Items whose write has an unknown outcome.
    unknown: BTreeSet<String>,
    reads: u64,
    /// Violations that were detected during the run.
    violations: Vec<String>,
}

/// Outcomes that were reported to callers and operators in a run.
#[derive(Debug)]
pub(crate) struct History {
    seed: u64,
    outcomes: Mutex<Outcomes>,
    /// Keys from oldest to newest, each with the time at which its withdrawal was acknowledged.
    keys: Mutex<Vec<(String, Option<Instant>)>>,
    /// Newest configuration version that was acknowledged.
    acknowledged_version: AtomicU64,
    stopped: AtomicBool,
}

impl History {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            outcomes: Mutex::default(),
            keys: Mutex::new(vec![("k0".into(), None)]),
            acknowledged_version: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
        }
    }

    /// Tells the callers to stop.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// The newest key.
    pub(crate) fn key(&self) -> String {
        let keys = self.keys.lock().expect("keys");
        keys.last().map(|(key, _)| key.clone()).unwrap_or_default()
    }

    /// Adds a new key, which callers use from now on.
    pub(crate) fn add_key(&self, key: &str) {
        self.keys.lock().expect("keys").push((key.into(), None));
    }

    /// Records that a configuration was acknowledged. It withdraws all keys but the newest.
    pub(crate) fn record_configuration(&self, version: u64) {
        self.acknowledged_version
            .fetch_max(version, Ordering::AcqRel);
        let mut keys = self.keys.lock().expect("keys");
        let old_keys = keys.len().saturating_sub(1);
        for (_, withdrawn_at) in &mut keys[..old_keys] {
            withdrawn_at.get_or_insert_with(Instant::now);
        }
    }

    /// Whether a request that was sent at `sent_at` must not run with this key any more.
    fn must_be_refused(&self, key: &str, sent_at: Instant) -> bool {
        let keys = self.keys.lock().expect("keys");
        let mut matching = keys.iter().filter(|(other, _)| other == key);
        matching
            .any(|(_, withdrawn_at)| withdrawn_at.is_some_and(|at| sent_at > at + WITHDRAWAL_LIMIT))
    }

    /// Runs one caller, which opens one session after the other until [`Self::stop`].
    pub(crate) async fn run_caller(self: Arc<Self>, number: usize, address: SocketAddr) {
        let mut session = 0;
        while !self.stopped.load(Ordering::Acquire) {
            session += 1;
            let key = self.key();
            let route = ["orders", "views"][session % 2];
            let opened = timeout(REQUEST_TIMEOUT, Caller::open(address, route, &key)).await;
            if let Ok(Some(mut caller)) = opened
                && caller.start_reply.starts_with("READY")
            {
                let name = format!("c{number}s{session}");
                self.run_session(&mut caller, &name, &key).await;
            }
            sleep(PAUSE).await;
        }
    }

    /// Runs the operations of one session, until one of them has an unknown outcome.
    async fn run_session(&self, caller: &mut Caller, name: &str, key: &str) {
        let mut last_saved = None;
        for step in 0..40 {
            if self.stopped.load(Ordering::Acquire) {
                return;
            }
            let id = format!("{name}t{step}x{}", self.seed);
            let sent_at = Instant::now();
            let outcome = match step % 4 {
                0 => self.save(caller, &id, &mut last_saved).await,
                2 => self.save_two(caller, &id, &mut last_saved).await,
                _ => self.read(caller, &id, last_saved.as_deref()).await,
            };
            if matches!(outcome, Outcome::Done(_)) && self.must_be_refused(key, sent_at) {
                self.add_violation(format!("{id} ran with key {key} after its withdrawal"));
            }
            if outcome == Outcome::Unknown {
                return;
            }
            sleep(PAUSE).await;
        }
    }

    async fn save(
        &self,
        caller: &mut Caller,
        id: &str,
        last_saved: &mut Option<String>,
    ) -> Outcome {
        let outcome = ask(caller, id, &format!("WRITE {id} {id}")).await;
        self.record(id, &outcome, last_saved);
        outcome
    }

    /// Saves two items in one transaction.
    async fn save_two(
        &self,
        caller: &mut Caller,
        id: &str,
        last_saved: &mut Option<String>,
    ) -> Outcome {
        let (first, second) = (format!("{id}a"), format!("{id}b"));
        let statements = [
            "BEGIN".to_owned(),
            format!("WRITE {first} {first}"),
            format!("WRITE {second} {second}"),
            "COMMIT".to_owned(),
        ];
        let mut outcome = Outcome::Unknown;
        for (index, text) in statements.iter().enumerate() {
            outcome = ask(caller, &format!("{id}q{index}"), text).await;
            let done = matches!(outcome, Outcome::Done(_));
            if !done && text != "COMMIT" {
                // Without a COMMIT, neither write may take effect, whatever the outcome of the
                // statement.
                self.record(&first, &Outcome::NotRun, last_saved);
                self.record(&second, &Outcome::NotRun, last_saved);
                if outcome == Outcome::NotRun && index > 0 {
                    return ask(caller, &format!("{id}r"), "ROLLBACK").await;
                }
                return outcome;
            }
        }
        self.record(&first, &outcome, last_saved);
        self.record(&second, &outcome, last_saved);
        outcome
    }

    /// Reads the last item that the session saved, and checks its value. Before the first save, it
    /// reads an item that does not exist, for which a member returns `none`.
    async fn read(&self, caller: &mut Caller, id: &str, last_saved: Option<&str>) -> Outcome {
        let item = last_saved.unwrap_or("nothing");
        let outcome = ask(caller, id, &format!("READ {item}")).await;
        if let Outcome::Done(rows) = &outcome {
            self.outcomes.lock().expect("outcomes").reads += 1;
            let expected = last_saved.unwrap_or("none");
            if rows.first().map(String::as_str) != Some(expected) {
                self.add_violation(format!("{id} read {rows:?} for {item}"));
            }
        }
        outcome
    }

    /// Records the outcome of a write.
    fn record(&self, item: &str, outcome: &Outcome, last_saved: &mut Option<String>) {
        let mut outcomes = self.outcomes.lock().expect("outcomes");
        match outcome {
            Outcome::Done(_) => {
                outcomes.saved.insert(item.into(), Instant::now());
                *last_saved = Some(item.into());
            }
            Outcome::NotRun => {
                outcomes.refused.insert(item.into());
            }
            Outcome::Unknown => {
                outcomes.unknown.insert(item.into());
            }
        }
    }

    fn add_violation(&self, violation: String) {
        self.outcomes
            .lock()
            .expect("outcomes")
            .violations
            .push(violation);
    }

    /// Returns all violated guarantees. `version` is the version of the configuration that was read
    /// back at the end of the run.
    pub(crate) fn check(&self, group: &Group, version: Option<u64>) -> Vec<String> {
        let outcomes = self.outcomes.lock().expect("outcomes");
        let mut violations = outcomes.violations.clone();
        let acknowledged = self.acknowledged_version.load(Ordering::Acquire);
        if version.is_none_or(|version| version < acknowledged) {
            violations.push(format!(
                "version {version:?} is in force, but {acknowledged} was acknowledged"
            ));
        }
        let Some(primary) = group.primary() else {
            violations.push("there is no primary".into());
            return violations;
        };
        let writes = group.with_member(&primary, |member| member.writes.clone());
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for item in &writes {
            *counts.entry(item).or_default() += 1;
        }
        let count = |item: &String| counts.get(item.as_str()).copied().unwrap_or(0);
        let lost = outcomes.saved.keys().filter(|item| count(item) == 0);
        violations.extend(lost.map(|item| format!("{item} was acknowledged but is lost")));
        let applied = outcomes.refused.iter().filter(|item| count(item) > 0);
        violations.extend(applied.map(|item| format!("{item} was refused but is in the log")));
        let duplicates = counts.iter().filter(|(_, count)| **count > 1);
        violations
            .extend(duplicates.map(|(item, count)| format!("{item} is in the log {count} times")));
        violations
    }

    /// Returns the promotions of members that lacked items which had been acknowledged by then.
    pub(crate) fn check_promoted(&self, promoted: &[Promoted]) -> Vec<String> {
        let outcomes = self.outcomes.lock().expect("outcomes");
        let mut violations = Vec::new();
        for Promoted {
            member,
            token,
            at,
            items,
        } in promoted
        {
            let saved = outcomes.saved.iter();
            let acknowledged = saved.filter(|(_, saved_at)| *saved_at < at);
            let lost: Vec<&String> = acknowledged
                .map(|(item, _)| item)
                .filter(|item| !items.contains(*item))
                .collect();
            if let Some(first) = lost.first() {
                violations.push(format!(
                    "LOST: {member} was promoted with token {token} without {} acknowledged items, \
                     {first} among them",
                    lost.len()
                ));
            }
        }
        violations
    }

    /// Number of operations by outcome, for the report.
    pub(crate) fn summary(&self) -> String {
        let outcomes = self.outcomes.lock().expect("outcomes");
        format!(
            "{} saved, {} refused, {} unknown, {} read",
            outcomes.saved.len(),
            outcomes.refused.len(),
            outcomes.unknown.len(),
            outcomes.reads
        )
    }
}

async fn ask(caller: &mut Caller, id: &str, text: &str) -> Outcome {
    match timeout(REQUEST_TIMEOUT, caller.query_with_id(id, text)).await {
        Ok(answer) => Outcome::parse(&answer),
        Err(_) => Outcome::Unknown,
    }
}
