//! The assignment of workspaces to databases, committed once and never recomputed.

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::{Name, directory::Directory, record};

/// A workspace of a service, the unit that is assigned to a database.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlacementKey {
    /// Workspace.
    pub workspace: Name,
    /// Service.
    pub service: Name,
}

/// All placements. Clones share structure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placements {
    databases: OrdMap<PlacementKey, Name>,
    /// Number of workspaces in each database.
    workspace_counts: OrdMap<Name, u64>,
}

impl Placements {
    /// The database of the workspace.
    pub fn get(&self, key: &PlacementKey) -> Option<&Name> {
        self.databases.get(key)
    }

    /// All placements, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&PlacementKey, &Name)> {
        self.databases.iter()
    }

    /// Chooses the database with the fewest workspaces among those in service; on a tie, the first
    /// by name.
    pub fn choose(
        &self,
        directory: &Directory,
        records: &record::Store,
        service: &str,
    ) -> Option<Name> {
        directory
            .names_for_service(service)
            .filter(|name| records.database_in_service(name))
            .min_by_key(|name| self.workspace_counts.get(*name).copied().unwrap_or(0))
            .cloned()
    }

    /// Applies a committed placement. A workspace that is already placed keeps its database.
    pub(crate) fn commit(&mut self, key: &PlacementKey, database: &Name) {
        if !self.databases.contains_key(key) {
            self.databases.insert(key.clone(), database.clone());
            *self.workspace_counts.entry(database.clone()).or_insert(0) += 1;
        }
    }
}
