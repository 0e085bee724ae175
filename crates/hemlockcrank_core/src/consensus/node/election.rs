//! Elections: campaigns, votes and role changes.

use std::collections::BTreeSet;

use super::{DurableChange, Id, Message, Node, Output, Payload, Role};

impl Node {
    pub(super) fn campaign(&mut self, now: u64, pre_vote: bool) {
        if !self.log.config().voters.contains(&self.id) {
            return;
        }
        self.leader = None;
        self.votes = BTreeSet::from([self.id.clone()]);
        let term = self.term + 1;
        if pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.set_vote(term, Some(self.id.clone()));
        }
        let message = Message::Vote {
            term,
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: u64) {
        let voters = &self.log.config().voters;
        let granted = self.votes.iter().filter(|id| voters.contains(*id)).count();
        if granted < self.log.config().quorum() {
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
        self.append_as_leader(now, vec![Payload::Noop]);
    }

    pub(super) fn become_follower(&mut self, now: u64, term: u64, leader: Option<Id>) {
        if term > self.term {
            self.set_vote(term, None);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        let mean_spread = self.timing.election_spread_ms / 2;
        self.election_at = now + self.timing.election_min_ms + mean_spread;
    }

    pub(super) fn set_vote(&mut self, term: u64, vote: Option<Id>) {
        self.term = term;
        self.vote.clone_from(&vote);
        self.outputs
            .push(Output::Persist(DurableChange::Vote { term, vote }));
    }

    /// Whether the node, if it does not lead, must refuse to vote, because it had contact with a
    /// leader, or restarted, less than the minimum election timeout ago.
    pub(super) fn refuses_votes(&self, now: u64) -> bool {
        let recent = now < self.leader_contact_at + self.timing.election_min_ms;
        recent && (self.leader.is_some() || self.role == Role::Follower)
    }

    pub(super) fn on_vote(
        &mut self,
        now: u64,
        from: Id,
        term: u64,
        pre_vote: bool,
        candidate_last: (u64, u64),
    ) {
        let own_last = (self.log.last_term(), self.log.last_index());
        let refuses_votes = self.refuses_votes(now) || self.role == Role::Leader;
        if !pre_vote && !refuses_votes && term > self.term {
            self.become_follower(now, term, None);
        }
        let may_vote = match &self.vote {
            Some(vote) => term > self.term || (term == self.term && *vote == from),
            None => term >= self.term,
        };
        let granted = !refuses_votes
            && may_vote
            && candidate_last >= own_last
            && (pre_vote || term == self.term);
        if granted && !pre_vote {
            if self.vote.is_none() {
                self.set_vote(term, Some(from.clone()));
            }
            self.election_at = now + self.timing.election_min_ms + self.timing.election_spread_ms;
        }
        let term = if granted { term } else { self.term };
        self.send(
            from,
            Message::VoteReply {
                term,
                pre_vote,
                granted,
            },
        );
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: u64,
        from: Id,
        term: u64,
        pre_vote: bool,
        granted: bool,
    ) {
        let expected = match self.role {
            Role::PreCandidate => pre_vote && term == self.term + 1,
            Role::Candidate => !pre_vote && term == self.term,
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
