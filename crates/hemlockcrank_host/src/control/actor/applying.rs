//! Applying committed entries to the state, and publishing the result.

use std::sync::Arc;

use hemlockcrank_core::{
    membership::View,
    state::{Command, Reply, State},
};

use super::ActorState;
use crate::{
    clock::now_ms,
    control::{
        HostState,
        group::{Effects, command_of, state_of},
    },
    event::Event,
};

impl ActorState {
    pub(super) fn apply_effects(&mut self, effects: Effects) {
        for envelope in effects.sends {
            self.send_envelope(envelope);
        }
        match effects.restored.as_ref().map(state_of) {
            Some(Ok(state)) => self.replace_state(state),
            Some(Err(error)) => {
                let what = "a snapshot of the leader cannot be decoded";
                self.timeline
                    .emit(Event::Fault, &[("what", &what), ("error", &error)]);
            }
            None => {}
        }
        for entry in effects.applied {
            let command = command_of(&entry);
            let outcome = if entry.index > self.state.index {
                self.apply(entry.index, command.as_ref())
            } else {
                Reply::Stale
            };
            if let Some(group) = &mut self.group {
                group.answer_proposal(&entry, outcome);
            }
        }
    }

    pub(super) fn replace_state(&mut self, state: State) {
        if state.index > self.state.index {
            self.followers
                .retain(now_ms(), &self.state.view, &state.view);
            self.updates.restart(&state.catalog);
            self.state = state;
        }
    }

    pub(super) fn apply(&mut self, index: u64, command: Option<&Command>) -> Reply {
        let old_view = Arc::clone(&self.state.view);
        let outcome = self.state.apply(index, command);
        if !Arc::ptr_eq(&old_view, &self.state.view) {
            self.note_view_change(index, &old_view);
        }
        if self.settings.data_dir.is_some() {
            self.updates.push(index, command, &outcome);
        }
        if let Some(command) = command {
            self.log_command(index, command, &outcome);
        }
        outcome
    }

    fn note_view_change(&mut self, index: u64, old_view: &View) {
        let view = &self.state.view;
        self.followers.retain(now_ms(), old_view, view);
        if let Some(supervisor) = &mut self.supervisor {
            let removed = old_view
                .iter()
                .filter(|host| view.get(&host.name).is_none());
            for host in removed {
                supervisor.note_removed(now_ms(), index, &host.name);
            }
        }
    }

    pub(super) fn publish(&mut self) {
        let lease = self.poller.lease();
        let key = (self.state.index, lease.until(), self.draining);
        let has_lease = lease.is_valid(now_ms());
        if has_lease != self.had_lease {
            self.had_lease = has_lease;
            let event = if has_lease {
                Event::LeaseHeld
            } else {
                Event::LeaseLost
            };
            let index = self.state.index;
            self.timeline.emit(event, &[("index", &index)]);
        }
        if self.published == Some(key) {
            return;
        }
        self.published = Some(key);
        let old = self.publish.send_replace(Arc::new(HostState {
            state: self.state.clone(),
            lease,
            draining: self.draining,
            serving_hosts: self.state.view.serving().count() as u64,
        }));
        let unchanged = Arc::ptr_eq(&old.state.records, &self.state.records)
            && Arc::ptr_eq(&old.state.catalog, &self.state.catalog)
            && Arc::ptr_eq(&old.state.groups, &self.state.groups);
        if !unchanged || old.draining != self.draining {
            self.change_count.send_modify(|count| *count += 1);
        }
    }
}
