//! Membership changes of the voting group, one at a time.
//!
//! The leader appends a change only when both the previous change and an entry of its current term
//! are committed. There are three kinds:
//!
//! - **add** one voter, a learner that has caught up, while fewer voters than the target respond,
//! - **remove** one voter,
//! - **swap** a voter for a newer incarnation of the *same host*. The old incarnation can never act
//!   again, so every quorum of the old group consists of the other voters, and any quorum of the
//!   new group shares one of them. A swap between two hosts would be unsafe and is never made.

use super::{Config, Id, Node, Payload, Role};

/// Maximum number of committed entries that a learner may lack when it becomes a voter.
const CAUGHT_UP_ENTRIES: u64 = 8;

impl Node {
    /// Adds `id` as a learner, in place of a learner with another incarnation of the same host.
    pub(super) fn add_learner(&mut self, now: u64, id: Id) {
        if !self.can_change_members() || self.log.config().contains(&id) {
            return;
        }
        let mut config = self.log.config().clone();
        let is_other_incarnation =
            |learner: &Id| learner.host == id.host && learner.incarnation != id.incarnation;
        config
            .learners
            .retain(|learner| !is_other_incarnation(learner));
        config.learners.insert(id);
        self.append_as_leader(now, vec![Payload::Members(config)]);
    }

    /// Adds, swaps or removes one voter, if a learner has caught up or a voter is unresponsive.
    pub(super) fn manage_membership(&mut self, now: u64) {
        if !self.can_change_members() {
            return;
        }
        if let Some(config) = self.next_config(now) {
            self.append_as_leader(now, vec![Payload::Members(config)]);
        }
    }

    fn can_change_members(&self) -> bool {
        self.role == Role::Leader
            && self.has_committed_in_term()
            && self.log.config_index() <= self.commit()
    }

    fn next_config(&self, now: u64) -> Option<Config> {
        let config = self.log.config();
        let responsive = config
            .voters
            .iter()
            .filter(|v| !self.is_unresponsive(v, now));
        let needs_voter = responsive.count() < self.timing.target_voters;
        let mut caught_up = config
            .learners
            .iter()
            .filter(|id| self.is_caught_up(id, now));
        let mut next = config.clone();
        let old_incarnation = |learner: &&Id| config.voters.iter().find(|v| v.host == learner.host);
        if let Some(learner) =
            caught_up.find(|learner| needs_voter || old_incarnation(learner).is_some())
        {
            if let Some(voter) = old_incarnation(&learner) {
                next.voters.remove(voter);
            }
            next.learners.remove(learner);
            next.voters.insert(learner.clone());
            return Some(next);
        }
        if config.voters.len() > self.timing.target_voters {
            let mut voters = config.voters.iter();
            let unresponsive = voters.find(|v| self.is_unresponsive(v, now))?;
            next.voters.remove(unresponsive);
            return Some(next);
        }
        None
    }

    fn is_caught_up(&self, id: &Id, now: u64) -> bool {
        self.progress.get(id).is_some_and(|p| {
            let is_responsive = p.last_reply_at + self.timing.election_min_ms >= now;
            is_responsive && p.acked_at.is_some() && p.matched + CAUGHT_UP_ENTRIES >= self.commit
        })
    }

    fn is_unresponsive(&self, id: &Id, now: u64) -> bool {
        self.progress
            .get(id)
            .is_some_and(|p| p.last_reply_at + self.timing.voter_timeout_ms < now)
    }
}
