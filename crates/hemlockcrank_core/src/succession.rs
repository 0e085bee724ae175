//! Changes of primary in a group whose members replicate without help from the proxy.
//!
//! A primary acknowledges a commit once `sync_replicas` replicas have received it. A paused member
//! receives no more commits, and an order can promote any member to primary. One [`Succession`] per
//! service runs at the control leader. It is a state machine without I/O: it takes the answers of
//! members, hosts and promotion calls as input and returns the next [`Order`]s.
//!
//! A change has four steps:
//!
//! 1. [`Edit::Begin`] is committed. From then on no host gives new work to the old primary, and
//!    each host reports the newest commit that it has acknowledged ([`Fencing`]). A host that does
//!    not report counts as fenced once its lease has certainly expired.
//! 2. The old primary is ordered to step down. In an unplanned change all other members are paused,
//!    after which the old primary cannot have any more commits acknowledged.
//! 3. A member is nominated that provably holds every acknowledged commit. There are three proofs:
//!    the old primary has stepped down and the member has reached its last position; **all** other
//!    members are paused and the member is the most advanced of them; or every host has reported
//!    and the member has reached every commit that they acknowledged. What a proof shows once nothing
//!    can be acknowledged any more is committed ([`Edit::Bound`]), and replaces it from then on.
//!    Without a proof the change waits: waiting costs availability, but a lost commit cannot be
//!    recovered.
//!
//!    The second proof needs the log of each replica that has ever acknowledged. Each loss of one is
//!    committed ([`Group::last_loss`]), and the proof holds again only with a bound that is newer. A
//!    leader commits such a bound after each loss while there is a primary.
//!
//!    The nomination is committed ([`Edit::Intent`]) before the platform is asked to promote the
//!    member. The platform may answer late or never, and may carry out a call after the answer was
//!    given up, so no other member is promoted until the call certainly has no effect any more; this
//!    binds later control leaders too (module `calls`).
//! 4. Once the member is primary and no host can act on the old term any more, [`Edit::Finish`]
//!    grants the new term.

mod calls;
mod change;
mod lack;
mod open_orders;
mod proof;
mod watch;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Name,
    group::{Bound, Edit, Group, Groups, Nominee},
    session::Position,
};
use calls::Calls;
pub use lack::Lack;
use open_orders::OpenOrders;

/// Interval between two orders to a member that answers, in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;
/// Pause before an order is sent again to a member that did not answer, in milliseconds.
const SILENT_RETRY_MS: u64 = 150;
/// Pause before an edit is proposed again, in milliseconds.
const PROPOSE_RETRY_MS: u64 = 500;
/// Pause between the end of a change and the next planned change, in milliseconds.
const PLANNED_CHANGE_PAUSE_MS: u64 = 500;

/// Replication status of a member, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Whether it takes writes.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// Last log position that it has received.
    pub received: Position,
    /// Term that it is paused for; 0 when it is not paused.
    pub held: u64,
}

/// A member's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Its status after the order.
    Row(Row),
    /// The member runs, but has no free slot for the order.
    Busy,
    /// No answer in time.
    Nothing,
}

/// How far the hosts have been fenced off from the old primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fencing {
    /// No host can act on the old term any more: each has released it or its lease has expired.
    pub complete: bool,
    /// Every host has confirmed its release, so `acknowledged` covers all of them, and `departed` those
    /// that left the view before.
    pub confirmed: bool,
    /// Position past which hosts that left the view have acknowledged nothing, if `confirmed`. It may
    /// include commits that were never acknowledged.
    pub departed: Position,
    /// Newest commit that any host has reported as acknowledged.
    pub acknowledged: Position,
}

/// Inputs of a decision other than the members' own answers.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Committed groups.
    pub groups: &'a Groups,
    /// Committed group of this service.
    pub group: &'a Group,
    /// Name of the service.
    pub service: &'a Name,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Newest committed bound of the service.
    pub bound: Option<&'a Bound>,
    /// How far the hosts are fenced off in the current change.
    pub fencing: Fencing,
    /// How long operations at the primary have failed with none succeeding, in milliseconds; `None`
    /// unless they fail.
    pub failing_ms: Option<u64>,
    /// Name of this control host.
    pub host: &'a Name,
    /// Its term as the leader of the control group.
    pub leadership: u64,
    /// Control hosts that take part in this leadership, this one included. Their calls under earlier
    /// ones have ended.
    pub participants: &'a BTreeSet<Name>,
}

impl<'a> Inputs<'a> {
    /// Member nominated in the change in progress.
    fn nominee(&self) -> Option<&'a Nominee> {
        self.groups.nominee(self.service)
    }

    /// Whether the present members and the bound account for every acknowledged commit.
    fn is_covered(&self) -> bool {
        self.group.is_covered(self.bound)
    }
}

