//! Changes of primary in a group that replicates by itself.
//!
//! The group acknowledges a commit once `sync_replicas` replicas have received it, stops receiving when
//! it is paused, and promotes whomever it is told to. One [`Succession`] per service runs at the control
//! leader. It takes what members, hosts and calls have answered, and says what to do next as
//! [`Order`]s; it never waits and never does anything itself.
//!
//! A change goes like this:
//!
//! 1. [`Edit::Begin`] is committed. From then on no host gives new work to the old primary, and each host
//!    reports the newest commit that it has acknowledged ([`Fencing`]). Hosts that stay silent are waited
//!    out until their lease has surely ended.
//! 2. The old primary is told to step down; in an unplanned change all other members are paused, after
//!    which the old primary cannot have a commit acknowledged any more.
//! 3. A member is promoted that surely holds every acknowledged commit, on one of three proofs: the old
//!    primary has stepped down and the member has reached its last position; **all** others are paused and
//!    the member is the most advanced; or every host has reported and the member is past all they
//!    acknowledged. Without a proof the change waits: a wait costs service, a lost commit cannot be mended.
//! 4. Once the member leads and no host can act on the old term any more, [`Edit::Finish`] grants the new
//!    one.

mod change;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Name,
    group::{Edit, Group, Groups, Lead},
    session::Position,
};

/// Pause before a member is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 250;
/// Pause before a member that did not answer is asked again, in milliseconds.
const SILENT_AGAIN_MS: u64 = 150;
/// Age after which a member's answer says nothing about who is primary, in milliseconds.
const ROW_FRESH_MS: u64 = 2_000;
/// Longest wait for an answer of every member before the first primary is taken, in milliseconds.
const FIRST_WAIT_MS: u64 = 4_000;
/// Time without service after which a primary that still answers is replaced, in milliseconds.
const UNSERVED_MS: u64 = 1_500;
/// Unanswered questions after which a suspected primary is replaced.
const MISSES: u32 = 2;
/// Pause before the same edit is proposed again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 500;
/// Pause after a change before the next planned one, in milliseconds.
const PLANNED_PAUSE_MS: u64 = 500;

/// What a member answers about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Whether it takes writes.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// Last position that it has received.
    pub received: Position,
    /// Term that it is paused for; 0 when it is not.
    pub held: u64,
}

/// A member's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// What it is now.
    Row(Row),
    /// It runs, and has no slot free for the order.
    Busy,
    /// Nothing in time.
    Nothing,
}

/// How far the hosts have let go of the old primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fencing {
    /// No host can act on the old term any more.
    pub complete: bool,
    /// Every host has said so itself, so that `acknowledged` is complete.
    pub confirmed: bool,
    /// Newest commit that any host has acknowledged, as far as heard.
    pub acknowledged: Position,
}

/// What the leader knows besides the members' own answers.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Committed groups.
    pub groups: &'a Groups,
    /// Committed group of this service.
    pub group: &'a Group,
    /// Name of the service.
    pub service: &'a Name,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Hosts' part in the change that is under way.
    pub fencing: Fencing,
    /// How long hosts have failed at the primary with none succeeding, in milliseconds.
    pub failing_ms: Option<u64>,
}

/// Something to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Ask a member about itself.
    Look(Name),
    /// Stop a member from receiving, for a term.
    Pause(Name, u64),
    /// Let a member receive again.
    Resume(Name),
    /// Make a primary a replica, for a term.
    StepDown(Name, u64),
    /// Make a member the primary.
    Promote(Name),
    /// Commit an edit.
    Commit(Edit),
}

impl Order {
    /// Member that the order is about.
    pub fn member(&self) -> Option<&Name> {
        match self {
            Self::Look(member)
            | Self::Pause(member, _)
            | Self::Resume(member)
            | Self::StepDown(member, _)
            | Self::Promote(member) => Some(member),
            Self::Commit(_) => None,
        }
    }
}

