//! Which database holds a workspace: committed once, never recomputed.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::{Name, directory::Directory, record};

/// A workspace within a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlacementKey {
    /// Workspace.
    pub workspace: Name,
    /// Service.
    pub service: Name,
}

/// All placements; versions share their parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placements {
    chosen: OrdMap<PlacementKey, Name>,
    /// Workspaces of each database.
    held: OrdMap<Name, u64>,
}

impl Placements {
    /// Database that holds the workspace.
    pub fn get(&self, key: &PlacementKey) -> Option<&Name> {
        self.chosen.get(key)
    }

    /// All placements in order.
    pub fn iter(&self) -> impl Iterator<Item = (&PlacementKey, &Name)> {
        self.chosen.iter()
    }

    /// Chooses the database in service with the fewest workspaces; the first by name on a tie.
    pub fn choose(
        &self,
        directory: &Directory,
        records: &record::Store,
        service: &str,
    ) -> Option<Name> {
        directory
            .names_for_service(service)
            .filter(|name| records.database_in_service(name))
            .min_by_key(|name| self.held.get(*name).copied().unwrap_or(0))
            .cloned()
    }

    /// Records a committed placement; the first one stands.
    pub(crate) fn commit(&mut self, key: &PlacementKey, database: &Name) {
        if !self.chosen.contains_key(key) {
            self.chosen.insert(key.clone(), database.clone());
            *self.held.entry(database.clone()).or_insert(0) += 1;
        }
    }
}
