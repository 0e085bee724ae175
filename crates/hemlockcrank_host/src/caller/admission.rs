//! Admission checks before a unit runs. A unit that is refused here was not run.

use hemlockcrank_core::{
    queue::Entry,
    record::{Body, Kind},
    statement::Class,
};

use super::{failure::Failure, session::Session, unit::Unit};
use crate::{clock::now_ms, control::HostState};

impl Session {
    /// Checks lease, key, zone and rate limit, waiting for the rate limit until the deadline.
    pub(crate) async fn admit(&self, unit: &Unit) -> Result<(), Failure> {
        let host_state = self.context.control.host_state();
        self.check_admission(&host_state, unit)?;
        let Some(workspace) = &self.identity.workspace else {
            return Ok(());
        };
        let ends_transaction = matches!(unit.class, Class::Commit | Class::Rollback);
        if ends_transaction || !unit.executes || host_state.state.records.rate(workspace).is_none()
        {
            return Ok(());
        }
        let limits = &self.context.limits;
        let admission = limits.admit(workspace, self.deadline_ms()).await;
        admission.map_err(Failure::over_rate)?;
        self.check_admission(&self.context.control.host_state(), unit)
    }

    fn check_admission(&self, host_state: &HostState, unit: &Unit) -> Result<(), Failure> {
        if self.transaction.is_none() && self.is_host_leaving(host_state) {
            return Err(Failure::host_leaving());
        }
        self.check_permission(host_state, unit)
    }

    /// Checks key, service and lease. Called again just before a statement that has waited is sent.
    pub(crate) fn check_permission(
        &self,
        host_state: &HostState,
        unit: &Unit,
    ) -> Result<(), Failure> {
        if self.key_is_withdrawn(host_state) {
            return Err(Failure::key_withdrawn());
        }
        let service = host_state.state.records.service(&self.identity.service);
        let Some(service) = service else {
            return Err(Failure::no_service(&self.identity.service));
        };
        let open_read = service.open && unit.class == Class::Read && self.transaction.is_none();
        let Some(workspace) = &self.identity.workspace else {
            return if open_read || !unit.executes {
                Ok(())
            } else {
                Err(Failure::read_only_route())
            };
        };
        if !host_state.has_lease() {
            let has_max_age = self.proxy_settings.max_age.is_some();
            return if open_read && has_max_age {
                Ok(())
            } else {
                Err(Failure::no_lease())
            };
        }
        let has_service = host_state
            .state
            .records
            .workspace(workspace)
            .is_some_and(|workspace| workspace.services.contains(&self.identity.service));
        if has_service || open_read {
            Ok(())
        } else {
            Err(Failure::no_service(&self.identity.service))
        }
    }

    /// Whether the key that the caller authenticated with is no longer in force.
    pub(crate) fn key_is_withdrawn(&self, host_state: &HostState) -> bool {
        let Some((name, digest)) = &self.identity.key else {
            return false;
        };
        let Some(Body::Key(key)) = host_state.state.records.body(Kind::Key, name) else {
            return true;
        };
        key.digest != *digest || Some(&key.workspace) != self.identity.workspace.as_ref()
    }

    /// Whether this host is shutting down or its zone was taken out of service.
    pub(crate) fn is_host_leaving(&self, host_state: &HostState) -> bool {
        let zone = &self.context.settings.zone;
        host_state.draining || !host_state.state.records.zone_in_service(zone)
    }

    /// Local time until which a statement that arrives now may wait, in milliseconds.
    pub(crate) fn deadline_ms(&self) -> u64 {
        now_ms() + self.context.settings.limits.wait_ms
    }

    /// Queue entry for a statement of this caller.
    pub(crate) fn queue_entry(&self, host_state: &HostState, deadline: u64) -> Entry {
        let workspace = host_state.state.records.workspace(&self.queue_workspace);
        Entry {
            workspace: self.queue_workspace.clone(),
            weight: workspace.map_or(1, |workspace| workspace.weight),
            deadline,
        }
    }
}
