//! Numbered events: the log, and this host's part of the time line.
//!
//! Every event has a number that never changes; docs/EVENTS.md is the catalogue and a test holds it to
//! [`Event`]. The last few thousand are kept in memory for `hemlockctl timeline`.

use std::{
    collections::VecDeque,
    fmt::Display,
    sync::{Mutex, PoisonError},
};

use hemlockcrank_core::{
    Name,
    clock::{Clock, Stamp},
};
use hemlockcrank_wire::EventRecord;
use strum::{EnumIter, IntoStaticStr};

use crate::clock::wall_ms;

/// Events kept for the time line.
const KEPT: usize = 4_096;

/// Everything that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Event {
    /// The process listens.
    Started = 100,
    /// A graceful shutdown began.
    Draining = 101,
    /// The process ends.
    Stopped = 102,
    /// The control group was formed, or this host joined it.
    GroupFormed = 200,
    /// This host's role in the control group changed.
    RoleChanged = 201,
    /// The control log was written to a snapshot.
    Snapshot = 202,
    /// The lease for keyed requests began or came back.
    LeaseHeld = 203,
    /// The lease for keyed requests ran out.
    LeaseLost = 204,
    /// The voters or learners of the control group changed.
    MembersChanged = 205,
    /// A host came into the committed view.
    HostUp = 210,
    /// A host left the committed view.
    HostDown = 211,
    /// A change to a record was accepted.
    ChangeAccepted = 220,
    /// A change to a record was refused.
    ChangeRefused = 221,
    /// A whole configuration is in force.
    CatalogInForce = 222,
    /// A whole configuration was refused.
    CatalogRefused = 223,
    /// Groups or zones were changed.
    GroupChanged = 224,
    /// An announcement names no member to use.
    NoticeRefused = 232,
    /// A member of a database was announced.
    MemberAnnounced = 230,
    /// A workspace was placed on a database.
    Placed = 231,
    /// A watcher misses a primary.
    PrimaryMissed = 300,
    /// A change of primary began.
    PromotionBegun = 301,
    /// A change of primary is committed.
    PromotionDone = 302,
    /// A change of primary was overtaken or gave up.
    PromotionAbandoned = 303,
    /// A member was told to follow the present primary.
    MemberFollows = 304,
    /// A member answered the control leader, or did not.
    MemberAnswered = 310,
    /// The control leader asks for a change of primary.
    PromotionAsked = 311,
    /// The call for a change of primary was answered, or not.
    PromotionAnswered = 312,
    /// This host has let go of a primary that is being replaced.
    PrimaryReleased = 313,
    /// A caller was refused at the start of its connection.
    CallerRefused = 400,
    /// A caller's key was withdrawn while it was connected.
    KeyWithdrawn = 401,
    /// A caller sent what is no message.
    CallerMalformed = 402,
    /// A statement was refused and not run.
    NotRun = 410,
    /// The outcome of a write is unknown.
    OutcomeUnknown = 411,
    /// An unknown outcome was resolved.
    OutcomeResolved = 412,
    /// A read was moved to another member.
    ReadRetried = 413,
    /// A database connection went silent and was replaced.
    ConnectionSilent = 420,
    /// A database connection was refused or failed.
    ConnectionFailed = 421,
    /// Settings were read again.
    Reloaded = 103,
    /// A task of the daemon ended by a fault in the program.
    Fault = 900,
}

impl Event {
    /// Number in the catalogue.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Name in the catalogue.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

#[derive(Debug, Default)]
struct Ring {
    clock: Clock,
    records: VecDeque<EventRecord>,
}

/// This host's clock and recent events.
#[derive(Debug)]
pub struct Timeline {
    host: Name,
    ring: Mutex<Ring>,
}

impl Timeline {
    /// An empty time line of `host`.
    pub fn new(host: Name) -> Self {
        Self {
            host,
            ring: Mutex::default(),
        }
    }

    /// Logs an event and keeps it.
    pub fn emit(&self, event: Event, fields: &[(&str, &dyn Display)]) {
        let fields: Vec<(Name, Name)> = fields
            .iter()
            .map(|(name, value)| (Name::from(*name), value.to_string().into()))
            .collect();
        let shown: Vec<String> = fields.iter().map(|(n, v)| format!("{n}={v}")).collect();
        let shown = shown.join(" ");
        let (number, name) = (event.number(), event.name());
        match event {
            Event::Fault => tracing::error!(event = number, host = %self.host, "{name} {shown}"),
            Event::ReadRetried | Event::MemberFollows => {
                tracing::debug!(event = number, host = %self.host, "{name} {shown}");
            }
            _ => tracing::info!(event = number, host = %self.host, "{name} {shown}"),
        }
        let mut ring = self.lock();
        let stamp = ring.clock.tick(wall_ms());
        if ring.records.len() == KEPT {
            ring.records.pop_front();
        }
        ring.records.push_back(EventRecord {
            stamp,
            host: self.host.clone(),
            number,
            name: name.into(),
            fields,
        });
    }

    /// A stamp for a frame that leaves.
    pub fn stamp(&self) -> Stamp {
        self.lock().clock.tick(wall_ms())
    }

    /// Moves the clock past a frame that arrived.
    pub fn observe(&self, stamp: Stamp) {
        self.lock().clock.observe(wall_ms(), stamp);
    }

    /// The events kept, oldest first.
    pub fn records(&self) -> Vec<EventRecord> {
        self.lock().records.iter().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
