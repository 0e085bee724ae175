//! Databases, their members, and which member is primary in which term.
//!
//! Databases announce themselves; the first announcement of a member, and each one that changes its
//! address or zone, is committed. Terms above the first are given out here and nowhere else: see
//! [`crate::failover`].

use std::{collections::BTreeMap, net::SocketAddr};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{Name, session::Position};

/// What a member says of itself.
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
    /// Takes writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// A member's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the database belongs to.
    pub service: Name,
    /// Database (group) that the member belongs to.
    pub database: Name,
    /// Name of the member, unique in its database.
    pub member: Name,
    /// Where it speaks the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Role at the time of the announcement.
    pub role: Role,
    /// Term that it has adopted.
    pub term: u64,
    /// Term and position of its last log entry.
    pub position: Position,
    /// Members that the database has, announced or not.
    pub members: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Statements that it runs at once.
    pub slots: u32,
}

/// A member as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it speaks the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Connections that it accepts.
    pub connections: u32,
    /// Statements that it runs at once.
    pub slots: u32,
}

/// A change of primary under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotion {
    /// Term that the new primary will have.
    pub term: u64,
    /// Host that carries the change out.
    pub executor: Name,
    /// Member that should become primary, in a planned switchover.
    pub prefer: Option<Name>,
}

/// What the present primary began with, to tell which commits of the last term it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermStart {
    /// Term of the primary before.
    pub previous_term: u64,
    /// Last log entry of the present primary when it adopted its term.
    pub last: Position,
}

/// One database as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// Service that it belongs to.
    pub service: Name,
    /// Members that it has, announced or not; fixed by the first announcement.
    pub size: u32,
    /// Its announced members by name.
    pub members: BTreeMap<Name, Member>,
    /// Term of the present primary; 0 before the first one is known.
    pub term: u64,
    /// Present primary.
    pub primary: Option<Name>,
    /// Change of primary under way.
    pub promotion: Option<Promotion>,
    /// What the present primary began with, where it is known.
    pub term_start: Option<TermStart>,
}

impl Database {
    /// Members that count towards a majority, announced or not.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Smallest number of members that is a majority.
    pub fn quorum(&self) -> usize {
        self.size() / 2 + 1
    }

    /// Highest term given out, finished or not.
    pub fn highest_term(&self) -> u64 {
        let promised = self.promotion.as_ref().map_or(0, |p| p.term);
        self.term.max(promised)
    }

    /// Whether the announcement belongs here: the same service, and a member that is known or for whom
    /// there is room. The size never changes, because every majority is counted against it.
    pub fn accepts(&self, announcement: &Announcement) -> bool {
        let known = self.members.contains_key(&announcement.member);
        let room = self.members.len() < self.size();
        self.service == announcement.service && (known || room)
    }

    /// Name and committed data of the present primary.
    pub fn primary_member(&self) -> Option<(&Name, &Member)> {
        self.members.get_key_value(self.primary.as_ref()?)
    }
}

/// All databases by name; versions share their parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    databases: OrdMap<Name, Database>,
}

impl Directory {
    /// The database of that name.
    pub fn get(&self, name: &str) -> Option<&Database> {
        self.databases.get(name)
    }

    /// All databases in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Database)> {
        self.databases.iter()
    }

    /// Number of databases.
    pub fn len(&self) -> usize {
        self.databases.len()
    }

    /// Whether no database is known.
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
        let known = database.members.get(&announcement.member);
        let first_primary = database.term == 0 && announcement.role == Role::Primary;
        known != Some(&Member::from(announcement)) || first_primary
    }

    /// Records a committed announcement. A database never moves to another service.
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

    /// Opens a change of primary; a second one replaces it under a higher term.
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

    /// Closes the change of primary of exactly this term.
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
        let expected = database.promotion.as_ref().map(|p| p.term) == Some(term);
        if !expected || !database.members.contains_key(member) {
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
