//! What callers were told, held against what the group keeps.

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
    stand_in::Group,
};

/// Time after which a withdrawn key must have stopped, counted from the acknowledgement.
const WITHDRAWN: Duration = Duration::from_secs(5);
/// Longest time that a session asks for.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause between two operations of a caller.
const PAUSE: Duration = Duration::from_millis(12);

#[derive(Debug, Default)]
struct Told {
    saved: BTreeSet<String>,
    refused: BTreeSet<String>,
    unknown: BTreeSet<String>,
    reads: u64,
    broken: Vec<String>,
}

/// All that callers and operators were told in a run.
#[derive(Debug)]
pub(crate) struct Ledger {
    seed: u64,
    told: Mutex<Told>,
    /// Keys in order, each with the time at which its withdrawal was acknowledged.
    keys: Mutex<Vec<(String, Option<Instant>)>>,
    acknowledged: AtomicU64,
    stopped: AtomicBool,
}

impl Ledger {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            told: Mutex::default(),
            keys: Mutex::new(vec![("k0".into(), None)]),
            acknowledged: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
        }
    }

    /// Has the callers end.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// The newest key.
    pub(crate) fn key(&self) -> String {
        let keys = self.keys.lock().expect("keys");
        keys.last().map(|(key, _)| key.clone()).unwrap_or_default()
    }

    /// Gives callers a new key that a configuration of `version` brings.
    pub(crate) fn renew(&self, key: &str) {
        self.keys.lock().expect("keys").push((key.into(), None));
    }

    /// Notes that a configuration was acknowledged; all keys but the newest are withdrawn by it.
    pub(crate) fn acknowledged(&self, version: u64) {
        self.acknowledged.fetch_max(version, Ordering::AcqRel);
        let mut keys = self.keys.lock().expect("keys");
        let old = keys.len().saturating_sub(1);
        for (_, withdrawn) in &mut keys[..old] {
            withdrawn.get_or_insert_with(Instant::now);
        }
    }

    fn is_withdrawn(&self, key: &str, sent_at: Instant) -> bool {
        let keys = self.keys.lock().expect("keys");
        let mut of_key = keys.iter().filter(|(known, _)| known == key);
        of_key.any(|(_, at)| at.is_some_and(|at| sent_at > at + WITHDRAWN))
    }

    /// One caller: sessions one after the other, until the run stops.
    pub(crate) async fn call(self: Arc<Self>, number: usize, address: SocketAddr) {
        let mut session = 0;
        while !self.stopped.load(Ordering::Acquire) {
            session += 1;
            let key = self.key();
            let route = ["orders", "views"][session % 2];
            let opened = timeout(PATIENCE, Caller::open(address, route, &key)).await;
            if let Ok(Some(mut caller)) = opened
                && caller.start_reply.starts_with("READY")
            {
                let name = format!("c{number}s{session}");
                self.converse(&mut caller, &name, &key).await;
            }
            sleep(PAUSE).await;
        }
    }

    /// Operations of one session, until one has no answer.
    async fn converse(&self, caller: &mut Caller, name: &str, key: &str) {
        let mut last = None;
        for turn in 0..40 {
            if self.stopped.load(Ordering::Acquire) {
                return;
            }
            let id = format!("{name}t{turn}x{}", self.seed);
            let sent_at = Instant::now();
            let outcome = match turn % 4 {
                0 => self.save(caller, &id, &mut last).await,
                2 => self.save_all(caller, &id, &mut last).await,
                _ => self.read(caller, &id, last.as_deref()).await,
            };
            if matches!(outcome, Outcome::Done(_)) && self.is_withdrawn(key, sent_at) {
                self.broken(format!("{id} ran with key {key}, which was withdrawn"));
            }
            if outcome == Outcome::Unknown {
                return;
            }
            sleep(PAUSE).await;
        }
    }

    async fn save(&self, caller: &mut Caller, id: &str, last: &mut Option<String>) -> Outcome {
        let outcome = ask(caller, id, &format!("WRITE {id} {id}")).await;
        self.note(id, &outcome, last);
        outcome
    }

    /// A transaction of two saves.
    async fn save_all(&self, caller: &mut Caller, id: &str, last: &mut Option<String>) -> Outcome {
        let (one, two) = (format!("{id}a"), format!("{id}b"));
        let texts = [
            "BEGIN".to_owned(),
            format!("WRITE {one} {one}"),
            format!("WRITE {two} {two}"),
            "COMMIT".to_owned(),
        ];
        let mut outcome = Outcome::Unknown;
        for (index, text) in texts.iter().enumerate() {
            outcome = ask(caller, &format!("{id}q{index}"), text).await;
            let done = matches!(outcome, Outcome::Done(_));
            if !done && text != "COMMIT" {
                // Nothing was committed, whatever became of the statement.
                let nothing = Outcome::NotRun;
                self.note(&one, &nothing, last);
                self.note(&two, &nothing, last);
                if outcome == Outcome::NotRun && index > 0 {
                    return ask(caller, &format!("{id}r"), "ROLLBACK").await;
                }
                return outcome;
            }
        }
        self.note(&one, &outcome, last);
        self.note(&two, &outcome, last);
        outcome
    }

    /// Reads the session's last save back.
    async fn read(&self, caller: &mut Caller, id: &str, last: Option<&str>) -> Outcome {
        let item = last.unwrap_or("nothing");
        let outcome = ask(caller, id, &format!("READ {item}")).await;
        if let Outcome::Done(rows) = &outcome {
            self.told.lock().expect("told").reads += 1;
            let wanted = last.unwrap_or("none");
            if rows.first().map(String::as_str) != Some(wanted) {
                self.broken(format!("{id} read {rows:?} for {item}"));
            }
        }
        outcome
    }

    fn note(&self, item: &str, outcome: &Outcome, last: &mut Option<String>) {
        let mut told = self.told.lock().expect("told");
        match outcome {
            Outcome::Done(_) => {
                told.saved.insert(item.into());
                *last = Some(item.into());
            }
            Outcome::NotRun => {
                told.refused.insert(item.into());
            }
            Outcome::Unknown => {
                told.unknown.insert(item.into());
            }
        }
    }

    fn broken(&self, what: String) {
        self.told.lock().expect("told").broken.push(what);
    }

    /// All promises that were broken; `version` is the configuration read back in the end.
    pub(crate) fn check(&self, group: &Group, version: Option<u64>) -> Vec<String> {
        let told = self.told.lock().expect("told");
        let mut broken = told.broken.clone();
        let acknowledged = self.acknowledged.load(Ordering::Acquire);
        if version.is_none_or(|version| version < acknowledged) {
            broken.push(format!(
                "{version:?} is in force, {acknowledged} was acknowledged"
            ));
        }
        let Some(primary) = group.primary() else {
            broken.push("there is no primary".into());
            return broken;
        };
        let writes = group.with_member(&primary, |member| member.writes.clone());
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for item in &writes {
            *counts.entry(item).or_default() += 1;
        }
        let count = |item: &String| counts.get(item.as_str()).copied().unwrap_or(0);
        let lost = told.saved.iter().filter(|item| count(item) == 0);
        broken.extend(lost.map(|item| format!("{item} was acknowledged and is lost")));
        let kept = told.refused.iter().filter(|item| count(item) > 0);
        broken.extend(kept.map(|item| format!("{item} was refused and is kept")));
        let twice = counts.iter().filter(|(_, count)| **count > 1);
        broken.extend(twice.map(|(item, count)| format!("{item} is kept {count} times")));
        broken
    }

    /// How much a run has tried.
    pub(crate) fn summary(&self) -> String {
        let told = self.told.lock().expect("told");
        format!(
            "{} saved, {} refused, {} unknown, {} read",
            told.saved.len(),
            told.refused.len(),
            told.unknown.len(),
            told.reads
        )
    }
}

async fn ask(caller: &mut Caller, id: &str, text: &str) -> Outcome {
    match timeout(PATIENCE, caller.query_with_id(id, text)).await {
        Ok(answer) => Outcome::parse(&answer),
        Err(_) => Outcome::Unknown,
    }
}
