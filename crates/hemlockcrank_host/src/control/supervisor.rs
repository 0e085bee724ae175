//! The control leader's detection of dead hosts, and its choice of the primary of each database.
//!
//! This state is volatile: a new leader starts with all hosts in the view as alive, and waits for a
//! full lease term and the end of all loans of rate tokens before it declares one dead.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    Name,
    directory::Database,
    failover::{Arbiter, Report, Verdict},
    lease,
    membership::{Host, HostId},
    quota::{LOAN_MARGIN_MS, LOAN_MS},
    state::{Command, State},
};
use hemlockcrank_wire::HostProgress;

/// Silence after which a host's lease and all loans of rate tokens that it made have certainly
/// ended, in milliseconds.
const HOST_DEAD_MS: u64 = lease::DURATION_MS + LOAN_MS + LOAN_MARGIN_MS;
/// Margin that the leader adds to a host's lease to cover clock drift, in milliseconds.
const LEASE_MARGIN_MS: u64 = 50;
/// Pause before the same command is proposed again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 1_000;

/// Last poll from a host.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    at: u64,
    applied: u64,
    serves: bool,
}

/// Removal of a host from the view.
#[derive(Clone, Copy, Debug)]
struct Removal {
    at: u64,
    index: u64,
}

/// Host liveness, reports on databases, and recent proposals of the control leader.
#[derive(Debug, Default)]
pub(crate) struct Supervisor {
    heartbeats: BTreeMap<Name, Heartbeat>,
    /// Hosts removed lately.
    removed: BTreeMap<Name, Removal>,
    /// Reports on each database.
    arbiters: BTreeMap<Name, Arbiter>,
    /// Member that an operator asked for as the primary, by database, and the term that the order is
    /// about.
    switchovers: BTreeMap<Name, (Name, u64)>,
    /// Time of the last proposal of a command, by its key.
    proposed: BTreeMap<Name, u64>,
}

/// When a lease that was granted at `now` at the latest has certainly ended.
pub(crate) fn lease_end(now: u64) -> u64 {
    now + lease::DURATION_MS + LEASE_MARGIN_MS
}

impl Supervisor {
    /// Starts a leadership: every host in the view counts as alive at `now`.
    pub(crate) fn begin(now: u64, state: &State) -> Self {
        let heartbeats = state.view.iter().map(|host| {
            let heartbeat = Heartbeat {
                at: now,
                applied: 0,
                serves: true,
            };
            (host.name.clone(), heartbeat)
        });
        Self {
            heartbeats: heartbeats.collect(),
            ..Self::default()
        }
    }

    /// Notes a poll from a host, or a relay's list that contains it; returns whether the host has to
    /// be added to the view.
    pub(crate) fn note_heartbeat(
        &mut self,
        now: u64,
        state: &State,
        host: &Host,
        applied: u64,
    ) -> bool {
        let last = self.heartbeats.get(&host.name);
        let serves = last.is_none_or(|heartbeat| heartbeat.serves);
        let heartbeat = Heartbeat {
            at: now,
            applied,
            serves,
        };
        self.heartbeats.insert(host.name.clone(), heartbeat);
        if state.view.get(&host.name) == Some(host) {
            return false;
        }
        let key = format!("up/{}/{}", host.name, host.incarnation);
        self.may_propose(now, &key)
    }

    /// Notes the log index at which a host was removed from the view.
    pub(crate) fn note_removed(&mut self, now: u64, index: u64, host: &Name) {
        self.removed
            .retain(|_, removal| now < removal.at + HOST_DEAD_MS);
        self.removed
            .insert(host.clone(), Removal { at: now, index });
    }

    /// Whether a host was removed after `index`, so that a relay that has applied the log up to there
    /// may still list it.
    pub(crate) fn removed_after(&self, host: &str, index: u64) -> bool {
        let removal = self.removed.get(host);
        removal.is_some_and(|removal| index < removal.index)
    }

    /// Notes a host's reports on databases.
    pub(crate) fn note_reports(&mut self, now: u64, host: &Name, reports: Vec<Report>) {
        for report in reports {
            let arbiter = self.arbiters.entry(report.database.clone()).or_default();
            arbiter.record_report(now, host, report);
        }
    }

    /// Notes whether a host serves callers.
    pub(crate) fn note_serves(&mut self, host: &str, serves: bool) {
        if let Some(heartbeat) = self.heartbeats.get_mut(host) {
            heartbeat.serves = serves;
        }
    }

