//! Finding, forming and joining the control group.

use hemlockcrank_core::Name;
use hemlockcrank_wire::{Formation, Request, Response};

use super::{ActorState, FORM_INTERVAL_MS, JOIN_INTERVAL_MS, Message};
use crate::{
    control::bootstrap::Decision, event::Event, journal::JournalError, peers::CALL_TIMEOUT,
};

impl ActorState {
    /// Asks the peers for a group while the disk is fresh, and asks to join while the group does
    /// not list it. With a platform it also asks while it knows no leader.
    pub(super) fn join_group(&mut self, now: u64) -> Result<(), JournalError> {
        let Some(group) = &mut self.group else {
            return Ok(());
        };
        let Some(node) = group.node() else {
            if now >= self.next_form_at {
                self.next_form_at = now + FORM_INTERVAL_MS;
                let decision = self
                    .bootstrap
                    .try_form(group.id(), &self.settings.bootstrap);
                self.apply_decision(decision)?;
                self.ask_formation();
            }
            return Ok(());
        };
        let listed = node.log().config().contains(node.id());
        let without_leader = node.leader().is_none() && self.settings.platform.is_some();
        if (!listed || without_leader) && now >= self.next_join_at {
            self.next_join_at = now + JOIN_INTERVAL_MS;
            let request = Request::Join(node.id().clone());
            match self.leader_address() {
                Some(address) => self.send(address, request),
                None if without_leader => {
                    for address in self.possible_leaders() {
                        self.send(address, request.clone());
                    }
                }
                None => {}
            }
        }
        Ok(())
    }

    pub(super) fn ask_formation(&self) {
        for peer in &self.settings.peers {
            let (peers, myself, peer) = (self.peers.clone(), self.myself.clone(), peer.clone());
            let in_bootstrap = self.settings.bootstrap.contains(&peer.host);
            if !in_bootstrap && self.settings.seeds.is_empty() {
                continue;
            }
            tokio::spawn(async move {
                let answer = peers
                    .call(peer.address, &Request::Formation, CALL_TIMEOUT)
                    .await;
                if let Ok(Response::Formation(formation)) = answer {
                    let _ = myself.cast(Message::FormationAnswered(peer.host, formation));
                }
            });
        }
    }

    pub(super) fn note_formation(
        &mut self,
        from: &Name,
        formation: Formation,
    ) -> Result<(), JournalError> {
        let Some(group) = &self.group else {
            return Ok(());
        };
        let (own, bootstrap) = (group.id(), &self.settings.bootstrap);
        let decision = self.bootstrap.note_answer(own, bootstrap, from, formation);
        self.apply_decision(decision)
    }

    pub(super) fn apply_decision(&mut self, decision: Decision) -> Result<(), JournalError> {
        let (Decision::Form(config), Some(group)) = (decision, &mut self.group) else {
            return Ok(());
        };
        if group.node().is_none() {
            let voters: Vec<String> = config.voters.iter().map(ToString::to_string).collect();
            group.form(config)?;
            self.timeline
                .emit(Event::GroupFormed, &[("voters", &voters.join(","))]);
        }
        Ok(())
    }
}
