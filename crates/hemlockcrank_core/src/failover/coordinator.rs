//! The control leader's decision to change a primary.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::WATCHERS_PER_DATABASE;
use crate::{
    Name,
    directory::{Database, Promotion},
    membership::View,
};

/// How long a report counts, in milliseconds.
const REPORT_MS: u64 = 1_000;
/// Time after which an unfinished change is given to another host, in milliseconds.
const EXECUTE_MS: u64 = 2_000;

/// What a watcher says of one database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Database.
    pub database: Name,
    /// Committed term that the watcher watched.
    pub term: u64,
    /// Whether it misses the primary.
    pub suspects: bool,
    /// Members that answer it.
    pub reachable: u32,
}

/// What to commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Wait,
    /// Begin, or begin again with another host.
    Begin(Promotion),
}

#[derive(Clone, Debug)]
struct Opinion {
    at: u64,
    report: Report,
}

/// Opinions on one database, kept by the leader only; a new leader starts without any.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    opinions: BTreeMap<Name, Opinion>,
    begun: Option<(u64, u64)>,
}

impl Coordinator {
    /// Notes a watcher's report.
    pub fn report(&mut self, now: u64, watcher: &Name, report: Report) {
        let opinion = Opinion { at: now, report };
        self.opinions.insert(watcher.clone(), opinion);
    }

    /// Decides on `database` as it is committed. `wanted` asks for a planned switchover to a member.
    pub fn decide(
        &mut self,
        now: u64,
        name: &Name,
        database: &Database,
        view: &View,
        wanted: Option<&Name>,
    ) -> Verdict {
        if database.promotion.is_none() && wanted.is_none() && !self.is_suspected(now) {
            self.begun = None;
            return Verdict::Wait;
        }
        let watchers = view.spread(name, WATCHERS_PER_DATABASE);
        let Some(promotion) = &database.promotion else {
            self.begun = None;
            if !self.is_agreed(now, database, &watchers) && wanted.is_none() {
                return Verdict::Wait;
            }
            return self.begin(now, database, &watchers, wanted, None);
        };
        let (term, since) = *self.begun.get_or_insert((promotion.term, now));
        if term != promotion.term {
            self.begun = Some((promotion.term, now));
            return Verdict::Wait;
        }
        if now < since + EXECUTE_MS {
            return Verdict::Wait;
        }
        let tried = promotion.executor.clone();
        self.begin(now, database, &watchers, None, Some(&tried))
    }

    /// Whether anyone has missed the primary lately; cheap, for the many databases that are well.
    fn is_suspected(&self, now: u64) -> bool {
        let mut opinions = self.opinions.values();
        opinions.any(|opinion| opinion.report.suspects && now < opinion.at + REPORT_MS)
    }

    fn is_agreed(&self, now: u64, database: &Database, watchers: &[Name]) -> bool {
        let suspecting = watchers
            .iter()
            .filter(|name| {
                self.fresh(now, name, database)
                    .is_some_and(|report| report.suspects)
            })
            .count();
        !watchers.is_empty() && suspecting > watchers.len() / 2
    }

    /// Gives the change to a watcher that reaches a majority, another one than `tried` if there is one.
    fn begin(
        &mut self,
        now: u64,
        database: &Database,
        watchers: &[Name],
        prefer: Option<&Name>,
        tried: Option<&Name>,
    ) -> Verdict {
        let quorum = database.quorum();
        let able: Vec<&Name> = watchers
            .iter()
            .filter(|name| {
                self.fresh(now, name, database)
                    .is_some_and(|report| report.reachable as usize >= quorum)
            })
            .collect();
        let other = able.iter().find(|name| Some(**name) != tried);
        let Some(executor) = other.or(able.first()) else {
            return Verdict::Wait;
        };
        let promotion = Promotion {
            term: database.highest_term() + 1,
            executor: (*executor).clone(),
            prefer: prefer.cloned(),
        };
        self.begun = Some((promotion.term, now));
        Verdict::Begin(promotion)
    }

    fn fresh(&self, now: u64, watcher: &Name, database: &Database) -> Option<&Report> {
        let opinion = self.opinions.get(watcher)?;
        let recent = now < opinion.at + REPORT_MS;
        (recent && opinion.report.term == database.term).then_some(&opinion.report)
    }
}