    /// Processes in the view that serve callers, each with the time by which its lease has certainly
    /// ended.
    pub(crate) fn lease_ends<'a>(
        &'a self,
        state: &'a State,
    ) -> impl Iterator<Item = (HostId, u64)> + 'a {
        state.view.iter().filter_map(|host| {
            let heartbeat = self.heartbeats.get(&host.name)?;
            heartbeat
                .serves
                .then_some((host.id(), lease_end(heartbeat.at)))
        })
    }

    /// Requests a planned change of primary in this term. Returns false if the term has ended or
    /// another member has been asked for in it: a late order undoes no newer one.
    pub(crate) fn request_switchover(
        &mut self,
        state: &State,
        database: &Name,
        member: Name,
        term: u64,
    ) -> bool {
        let current = state.directory.get(database).map(|database| database.term);
        let asked = self.switchovers.get(database);
        let other = asked.is_some_and(|(asked, of)| *of == term && *asked != member);
        if current != Some(term) || other {
            return false;
        }
        self.switchovers.insert(database.clone(), (member, term));
        true
    }

    /// Commands to propose now.
    pub(crate) fn tick(&mut self, now: u64, state: &State) -> Vec<Command> {
        let commands = self.begin_promotions(now, state);
        self.proposed.retain(|_, at| *at + PROPOSE_AGAIN_MS > now);
        commands
    }

    /// Progress of all hosts in the view.
    pub(crate) fn progress(&self, state: &State) -> Vec<HostProgress> {
        let hosts = state.view.iter();
        hosts
            .map(|host| HostProgress {
                host: host.name.clone(),
                zone: host.zone.clone(),
                applied: self
                    .heartbeats
                    .get(&host.name)
                    .map(|heartbeat| heartbeat.applied),
            })
            .collect()
    }

    /// Hosts in the view whose leases and loans have certainly ended.
    pub(crate) fn dead_hosts(&mut self, now: u64, state: &State) -> Vec<HostId> {
        let mut dead = Vec::new();
        for host in state.view.iter() {
            let heartbeat = self.heartbeats.get(&host.name);
            let last_at = heartbeat.map_or(now, |heartbeat| heartbeat.at);
            if now < last_at + HOST_DEAD_MS {
                continue;
            }
            let key = format!("down/{}/{}", host.name, host.incarnation);
            if self.may_propose(now, &key) {
                dead.push(host.id());
            }
        }
        dead
    }

    fn begin_promotions(&mut self, now: u64, state: &State) -> Vec<Command> {
        let mut commands = Vec::new();
        for (name, database) in state.directory.iter() {
            let requested = self.requested_primary(state, name, database);
            let arbiter = self.arbiters.entry(name.clone()).or_default();
            let verdict = arbiter.decide(now, name, database, &state.view, requested.as_ref());
            let Verdict::Begin(promotion) = verdict else {
                continue;
            };
            let key = format!("promote/{name}/{}", promotion.term);
            if self.may_propose(now, &key) {
                commands.push(Command::BeginPromotion {
                    database: name.clone(),
                    promotion,
                });
            }
        }
        commands
    }

    /// Member that an operator asked for or, when the primary is in a zone out of service, a member
    /// in a zone in service.
    fn requested_primary(
        &mut self,
        state: &State,
        name: &Name,
        database: &Database,
    ) -> Option<Name> {
        if let Some((member, term)) = self.switchovers.get(name) {
            let is_current = database.term == *term && database.members.contains_key(member);
            if is_current && database.primary.as_ref() != Some(member) {
                return Some(member.clone());
            }
            self.switchovers.remove(name);
        }
        let (_, primary) = database.primary_member()?;
        if state.records.zone_in_service(&primary.zone) {
            return None;
        }
        let mut members = database.members.iter();
        members
            .find(|(_, member)| state.records.zone_in_service(&member.zone))
            .map(|(member, _)| member.clone())
    }

    /// Whether a command was not proposed within [`PROPOSE_AGAIN_MS`]; notes the proposal if so.
    fn may_propose(&mut self, now: u64, key: &str) -> bool {
        let allowed = self
            .proposed
            .get(key)
            .is_none_or(|at| at + PROPOSE_AGAIN_MS <= now);
        if allowed {
            self.proposed.insert(key.into(), now);
        }
        allowed
    }
}
