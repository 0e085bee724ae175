//! Whether a unit may run at all. What is refused here was not run.

use hemlockcrank_core::{
    queue::Entry,
    record::{Body, Kind},
    statement::Class,
};

use super::{failure::Failure, session::Session, unit::Unit};
use crate::{clock::now_ms, control::HostState};

impl Session {
    /// Checks lease, key, zone and rate.
    pub(crate) async fn admit(&self, unit: &Unit) -> Result<(), Failure> {
        let world = self.context.control.host_state();
        self.check_authority(&world, unit)?;
        let Some(workspace) = &self.who.workspace else {
            return Ok(());
        };
        let ends = matches!(unit.class, Class::Commit | Class::Rollback);
        if ends || !unit.executes || world.state.records.rate(workspace).is_none() {
            return Ok(());
        }
        let limits = &self.context.limits;
        let admitted = limits.admit(workspace, self.deadline_ms()).await;
        admitted.map_err(Failure::over_rate)?;
        self.check_authority(&self.context.control.host_state(), unit)
    }

    fn check_authority(&self, world: &HostState, unit: &Unit) -> Result<(), Failure> {
        if self.transaction.is_none() && self.host_leaves(world) {
            return Err(Failure::leaving());
        }
        self.check_permission(world, unit)
    }

    /// Checks key, service and lease; once more just before a statement that has waited is sent.
    pub(crate) fn check_permission(&self, world: &HostState, unit: &Unit) -> Result<(), Failure> {
        if self.key_is_withdrawn(world) {
            return Err(Failure::key_withdrawn());
        }
        let service = world.state.records.service(&self.who.service);
        let Some(service) = service else {
            return Err(Failure::no_service(&self.who.service));
        };
        let open_read = service.open && unit.class == Class::Read && self.transaction.is_none();
        let Some(workspace) = &self.who.workspace else {
            return if open_read || !unit.executes {
                Ok(())
            } else {
                Err(Failure::read_only_route())
            };
        };
        if !world.has_lease() {
            let stated = self.own.max_age.is_some();
            return if open_read && stated {
                Ok(())
            } else {
                Err(Failure::no_lease())
            };
        }
        let listed = world
            .state
            .records
            .workspace(workspace)
            .is_some_and(|workspace| workspace.services.contains(&self.who.service));
        if listed || open_read {
            Ok(())
        } else {
            Err(Failure::no_service(&self.who.service))
        }
    }

    /// Whether the caller came with a key that is not in force any more.
    pub(crate) fn key_is_withdrawn(&self, world: &HostState) -> bool {
        let Some((name, digest)) = &self.who.key else {
            return false;
        };
        let Some(Body::Key(key)) = world.state.records.body(Kind::Key, name) else {
            return true;
        };
        key.digest != *digest || Some(&key.workspace) != self.who.workspace.as_ref()
    }

    /// Whether this host shuts down or its zone was taken out of service.
    pub(crate) fn host_leaves(&self, world: &HostState) -> bool {
        let zone = &self.context.settings.zone;
        world.draining || !world.state.records.zone_in_service(zone)
    }

    /// Local time until which a statement that arrives now may wait.
    pub(crate) fn deadline_ms(&self) -> u64 {
        now_ms() + self.context.settings.limits.wait_ms
    }

    /// This caller's place in a queue.
    pub(crate) fn queue_entry(&self, world: &HostState, deadline: u64) -> Entry {
        let workspace = world.state.records.workspace(&self.flow);
        Entry {
            workspace: self.flow.clone(),
            weight: workspace.map_or(1, |workspace| workspace.weight),
            deadline,
        }
    }
}