/// How a promotion was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionReply {
    /// The member will lead.
    Accepted,
    /// The member does not run.
    NotRunning,
    /// No clear answer.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    row: Row,
    asked_at: u64,
    at: u64,
    /// Asked while the hosts had already let go of the old primary.
    settled: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Asking {
    again_at: u64,
    waiting: bool,
    asked_at: u64,
    settled: bool,
    misses: u32,
}

/// The leader's part in the changes of one service.
#[derive(Clone, Debug, Default)]
pub struct Succession {
    change: Option<u64>,
    began_at: u64,
    seen: BTreeMap<Name, Seen>,
    asking: BTreeMap<Name, Asking>,
    /// Member that was the primary of the term that is left; its last position counts.
    stepping: Option<Name>,
    stepped: Option<Position>,
    stepped_at: u64,
    promoted: Option<(Name, u64)>,
    resume: BTreeSet<Name>,
    proposed_at: Option<u64>,
    called_at: Option<u64>,
    first_at: Option<u64>,
    planned_at: u64,
    /// Departure of a member that was seen last, and when.
    shrunk: u64,
    shrunk_at: Option<u64>,
}

impl Succession {
    /// Starts at a new leadership: members that an earlier leader may have paused are let go.
    pub fn new(group: &Group) -> Self {
        let resume = match group.change {
            None => group.members.keys().cloned().collect(),
            Some(_) => BTreeSet::new(),
        };
        Self {
            resume,
            ..Self::default()
        }
    }

    /// What to do at `now`.
    pub fn tick(&mut self, now: u64, facts: &Inputs<'_>) -> Vec<Order> {
        let group = facts.group;
        if self.shrunk != group.shrunk {
            self.shrunk = group.shrunk;
            self.shrunk_at = Some(now);
        }
        self.resume
            .retain(|member| group.members.contains_key(member));
        if group.change.map(|change| change.index) != self.change {
            self.turn(now, group);
        }
        match (group.change, &group.lead) {
            (Some(change), _) => self.drive(now, facts, change),
            (None, None) => self.first(now, facts),
            (None, Some(lead)) => self.watch(now, facts, lead),
        }
    }

    /// Takes a member's answer to an order.
    pub fn record_reply(&mut self, now: u64, member: &Name, order: &Order, said: OrderReply) {
        let asking = self.asking.entry(member.clone()).or_default();
        asking.waiting = false;
        let row = match said {
            OrderReply::Row(row) => row,
            OrderReply::Busy => {
                asking.misses = 0;
                asking.again_at = now + ASK_AGAIN_MS;
                return;
            }
            OrderReply::Nothing => {
                asking.misses += 1;
                asking.again_at = now + SILENT_AGAIN_MS;
                return;
            }
        };
        asking.misses = 0;
        asking.again_at = now + ASK_AGAIN_MS;
        let (settled, asked_at) = (asking.settled, asking.asked_at);
        match order {
            Order::Resume(_) => {
                self.resume.remove(member);
            }
            Order::Pause(..) => {
                self.resume.insert(member.clone());
            }
            Order::StepDown(..) if !row.primary && self.stepping.as_ref() == Some(member) => {
                self.stepped = Some(row.received);
                self.stepped_at = asked_at;
            }
            _ => {}
        }
        let seen = Seen {
            row,
            asked_at,
            at: now,
            settled,
        };
        self.seen.insert(member.clone(), seen);
    }

    /// Takes the answer to a promotion.
    pub fn record_promotion(&mut self, now: u64, member: &Name, outcome: PromotionReply) {
        match outcome {
            PromotionReply::Accepted => self.promoted = Some((member.clone(), now)),
            PromotionReply::NotRunning => {
                self.promoted = None;
                self.seen.remove(member);
            }
            PromotionReply::Unknown => {}
        }
    }

    fn turn(&mut self, now: u64, group: &Group) {
        self.change = group.change.map(|change| change.index);
        self.began_at = now;
        self.seen.clear();
        self.asking.clear();
        self.stepping = None;
        self.stepped = None;
        self.promoted = None;
        self.proposed_at = None;
        self.called_at = None;
        self.planned_at = now + PLANNED_PAUSE_MS;
    }

