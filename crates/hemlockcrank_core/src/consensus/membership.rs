//! Changes of the voting group, one at a time.
//!
//! A change is appended only when the previous one is committed and an entry of the current term is
//! committed. Three kinds exist:
//!
//! - **add** one voter, a learner that has caught up,
//! - **remove** one voter,
//! - **swap** a voter for a newer incarnation of the *same host*. The old incarnation can never act
//!   again, so every quorum of the old group is made of the other voters, and any quorum of the new
//!   group shares one of them. A swap between two hosts would be unsafe and is never made.

use super::{Config, Id, Node, Payload, Role};

/// Most entries that a learner may lack when it becomes a voter.
const CAUGHT_UP_ENTRIES: u64 = 8;

impl Node {
    /// Adds `id` as a learner; an older learner incarnation of its host leaves.
    pub(super) fn admit_learner(&mut self, now: u64, id: Id) {
        if !self.can_change_members() || self.log.config().contains(&id) {
            return;
        }
        let mut config = self.log.config().clone();
        let stale = |old: &Id| old.host == id.host && old.incarnation != id.incarnation;
        config.learners.retain(|old| !stale(old));
        config.learners.insert(id);
        self.append_own(now, Payload::Members(config));
    }

    /// Promotes, swaps or removes one member where that is due.
    pub(super) fn manage_membership(&mut self, now: u64) {
        if !self.can_change_members() {
            return;
        }
        if let Some(config) = self.next_config(now) {
            self.append_own(now, Payload::Members(config));
        }
    }

    fn can_change_members(&self) -> bool {
        self.role == Role::Leader
            && self.has_committed_in_term()
            && self.log.config_index() <= self.commit()
    }

    fn next_config(&self, now: u64) -> Option<Config> {
        let config = self.log.config();
        let ready = config.learners.iter().find(|id| self.is_caught_up(id, now));
        if let Some(learner) = ready {
            let mut next = config.clone();
            let old = config.voters.iter().find(|v| v.host == learner.host);
            let silent = config.voters.iter().any(|v| self.is_silent(v, now));
            if let Some(old) = old {
                next.voters.remove(old);
            } else if config.voters.len() >= self.timing.target_voters && !silent {
                return None;
            }
            next.learners.remove(learner);
            next.voters.insert(learner.clone());
            return Some(next);
        }
        if config.voters.len() > self.timing.target_voters {
            let silent = config.voters.iter().find(|v| self.is_silent(v, now))?;
            let mut next = config.clone();
            next.voters.remove(silent);
            return Some(next);
        }
        None
    }

    fn is_caught_up(&self, id: &Id, now: u64) -> bool {
        self.progress.get(id).is_some_and(|p| {
            let recent = p.heard_at + self.timing.election_min_ms >= now;
            recent && p.acked_at.is_some() && p.matched + CAUGHT_UP_ENTRIES >= self.commit
        })
    }

    fn is_silent(&self, id: &Id, now: u64) -> bool {
        self.progress
            .get(id)
            .is_some_and(|p| p.heard_at + self.timing.voter_timeout_ms < now)
    }
}
