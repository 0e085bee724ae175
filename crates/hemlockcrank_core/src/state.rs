//! The replicated control state, a deterministic function of the committed log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    catalog::Catalog,
    directory::{Announcement, Directory, Promotion},
    group::{Bounds, Edit, Groups},
    membership::{Host, HostId, View},
    metering::{self, Ledger},
    placement::{PlacementKey, Placements},
    record::{Change, Outcome, Store},
    session::Position,
};

/// One change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's change.
    Change(Change),
    /// A host started or became reachable again.
    HostUp(Host),
    /// A host's lease expired, or the host shut down.
    HostDown {
        /// Host name.
        name: Name,
        /// Incarnation that went down.
        incarnation: u64,
    },
    /// A member of a database announced itself for the first time, or with new data.
    Announce(Announcement),
    /// A change of primary begins.
    BeginPromotion {
        /// Database.
        database: Name,
        /// Term, executor and preferred member.
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
        /// Position of its last log entry when it adopted the term, if the executor knows it.
        last: Option<Position>,
    },
    /// Assigns a workspace to a database.
    Place {
        /// Workspace and service.
        key: PlacementKey,
        /// Database.
        database: Name,
    },
    /// A complete, versioned configuration.
    Catalog(Arc<Catalog>),
    /// A change to a group that manages its own replication, or to a zone.
    Group(Edit),
    /// Hosts started or became reachable again, and others went down.
    Hosts {
        /// Hosts that are up.
        up: Vec<Host>,
        /// Processes that are down.
        down: Vec<HostId>,
    },
    /// A step in the report of a window's usage.
    Usage(metering::Entry),
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to [`Command::Change`].
    Change(Outcome),
    /// The command was applied.
    Done,
    /// The command was out of date and changed nothing.
    Stale,
    /// The order changed nothing, because one that may be newer is committed.
    Overtaken {
        /// Log index of the newest order.
        index: u64,
    },
    /// A step in the report of usage changed nothing.
    UsageRefused(metering::Refusal),
}

/// The state that the control group replicates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Index of the last applied log entry.
    pub index: u64,
    /// Operators' records. This field and those below are shared between copies of the state and
    /// are cloned only when a command changes them.
    pub records: Arc<Store>,
    /// Live hosts.
    pub view: Arc<View>,
    /// Databases.
    pub directory: Arc<Directory>,
    /// The database of each workspace.
    pub placements: Arc<Placements>,
    /// Newest complete configuration.
    pub catalog: Arc<Catalog>,
    /// Groups that manage their own replication.
    pub groups: Arc<Groups>,
    /// Usage of the closed windows. A snapshot of version 6 ends before it.
    pub ledger: Arc<Ledger>,
    /// How far commits have been acknowledged. A snapshot of version 7 ends before it.
    pub bounds: Arc<Bounds>,
}

impl State {
    /// Applies the entry at `index`; an entry that is already applied is skipped.
    pub fn apply(&mut self, index: u64, command: Option<&Command>) -> Reply {
        if index <= self.index {
            return Reply::Stale;
        }
        assert_eq!(index, self.index + 1, "a log entry was skipped");
        self.index = index;
        match command {
            None => Reply::Done,
            Some(command) => self.run(index, command),
        }
    }

    /// The reply to a command that would change nothing, because the state includes it already or
    /// something newer; `None` for others, and for those that are not examined.
    pub fn reply_without_entry(&self, command: &Command) -> Option<Reply> {
        match command {
            Command::Catalog(catalog) => {
                (!catalog.supersedes(&self.catalog)).then_some(Reply::Stale)
            }
            Command::Group(Edit::Announce(notice)) => {
                (!self.groups.changes_member(notice)).then_some(Reply::Stale)
            }
            Command::Group(Edit::Order(order)) => {
                let overtaken = self.groups.overtaken(order);
                overtaken.map(|index| Reply::Overtaken { index })
            }
            _ => None,
        }
    }

    fn run(&mut self, index: u64, command: &Command) -> Reply {
        match command {
            Command::Change(change) => {
                Reply::Change(Arc::make_mut(&mut self.records).apply(index, change))
            }
            Command::HostUp(host) => reply_if(Arc::make_mut(&mut self.view).insert(host.clone())),
            Command::HostDown { name, incarnation } => {
                reply_if(Arc::make_mut(&mut self.view).remove(name, *incarnation))
            }
            Command::Announce(announcement) => {
                Arc::make_mut(&mut self.directory).announce(announcement);
                Reply::Done
            }
            Command::BeginPromotion {
                database,
                promotion,
            } => reply_if(Arc::make_mut(&mut self.directory).begin_promotion(database, promotion)),
            Command::FinishPromotion {
                database,
                term,
                member,
                last,
            } => reply_if(
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
                reply_if(newer)
            }
            Command::Hosts { up, down } => {
                let view = Arc::make_mut(&mut self.view);
                let mut changed = false;
                for id in down {
                    changed |= view.remove(&id.name, id.incarnation);
                }
                for host in up {
                    changed |= view.insert(host.clone());
                }
                reply_if(changed)
            }
            Command::Group(Edit::Order(order)) => {
                let overtaken = Arc::make_mut(&mut self.groups).order_zone(index, order);
                overtaken.map_or(Reply::Done, |index| Reply::Overtaken { index })
            }
            Command::Usage(entry) => {
                let ledger = Arc::make_mut(&mut self.ledger);
                let outcome = ledger.apply(entry, &self.catalog);
                outcome.map_or_else(Reply::UsageRefused, |()| Reply::Done)
            }
            Command::Group(Edit::Bound { service, bound }) => {
                reply_if(Arc::make_mut(&mut self.bounds).note(service, *bound))
            }
            Command::Group(edit) => reply_if(self.edit_group(index, edit)),
        }
    }

    fn edit_group(&mut self, index: u64, edit: &Edit) -> bool {
        let applied = Arc::make_mut(&mut self.groups).apply(index, edit);
        if applied
            && let Edit::Finish {
                service,
                change: Some(change),
                ..
            } = edit
        {
            Arc::make_mut(&mut self.bounds).finish(service, *change, index);
        }
        applied
    }
}

/// The reply to a command that has an effect only if it is not out of date.
fn reply_if(applied: bool) -> Reply {
    if applied { Reply::Done } else { Reply::Stale }
}
