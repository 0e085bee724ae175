//! Duties of the control leader: which hosts live, and which member is primary.
//!
//! All of this is volatile: a new leader starts without any opinion and waits a full term before it
//! declares anyone gone.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    Name,
    allotment::{LOAN_MARGIN_MS, LOAN_MS},
    directory::Database,
    failover::{Arbiter, Report, Verdict},
    lease,
    membership::Host,
    state::{Command, State},
};
use hemlockcrank_wire::Progress;

/// Silence after which a host's lease and all loans that it made have surely ended, in milliseconds.
const HOST_GONE_MS: u64 = lease::TERM_MS + LOAN_MS + LOAN_MARGIN_MS;
/// Addition to a host's lease at the leader, which covers clock drift, in milliseconds.
const LEASE_MARGIN_MS: u64 = 50;
/// Pause before the same command is proposed again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: u64,
    applied: u64,
    serves: bool,
}

/// The leader's volatile knowledge.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    heard: BTreeMap<Name, Heard>,
    panels: BTreeMap<Name, Arbiter>,
    wanted: BTreeMap<Name, Name>,
    proposed: BTreeMap<Name, u64>,
}

impl Duties {
    /// Starts a leadership: everyone in the view counts as just heard.
    pub(crate) fn begin(now: u64, state: &State) -> Self {
        let heard = state.view.iter().map(|host| {
            let heard = Heard {
                at: now,
                applied: 0,
                serves: true,
            };
            (host.name.clone(), heard)
        });
        Self {
            heard: heard.collect(),
            ..Self::default()
        }
    }

    /// Notes a host's question; returns a command when the host is new.
    pub(crate) fn heard(
        &mut self,
        now: u64,
        state: &State,
        host: &Host,
        applied: u64,
    ) -> Option<Command> {
        let serves = self.heard.get(&host.name).is_none_or(|heard| heard.serves);
        let heard = Heard {
            at: now,
            applied,
            serves,
        };
        self.heard.insert(host.name.clone(), heard);
        if state.view.get(&host.name) == Some(host) {
            return None;
        }
        let key = format!("up/{}/{}", host.name, host.incarnation);
        self.once(now, &key).then(|| Command::HostUp(host.clone()))
    }

    /// Notes a watcher's reports.
    pub(crate) fn reports(&mut self, now: u64, watcher: &Name, reports: Vec<Report>) {
        for report in reports {
            let panel = self.panels.entry(report.database.clone()).or_default();
            panel.record_report(now, watcher, report);
        }
    }

    /// Notes whether a host serves callers.
    pub(crate) fn serves(&mut self, host: &str, serves: bool) {
        if let Some(heard) = self.heard.get_mut(host) {
            heard.serves = serves;
        }
    }

    /// Serving hosts in view, each with the time at which its lease surely ends.
    pub(crate) fn lease_ends<'a>(
        &'a self,
        state: &'a State,
    ) -> impl Iterator<Item = (&'a Name, u64)> {
        state.view.iter().filter_map(|host| {
            let heard = self.heard.get(&host.name)?;
            heard
                .serves
                .then_some((&host.name, heard.at + lease::TERM_MS + LEASE_MARGIN_MS))
        })
    }

    /// Asks for a planned change of primary.
    pub(crate) fn want(&mut self, database: Name, member: Name) {
        self.wanted.insert(database, member);
    }

    /// Commands that are due.
    pub(crate) fn tick(&mut self, now: u64, state: &State) -> Vec<Command> {
        let mut commands = self.gone_hosts(now, state);
        commands.extend(self.primaries(now, state));
        self.proposed.retain(|_, at| *at + PROPOSE_AGAIN_MS > now);
        commands
    }

    /// Progress of all live hosts.
    pub(crate) fn progress(&self, state: &State) -> Vec<Progress> {
        let hosts = state.view.iter();
        hosts
            .map(|host| Progress {
                host: host.name.clone(),
                zone: host.zone.clone(),
                applied: self.heard.get(&host.name).map(|heard| heard.applied),
            })
            .collect()
    }

    fn gone_hosts(&mut self, now: u64, state: &State) -> Vec<Command> {
        let mut commands = Vec::new();
        for host in state.view.iter() {
            let at = self.heard.get(&host.name).map_or(now, |heard| heard.at);
            if now < at + HOST_GONE_MS {
                continue;
            }
            let key = format!("down/{}/{}", host.name, host.incarnation);
            if self.once(now, &key) {
                commands.push(Command::HostDown {
                    name: host.name.clone(),
                    incarnation: host.incarnation,
                });
            }
        }
        commands
    }

    fn primaries(&mut self, now: u64, state: &State) -> Vec<Command> {
        let mut commands = Vec::new();
        for (name, database) in state.directory.iter() {
            let wanted = self.wanted_primary(state, name, database);
            let panel = self.panels.entry(name.clone()).or_default();
            let verdict = panel.decide(now, name, database, &state.view, wanted.as_ref());
            let Verdict::Begin(promotion) = verdict else {
                continue;
            };
            let key = format!("promote/{name}/{}", promotion.term);
            if self.once(now, &key) {
                commands.push(Command::BeginPromotion {
                    database: name.clone(),
                    promotion,
                });
            }
        }
        commands
    }

    /// Member that an operator asked for, or one outside a zone that was taken out of service.
    fn wanted_primary(&mut self, state: &State, name: &Name, database: &Database) -> Option<Name> {
        if let Some(member) = self.wanted.get(name) {
            let known = database.members.contains_key(member);
            if known && database.primary.as_ref() != Some(member) {
                return Some(member.clone());
            }
            self.wanted.remove(name);
        }
        let (_, primary) = database.primary_member()?;
        if state.records.zone_in_service(&primary.zone) {
            return None;
        }
        let mut others = database.members.iter();
        others
            .find(|(_, member)| state.records.zone_in_service(&member.zone))
            .map(|(member, _)| member.clone())
    }

    fn once(&mut self, now: u64, key: &str) -> bool {
        let due = self
            .proposed
            .get(key)
            .is_none_or(|at| at + PROPOSE_AGAIN_MS <= now);
        if due {
            self.proposed.insert(key.into(), now);
        }
        due
    }
}