/// An action for the control leader to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Ask a member for its [`Row`].
    Look(Name),
    /// Pause a member for a term: it receives no more commits.
    Pause(Name, u64),
    /// Let a paused member receive commits again.
    Resume(Name),
    /// Demote a primary to a replica, for a term.
    StepDown(Name, u64),
    /// Promote a member to primary, with a number that identifies the call.
    Promote(Name, u64),
    /// Commit an edit.
    Commit(Edit),
}

impl Order {
    /// Member that the order is addressed to; `None` for a commit.
    pub fn member(&self) -> Option<&Name> {
        match self {
            Self::Look(member)
            | Self::Pause(member, _)
            | Self::Resume(member)
            | Self::StepDown(member, _)
            | Self::Promote(member, _) => Some(member),
            Self::Commit(_) => None,
        }
    }
}

/// Answer to a promotion call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionReply {
    /// The member is becoming the primary.
    Accepted,
    /// The member is not running.
    NotRunning,
    /// The call was not carried out and never will be.
    NotSent,
    /// No clear answer: the call may be carried out at any later time.
    Unknown,
}

/// Latest row of a member.
#[derive(Clone, Copy, Debug)]
struct MemberRow {
    row: Row,
    /// When the order that it answers was sent.
    asked_at: u64,
    received_at: u64,
    /// The order was sent after all hosts had been fenced off from the old primary.
    fenced: bool,
}

/// State of the orders to one member; at most one is in flight.
#[derive(Clone, Copy, Debug, Default)]
struct Polling {
    /// Earliest time of the next order.
    retry_at: u64,
    in_flight: bool,
    /// When the latest order was sent.
    asked_at: u64,
    /// As [`MemberRow::fenced`], for the latest order.
    fenced: bool,
    /// Consecutive orders without an answer.
    misses: u32,
}

/// State machine for the changes of primary of one service, at the control leader.
#[derive(Clone, Debug, Default)]
pub struct Succession {
    change: Option<u64>,
    began_at: u64,
    rows: BTreeMap<Name, MemberRow>,
    /// Start of each member's process. What a process reported does not hold for the next one under
    /// its name.
    born: BTreeMap<Name, u64>,
    polling: BTreeMap<Name, Polling>,
    /// Primary of the term that is ending.
    outgoing: Option<Name>,
    /// Its answer after stepping down, which bounds all acknowledged commits, and when the order was sent.
    stepped_down: Option<(Row, u64)>,
    /// Member that is becoming the primary, and when its promotion was accepted.
    promoted: Option<(Name, u64)>,
    /// Members that may be paused.
    to_resume: BTreeSet<Name>,
    /// Orders to end a pause.
    resumes: OpenOrders,
    /// Orders to begin a pause.
    pauses: OpenOrders,
    /// Proposals of the last [`PROPOSE_RETRY_MS`], each with its time.
    proposed: Vec<(u64, Edit)>,
    calls: Calls,
    waiting_since: Option<u64>,
    next_planned_at: u64,
    /// [`Group::last_loss`], and when it was first seen here.
    last_loss: u64,
    loss_seen_at: u64,
}

impl Succession {
    /// Initial state of a new control leader. It resumes all members once no change is in progress,
    /// because an earlier leader may have paused them, and takes calls of earlier leaders into
    /// account that may still be carried out.
    pub fn new(now: u64, groups: &Groups, service: &str) -> Self {
        let members = groups.get(service).map(|group| group.members.keys());
        let members: BTreeSet<Name> = members.into_iter().flatten().cloned().collect();
        let unsettled = groups.unsettled(service);
        Self {
            resumes: OpenOrders::new(now, &members),
            to_resume: members,
            calls: Calls::new(now, unsettled, groups.intents(service)),
            ..Self::default()
        }
    }

    /// Control hosts whose calls under earlier leaderships may still reach the platform. Until they
    /// have landed, no call is made.
    pub fn awaited_hosts(&self, now: u64) -> BTreeSet<Name> {
        self.calls.awaited_hosts(now)
    }

    /// Returns the orders to carry out at `now`.
    pub fn tick(&mut self, now: u64, inputs: &Inputs<'_>) -> Vec<Order> {
        let group = inputs.group;
        if self.last_loss != group.last_loss {
            self.last_loss = group.last_loss;
            self.loss_seen_at = now;
        }
        self.to_resume
            .retain(|member| group.members.contains_key(member));
        self.forget_restarted(group);
        self.calls.note_participants(now, inputs.participants);
        if group.change.map(|change| change.index) != self.change {
            self.reset(now, inputs);
        }
        match (group.change, &group.lead) {
            (Some(change), _) => self.run_change(now, inputs, change),
            (None, None) => self.choose_first(now, inputs),
            (None, Some(lead)) => self.monitor(now, inputs, lead),
        }
    }

