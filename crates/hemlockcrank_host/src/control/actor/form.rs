//! Finding or forming the control group, and asking to join it.

use hemlockcrank_core::Name;
use hemlockcrank_wire::{Formation, Request, Response};

use super::{Control, FORM_MS, JOIN_MS, Message};
use crate::{control::formation::Decision, event::Event, journal::JournalError, peers::CALL_LIMIT};

impl Control {
    /// Asks around while the disk is fresh, and asks to join while the group does not list it.
    pub(super) fn form(&mut self, now: u64) -> Result<(), JournalError> {
        let Some(group) = &mut self.group else {
            return Ok(());
        };
        let Some(node) = group.node() else {
            if now >= self.form_at {
                self.form_at = now + FORM_MS;
                let alone = self.founding.found(group.id(), &self.settings.bootstrap);
                self.decided(alone)?;
                self.ask_formation();
            }
            return Ok(());
        };
        let listed = node.log().config().contains(node.id());
        let alone = node.leader().is_none() && self.settings.platform.is_some();
        if (!listed || alone) && now >= self.join_at {
            self.join_at = now + JOIN_MS;
            let request = Request::Join(node.id().clone());
            match self.leader_address() {
                Some(address) => self.send(address, request),
                None if alone => {
                    for address in self.candidates() {
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
            let founder = self.settings.bootstrap.contains(&peer.host);
            if !founder && self.settings.seeds.is_empty() {
                continue;
            }
            tokio::spawn(async move {
                let answer = peers
                    .call(peer.address, &Request::Formation, CALL_LIMIT)
                    .await;
                if let Ok(Response::Formation(formation)) = answer {
                    let _ = myself.cast(Message::Formed(peer.host, formation));
                }
            });
        }
    }

    pub(super) fn formed(&mut self, from: &Name, formation: Formation) -> Result<(), JournalError> {
        let Some(group) = &self.group else {
            return Ok(());
        };
        let (own, bootstrap) = (group.id(), &self.settings.bootstrap);
        let decision = self.founding.answer(own, bootstrap, from, formation);
        self.decided(decision)
    }

    pub(super) fn decided(&mut self, decision: Decision) -> Result<(), JournalError> {
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
