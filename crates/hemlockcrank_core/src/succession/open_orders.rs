//! Orders to begin or end a pause that members may still carry out.
//!
//! A member may carry out an order after a newer one that came on another connection. While an order
//! to end a pause is open, the member's pause proves nothing, unless no host can act on the old term
//! any more. While an order to begin one is open, the member may become paused again.

use std::collections::BTreeMap;

use crate::Name;

/// Time after which a member does not carry out an order any more whose answer is missing, in
/// milliseconds.
const SETTLE_MS: u64 = 10_000;

/// Orders of one kind.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenOrders {
    /// When the latest order was sent whose answer is awaited.
    awaited: BTreeMap<Name, u64>,
    /// When the latest order was sent that was not answered.
    unanswered: BTreeMap<Name, u64>,
}

impl OpenOrders {
    /// The orders that earlier leaders may have sent to these members until `now`.
    pub(super) fn new<'a, I>(now: u64, members: I) -> Self
    where
        I: IntoIterator<Item = &'a Name>,
    {
        let members = members.into_iter();
        Self {
            awaited: BTreeMap::new(),
            unanswered: members.map(|member| (member.clone(), now)).collect(),
        }
    }

    pub(super) fn send(&mut self, now: u64, member: &Name) {
        if let Some(earlier) = self.awaited.insert(member.clone(), now) {
            self.unanswered.insert(member.clone(), earlier);
        }
    }

    /// The awaited order was answered, or its answer was given up.
    pub(super) fn settle(&mut self, member: &Name, answered: bool) {
        if let Some(sent_at) = self.awaited.remove(member)
            && !answered
        {
            self.unanswered.insert(member.clone(), sent_at);
        }
    }

    /// The member has started again, which ends every order to its former process.
    pub(super) fn forget(&mut self, member: &Name) {
        self.awaited.remove(member);
        self.unanswered.remove(member);
    }

    /// When the member certainly carries out none any more; `None` if none was left open.
    pub(super) fn settled_at(&self, member: &str) -> Option<u64> {
        let sent = [self.awaited.get(member), self.unanswered.get(member)];
        let latest = sent.into_iter().flatten().max();
        latest.map(|at| at + SETTLE_MS)
    }

    /// Whether the member may still carry one out at `now`.
    pub(super) fn may_arrive(&self, now: u64, member: &str) -> bool {
        self.settled_at(member).is_some_and(|at| now < at)
    }
}