    /// Forgets what members reported that have started again since.
    fn forget_restarted(&mut self, group: &Group) {
        for (name, member) in &group.members {
            let born = member.age.born;
            let last = self.born.insert(name.clone(), born);
            if last.is_some_and(|last| last != born) {
                self.rows.remove(name);
                self.polling.remove(name);
                if self.outgoing.as_ref() == Some(name) {
                    self.stepped_down = None;
                }
                self.resumes.forget(name);
                self.pauses.forget(name);
            }
        }
        self.born.retain(|name, _| group.members.contains_key(name));
    }

    /// Records a member's reply to an order; one that no order waits for is ignored.
    pub fn record_reply(&mut self, now: u64, member: &Name, order: &Order, reply: OrderReply) {
        let waiting = self.polling.get_mut(member);
        let Some(polling) = waiting.filter(|polling| polling.in_flight) else {
            return;
        };
        polling.in_flight = false;
        let answered = reply != OrderReply::Nothing;
        match order {
            Order::Resume(_) => self.resumes.settle(member, answered),
            Order::Pause(..) => self.pauses.settle(member, answered),
            _ => {}
        }
        let row = match reply {
            OrderReply::Row(row) => row,
            OrderReply::Busy => {
                polling.misses = 0;
                polling.retry_at = now + POLL_INTERVAL_MS;
                return;
            }
            OrderReply::Nothing => {
                polling.misses += 1;
                polling.retry_at = now + SILENT_RETRY_MS;
                return;
            }
        };
        polling.misses = 0;
        polling.retry_at = now + POLL_INTERVAL_MS;
        let (fenced, asked_at) = (polling.fenced, polling.asked_at);
        match order {
            Order::Resume(_) => match self.pauses.settled_at(member).filter(|at| now < *at) {
                Some(settled_at) => polling.retry_at = settled_at,
                None => {
                    self.to_resume.remove(member);
                }
            },
            Order::StepDown(..) if !row.primary && self.outgoing.as_ref() == Some(member) => {
                self.stepped_down = Some((row, asked_at));
            }
            _ => {}
        }
        let latest = MemberRow {
            row,
            asked_at,
            received_at: now,
            fenced,
        };
        self.rows.insert(member.clone(), latest);
    }

    /// Records the answer to the promotion call with this number.
    pub fn record_promotion(&mut self, now: u64, call: u64, reply: PromotionReply) {
        let Some(call) = self.calls.record(now, call, self.change, reply) else {
            return;
        };
        if call.change != self.change {
            return;
        }
        match reply {
            PromotionReply::Accepted => self.promoted = Some((call.member, now)),
            PromotionReply::NotRunning => {
                self.promoted = None;
                self.rows.remove(&call.member);
            }
            PromotionReply::NotSent | PromotionReply::Unknown => {}
        }
    }

    /// Clears the state of the previous change when a change begins or ends, except the members to
    /// resume and the promotion calls that are not settled.
    fn reset(&mut self, now: u64, inputs: &Inputs<'_>) {
        self.change = inputs.group.change.map(|change| change.index);
        self.began_at = now;
        self.rows.clear();
        self.polling.clear();
        self.outgoing = None;
        self.stepped_down = None;
        self.promoted = None;
        self.proposed.clear();
        let primary = inputs.group.lead.as_ref().map(|lead| &lead.member);
        self.calls.begin(primary);
        self.next_planned_at = now + PLANNED_CHANGE_PAUSE_MS;
    }

    fn propose_bound(
        &mut self,
        now: u64,
        inputs: &Inputs<'_>,
        index: u64,
        position: Position,
    ) -> Vec<Order> {
        let edit = Edit::Bound {
            service: inputs.service.clone(),
            bound: Bound { index, position },
        };
        self.propose(now, edit)
    }

    /// Commits `edit`, unless the same edit was proposed a short time ago.
    fn propose(&mut self, now: u64, edit: Edit) -> Vec<Order> {
        self.proposed.retain(|(at, _)| now < at + PROPOSE_RETRY_MS);
        if self.proposed.iter().any(|(_, last)| *last == edit) {
            return Vec::new();
        }
        self.proposed.push((now, edit.clone()));
        vec![Order::Commit(edit)]
    }

    /// Returns `order` to be sent, unless another one to the same member is in flight or the pause
    /// before the next one has not passed.
    fn send(&mut self, now: u64, fenced: bool, order: Order) -> Option<Order> {
        let Some(member) = order.member() else {
            return Some(order);
        };
        let polling = self.polling.entry(member.clone()).or_default();
        if polling.in_flight || now < polling.retry_at {
            return None;
        }
        polling.in_flight = true;
        polling.asked_at = now;
        polling.fenced = fenced;
        match &order {
            Order::Pause(member, _) => {
                // Even without an answer the member may be paused.
                self.to_resume.insert(member.clone());
                self.pauses.send(now, member);
            }
            Order::Resume(member) => self.resumes.send(now, member),
            _ => {}
        }
        Some(order)
    }
}
