//! The replicated control state: a deterministic function of the committed log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    catalog::Catalog,
    directory::{Announcement, Directory, Promotion},
    group::{Edit, Groups},
    membership::{Host, View},
    placement::{PlacementKey, Placements},
    record::{Change, Outcome, Store},
    session::Position,
};

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's change.
    Change(Change),
    /// A host started, or came back.
    HostUp(Host),
    /// A host's lease ran out, or it left.
    HostDown {
        /// Host name.
        name: Name,
        /// Incarnation that is gone.
        incarnation: u64,
    },
    /// A member of a database announced something new.
    Announce(Announcement),
    /// A change of primary begins.
    BeginPromotion {
        /// Database.
        database: Name,
        /// Term, executor and wish.
        promotion: Promotion,
    },
    /// A change of primary is done.
    FinishPromotion {
        /// Database.
        database: Name,
        /// Term of the promotion.
        term: u64,
        /// New primary.
        member: Name,
        /// Its last log entry when it adopted the term, where the executor knows it.
        last: Option<Position>,
    },
    /// A workspace finds its database.
    Place {
        /// Workspace and service.
        key: PlacementKey,
        /// Database.
        database: Name,
    },
    /// A whole configuration under its version.
    Catalog(Arc<Catalog>),
    /// A change to a group that replicates by itself, or to a zone.
    Group(Edit),
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to [`Command::Change`].
    Change(Outcome),
    /// The command was applied.
    Done,
    /// The command came too late and changed nothing.
    Stale,
}

/// Everything that the control group decides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Index of the last applied log entry.
    pub index: u64,
    /// Operators' records. Shared: a new version is made only when a command changes it.
    pub records: Arc<Store>,
    /// Live hosts.
    pub view: Arc<View>,
    /// Databases.
    pub directory: Arc<Directory>,
    /// Workspaces' databases.
    pub placements: Arc<Placements>,
    /// Newest configuration that was submitted whole.
    pub catalog: Arc<Catalog>,
    /// Groups that replicate by themselves.
    pub groups: Arc<Groups>,
}

impl State {
    /// Applies the entry at `index`; entries already applied are skipped.
    pub fn apply(&mut self, index: u64, command: Option<&Command>) -> Reply {
        if index <= self.index {
            return Reply::Stale;
        }
        assert_eq!(index, self.index + 1, "a log entry was left out");
        self.index = index;
        match command {
            None => Reply::Done,
            Some(command) => self.run(index, command),
        }
    }

    fn run(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            Command::Change(change) => {
                Reply::Change(Arc::make_mut(&mut self.records).apply(index, change))
            }
            Command::HostUp(host) => changed(Arc::make_mut(&mut self.view).insert(host.clone())),
            Command::HostDown { name, incarnation } => {
                changed(Arc::make_mut(&mut self.view).remove(name, *incarnation))
            }
            Command::Announce(announcement) => {
                Arc::make_mut(&mut self.directory).announce(announcement);
                Reply::Done
            }
            Command::BeginPromotion {
                database,
                promotion,
            } => changed(Arc::make_mut(&mut self.directory).begin_promotion(database, promotion)),
            Command::FinishPromotion {
                database,
                term,
                member,
                last,
            } => changed(
                Arc::make_mut(&mut self.directory).finish_promotion(database, *term, member, *last),
            ),
            Command::Place { key, database } => {
                Arc::make_mut(&mut self.placements).commit(key, database);
                Reply::Done
            }
            Command::Catalog(catalog) => {
                let newer = catalog.supersedes(&self.catalog);
                if newer {
                    self.catalog = Arc::clone(catalog);
                }
                changed(newer)
            }
            Command::Group(edit) => changed(Arc::make_mut(&mut self.groups).apply(index, edit)),
        }
    }
}

fn changed(done: bool) -> Reply {
    if done { Reply::Done } else { Reply::Stale }
}
