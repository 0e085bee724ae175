//! Databases, their members, and the primary of each term.
//!
//! Members announce themselves. The first announcement of a member, and each one that changes its
//! address, zone or limits, is committed. Terms after a database's first are allocated here and
//! nowhere else; see [`crate::failover`].

use std::{collections::BTreeMap, net::SocketAddr};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{Name, session::Position};

/// The role that a member reports.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// A member's announcement to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the database belongs to.
    pub service: Name,
    /// Database (group) that the member belongs to.
    pub database: Name,
    /// Name of the member, unique in its database.
    pub member: Name,
    /// Address of its PostgreSQL endpoint.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Role at the time of the announcement.
    pub role: Role,
    /// Term that the member has adopted.
    pub term: u64,
    /// Position of its last log entry.
    pub position: Position,
    /// Size of the database: its number of members, announced or not.
    pub members: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of concurrent statements.
    pub slots: u32,
}

/// A member, as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address of its PostgreSQL endpoint.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of concurrent statements.
    pub slots: u32,
}

/// A change of primary in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotion {
    /// Term that the new primary will have.
    pub term: u64,
    /// Host that performs the change.
    pub executor: Name,
    /// Member that should become primary, for a planned switchover.
    pub prefer: Option<Name>,
}

/// The log with which the current primary started its term. Determines which commits of the
/// previous term it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermStart {
    /// Term of the previous primary.
    pub previous_term: u64,
    /// Position of the current primary's last log entry when it adopted its term.
    pub last: Position,
}

/// One database, as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// Service that the database belongs to.
    pub service: Name,
    /// Number of members, announced or not; fixed by the first announcement.
    pub size: u32,
    /// Announced members, by name.
    pub members: BTreeMap<Name, Member>,
    /// Term of the current primary; 0 before the first one is announced.
    pub term: u64,
    /// Current primary.
    pub primary: Option<Name>,
    /// Change of primary in progress.
    pub promotion: Option<Promotion>,
    /// The log with which the current primary started its term, if known.
    pub term_start: Option<TermStart>,
}

impl Database {
    /// Number of members that majorities are counted against, announced or not.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Smallest number of members that forms a majority.
    pub fn quorum(&self) -> usize {
        self.size() / 2 + 1
    }

    /// Highest term allocated, including that of a promotion in progress.
    pub fn highest_term(&self) -> u64 {
        let promotion_term = self.promotion.as_ref().map_or(0, |p| p.term);
        self.term.max(promotion_term)
    }

    /// Whether the announcement is valid for this database: the service matches, and the member is
    /// an existing one or fits within the size. The size never changes, because every majority is
    /// counted against it.
    pub fn accepts(&self, announcement: &Announcement) -> bool {
        let is_member = self.members.contains_key(&announcement.member);
        let has_room = self.members.len() < self.size();
        self.service == announcement.service && (is_member || has_room)
    }

    /// Name and committed data of the current primary.
    pub fn primary_member(&self) -> Option<(&Name, &Member)> {
        self.members.get_key_value(self.primary.as_ref()?)
    }
}

/// All databases, by name. Clones share structure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    databases: OrdMap<Name, Database>,
}

impl Directory {
    /// The database named `name`.
    pub fn get(&self, name: &str) -> Option<&Database> {
        self.databases.get(name)
    }

    /// All databases, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Database)> {
        self.databases.iter()
    }

    /// Number of databases.
    pub fn len(&self) -> usize {
        self.databases.len()
    }

    /// Whether there are no databases.
    pub fn is_empty(&self) -> bool {
        self.databases.is_empty()
    }

    /// Names of the databases of `service`.
    pub fn names_for_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Name> {
        self.databases
            .iter()
            .filter(move |(_, database)| &*database.service == service)
            .map(|(name, _)| name)
    }

    /// Whether committing `announcement` would change anything.
    pub fn would_change(&self, announcement: &Announcement) -> bool {
        let Some(database) = self.get(&announcement.database) else {
            return true;
        };
        if !database.accepts(announcement) {
            return false;
        }
        let current = database.members.get(&announcement.member);
        let first_primary = database.term == 0 && announcement.role == Role::Primary;
        current != Some(&Member::from(announcement)) || first_primary
    }

    /// Applies a committed announcement. A database never moves to another service.
    pub(crate) fn announce(&mut self, announcement: &Announcement) {
        let database = self
            .databases
            .entry(announcement.database.clone())
            .or_insert_with(|| Database {
                service: announcement.service.clone(),
                size: announcement.members,
                members: BTreeMap::new(),
                term: 0,
                primary: None,
                promotion: None,
                term_start: None,
            });
        if !database.accepts(announcement) {
            return;
        }
        let member = Member::from(announcement);
        database.members.insert(announcement.member.clone(), member);
        if database.term == 0 && announcement.role == Role::Primary {
            database.term = announcement.term;
            database.primary = Some(announcement.member.clone());
        }
    }

    /// Starts a change of primary, which supersedes one in progress under a higher term. Returns
    /// whether it was started.
    pub(crate) fn begin_promotion(&mut self, name: &str, promotion: &Promotion) -> bool {
        let Some(database) = self.databases.get_mut(name) else {
            return false;
        };
        if promotion.term != database.highest_term() + 1 {
            return false;
        }
        database.promotion = Some(promotion.clone());
        true
    }

    /// Completes the change of primary of exactly this term; returns whether it was in progress and
    /// `member` exists.
    pub(crate) fn finish_promotion(
        &mut self,
        name: &str,
        term: u64,
        member: &Name,
        last: Option<Position>,
    ) -> bool {
        let Some(database) = self.databases.get_mut(name) else {
            return false;
        };
        let in_progress = database.promotion.as_ref().map(|p| p.term) == Some(term);
        if !in_progress || !database.members.contains_key(member) {
            return false;
        }
        database.term_start = last.map(|last| TermStart {
            previous_term: database.term,
            last,
        });
        database.term = term;
        database.primary = Some(member.clone());
        database.promotion = None;
        true
    }
}

impl From<&Announcement> for Member {
    fn from(announcement: &Announcement) -> Self {
        Self {
            address: announcement.address,
            zone: announcement.zone.clone(),
            connections: announcement.connections,
            slots: announcement.slots,
        }
    }
}