    // ---------------------------------------------------------------------------------------------
    // Without a change

    fn first(&mut self, now: u64, facts: &Inputs<'_>) -> Vec<Order> {
        let members = &facts.group.members;
        if members.is_empty() {
            return Vec::new();
        }
        let since = *self.first_at.get_or_insert(now);
        let fresh = |seen: &&Seen| now < seen.at + ROW_FRESH_MS;
        let rows: Vec<(&Name, &Seen)> = self.seen.iter().filter(|(_, seen)| fresh(seen)).collect();
        let complete = rows.len() == members.len() && members.len() > 1;
        let enough = complete || (now >= since + FIRST_WAIT_MS && !rows.is_empty());
        let leader = rows.iter().filter(|(_, seen)| seen.row.primary);
        let newest = leader.max_by_key(|(_, seen)| seen.row.term);
        if enough && let Some((member, seen)) = newest {
            let lead = Lead {
                member: (*member).clone(),
                term: seen.row.term,
            };
            let edit = Edit::Finish {
                service: facts.service.clone(),
                change: None,
                lead,
            };
            return self.propose(now, edit);
        }
        if complete && now >= since + FIRST_WAIT_MS {
            return self.begin(now, facts, 0, false);
        }
        let names: Vec<Name> = members.keys().cloned().collect();
        names
            .into_iter()
            .filter_map(|name| self.ask(now, false, Order::Look(name)))
            .collect()
    }

    fn watch(&mut self, now: u64, facts: &Inputs<'_>, lead: &Lead) -> Vec<Order> {
        let group = facts.group;
        let Some(primary) = group.members.get(&lead.member) else {
            return self.begin(now, facts, lead.term, false);
        };
        let others = group
            .members
            .iter()
            .filter(|(name, _)| **name != lead.member);
        let successor = others
            .clone()
            .any(|(_, member)| facts.groups.accepts_work(member));
        if !facts.groups.accepts_work(primary) && successor && now >= self.planned_at {
            return self.begin(now, facts, lead.term, true);
        }
        let mut orders = Vec::new();
        let paused: Vec<Name> = self.resume.iter().cloned().collect();
        for member in paused {
            orders.extend(self.ask(now, false, Order::Resume(member)));
        }
        let Some(failing_ms) = facts.failing_ms else {
            self.seen.remove(&lead.member);
            if let Some(asking) = self.asking.get_mut(&lead.member) {
                asking.misses = 0;
            }
            return orders;
        };
        let misses = self
            .asking
            .get(&lead.member)
            .map_or(0, |asking| asking.misses);
        let row = self.seen.get(&lead.member).map(|seen| seen.row);
        let deposed = row.is_some_and(|row| !row.primary || row.term != lead.term);
        let unserved = failing_ms >= UNSERVED_MS;
        let dead = misses >= MISSES;
        if successor && (deposed || unserved || dead) {
            return self.begin(now, facts, lead.term, false);
        }
        orders.extend(self.ask(now, false, Order::Look(lead.member.clone())));
        orders
    }

    // ---------------------------------------------------------------------------------------------
    // Orders

    fn begin(&mut self, now: u64, facts: &Inputs<'_>, term: u64, planned: bool) -> Vec<Order> {
        let edit = Edit::Begin {
            service: facts.service.clone(),
            term,
            planned,
        };
        self.propose(now, edit)
    }

    fn propose(&mut self, now: u64, edit: Edit) -> Vec<Order> {
        let due = self
            .proposed_at
            .is_none_or(|at| now >= at + PROPOSE_AGAIN_MS);
        if !due {
            return Vec::new();
        }
        self.proposed_at = Some(now);
        vec![Order::Commit(edit)]
    }

    fn ask(&mut self, now: u64, settled: bool, order: Order) -> Option<Order> {
        let Some(member) = order.member() else {
            return Some(order);
        };
        let asking = self.asking.entry(member.clone()).or_default();
        if asking.waiting || now < asking.again_at {
            return None;
        }
        asking.waiting = true;
        asking.asked_at = now;
        asking.settled = settled;
        Some(order)
    }
}
