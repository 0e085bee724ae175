//! Elections: campaigning, voting, and taking a role.

use std::collections::BTreeSet;

use super::{DurableChange, Id, Message, Node, Output, Payload, Role};

impl Node {
    pub(super) fn campaign(&mut self, now: u64, pre: bool) {
        if !self.log.config().voters.contains(&self.id) {
            return;
        }
        self.leader = None;
        self.votes = BTreeSet::from([self.id.clone()]);
        let term = self.term + 1;
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.set_vote(term, Some(self.id.clone()));
        }
        let message = Message::Vote {
            term,
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: u64) {
        let voters = &self.log.config().voters;
        let given = self.votes.iter().filter(|id| voters.contains(*id)).count();
        if given < self.log.config().quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, false),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn become_leader(&mut self, now: u64) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.progress.clear();
        self.refresh_progress(now);
        self.append_own(now, Payload::Noop);
    }

    pub(super) fn become_follower(&mut self, now: u64, term: u64, leader: Option<Id>) {
        if term > self.term {
            self.set_vote(term, None);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        let spread = self.timing.election_spread_ms / 2;
        self.election_at = now + self.timing.election_min_ms + spread;
    }

    pub(super) fn set_vote(&mut self, term: u64, vote: Option<Id>) {
        self.term = term;
        self.vote.clone_from(&vote);
        self.outputs
            .push(Output::Persist(DurableChange::Vote { term, vote }));
    }

    pub(super) fn hears_leader(&self, now: u64) -> bool {
        let recent = now < self.heard_at + self.timing.election_min_ms;
        recent && (self.leader.is_some() || self.role == Role::Follower)
    }

    pub(super) fn on_vote(&mut self, now: u64, from: Id, term: u64, pre: bool, last: (u64, u64)) {
        let current = (self.log.last_term(), self.log.last_index());
        let sticky = self.hears_leader(now) || self.role == Role::Leader;
        if !pre && !sticky && term > self.term {
            self.become_follower(now, term, None);
        }
        let free = match &self.vote {
            Some(vote) => term > self.term || (term == self.term && *vote == from),
            None => term >= self.term,
        };
        let granted = !sticky && free && last >= current && (pre || term == self.term);
        if granted && !pre {
            if self.vote.is_none() {
                self.set_vote(term, Some(from.clone()));
            }
            self.election_at = now + self.timing.election_min_ms + self.timing.election_spread_ms;
        }
        let term = if granted { term } else { self.term };
        self.send(from, Message::VoteReply { term, pre, granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: u64,
        from: Id,
        term: u64,
        pre: bool,
        granted: bool,
    ) {
        let expected = match self.role {
            Role::PreCandidate => pre && term == self.term + 1,
            Role::Candidate => !pre && term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if granted && expected {
            self.votes.insert(from);
            self.count_votes(now);
        } else if !granted && term > self.term {
            self.become_follower(now, term, None);
        }
    }

    pub(super) fn send_to_voters(&mut self, message: &Message) {
        let mut others = self.log.config().voters.clone();
        others.remove(&self.id);
        for id in others {
            self.send(id, message.clone());
        }
    }
}
