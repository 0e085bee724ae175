//! Numbered events, which are logged and kept as this host's part of the timeline.
//!
//! Every event has a number that never changes. docs/EVENTS.md is the catalogue of events, and a
//! test checks that it matches [`Event`]. The most recent few thousand events are kept in memory
//! for `hemlockctl timeline`.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Display,
    sync::{Mutex, PoisonError},
};

use hemlockcrank_core::{
    Name,
    clock::{Clock, Stamp},
};
use hemlockcrank_wire::EventRecord;
use strum::{EnumIter, IntoStaticStr};

use crate::clock::{now_ms, wall_ms};

/// Maximum number of events kept for the timeline.
const MAX_RECORDS: usize = 4_096;

/// All events that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum Event {
    /// The process is listening.
    Started = 100,
    /// A graceful shutdown began.
    Draining = 101,
    /// The process is about to exit.
    Stopped = 102,
    /// The control group was formed, or this host joined it.
    GroupFormed = 200,
    /// This host's role in the control group changed.
    RoleChanged = 201,
    /// The control log was compacted into a snapshot.
    Snapshot = 202,
    /// The host acquired the lease for requests with a key, for the first time or again.
    LeaseHeld = 203,
    /// The lease for requests with a key expired.
    LeaseLost = 204,
    /// The voters or learners of the control group changed.
    MembersChanged = 205,
    /// The control journal cannot be written; this host has left the control group for now.
    DiskFailed = 206,
    /// The control journal can be written again; this host takes part in the control group.
    DiskRecovered = 207,
    /// A host joined the committed view.
    HostUp = 210,
    /// A host left the committed view.
    HostDown = 211,
    /// A change to a record was accepted.
    ChangeAccepted = 220,
    /// A change to a record was refused.
    ChangeRefused = 221,
    /// A complete configuration came into force.
    CatalogInForce = 222,
    /// A complete configuration was refused.
    CatalogRefused = 223,
    /// A database group or a zone changed.
    GroupChanged = 224,
    /// An order without a number of its own was not carried out, because a newer one may have been.
    OrderDropped = 225,
    /// An announcement was refused because it does not describe a usable member.
    NoticeRefused = 232,
    /// A member of a database was announced.
    MemberAnnounced = 230,
    /// A workspace was placed on a database.
    Placed = 231,
    /// A watcher suspects that a primary has failed.
    PrimaryMissed = 300,
    /// A change of primary began.
    PromotionBegun = 301,
    /// A change of primary was committed.
    PromotionDone = 302,
    /// A change of primary was superseded or abandoned.
    PromotionAbandoned = 303,
    /// A member was ordered to follow the current primary.
    MemberFollows = 304,
    /// A member answered the control leader, or failed to answer.
    MemberAnswered = 310,
    /// The control leader requested a change of primary.
    PromotionAsked = 311,
    /// The request for a change of primary was answered, or failed.
    PromotionAnswered = 312,
    /// A request for a change of primary ended: its times, and how it ended.
    PromotionCallEnded = 314,
    /// This host stopped using a primary that is being replaced.
    PrimaryReleased = 313,
    /// The leader makes no promotion call, as one of an earlier leader may still arrive.
    PromotionWithheld = 315,
    /// A witness did not confirm in time that it has received a commit.
    WitnessMissed = 316,
    /// A change of primary waits for a proof that some member holds every acknowledged commit.
    PromotionUnproved = 317,
    /// The counts of a window were committed.
    UsageClosed = 320,
    /// The control leader sends a window to the platform.
    UsageSent = 321,
    /// A call with a window ended: its times, and how it ended.
    UsageCallEnded = 322,
    /// It is committed that the platform has a window.
    UsageConfirmed = 323,
    /// A step in the report of a window changed nothing.
    UsageRefused = 324,
    /// The leader sends no window, as a call of an earlier leader may still arrive.
    UsageWithheld = 325,
    /// Operations of this host are in no report.
    UsageDropped = 326,
    /// A caller was refused at the start of its connection.
    CallerRefused = 400,
    /// A caller's key was withdrawn while it was connected.
    KeyWithdrawn = 401,
    /// A caller sent a malformed message.
    CallerMalformed = 402,
    /// The connection of a client that used too much was closed.
    ClientClosed = 403,
    /// A connection of a client could not be accepted.
    ClientUnaccepted = 404,
    /// A statement was refused and not run.
    NotRun = 410,
    /// The outcome of a write is unknown.
    OutcomeUnknown = 411,
    /// An unknown outcome was resolved.
    OutcomeResolved = 412,
    /// A read was retried on another member.
    ReadRetried = 413,
    /// A database connection stopped responding and was replaced.
    ConnectionSilent = 420,
    /// A database connection was refused or failed.
    ConnectionFailed = 421,
    /// An executor does not answer and is avoided for a while.
    ExecutorAvoided = 430,
    /// A statement that this host ran for another one was refused, or its outcome is unknown.
    ForwardedRefused = 431,
    /// A transaction that this host ran for another one was rolled back without a statement.
    ForwardedRolledBack = 432,
    /// The share of a service's reads that leave the zone of this host changed.
    SpilloverChanged = 450,
    /// The settings file was read again.
    Reloaded = 103,
    /// A task of the daemon ended because of a bug.
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

/// Maximum number of events of one kind that clients can cause in a second.
const MAX_BOUNDED_PER_SECOND: u32 = 10;

/// Events of one kind that clients have caused in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct Volume {
    second: u64,
    emitted: u32,
    left_out: u64,
}

#[derive(Debug, Default)]
struct Buffer {
    clock: Clock,
    volumes: BTreeMap<Event, Volume>,
    records: VecDeque<EventRecord>,
}

/// This host's clock and recent events.
#[derive(Debug)]
pub struct Timeline {
    host: Name,
    buffer: Mutex<Buffer>,
}

impl Timeline {
    /// Creates an empty timeline of `host`.
    pub fn new(host: Name) -> Self {
        Self {
            host,
            buffer: Mutex::default(),
        }
    }

    /// Logs an event and records it in the timeline.
    pub fn emit(&self, event: Event, fields: &[(&str, &dyn Display)]) {
        let fields: Vec<(Name, Name)> = fields
            .iter()
            .map(|(name, value)| (Name::from(*name), value.to_string().into()))
            .collect();
        let text: Vec<String> = fields.iter().map(|(n, v)| format!("{n}={v}")).collect();
        let text = text.join(" ");
        let (number, name) = (event.number(), event.name());
        match event {
            Event::Fault => tracing::error!(event = number, host = %self.host, "{name} {text}"),
            Event::ReadRetried | Event::MemberFollows => {
                tracing::debug!(event = number, host = %self.host, "{name} {text}");
            }
            _ => tracing::info!(event = number, host = %self.host, "{name} {text}"),
        }
        let mut buffer = self.lock();
        let stamp = buffer.clock.tick(wall_ms());
        if buffer.records.len() == MAX_RECORDS {
            buffer.records.pop_front();
        }
        buffer.records.push_back(EventRecord {
            stamp,
            host: self.host.clone(),
            number,
            name: name.into(),
            fields,
        });
    }

    /// Like [`Self::emit`], for events that clients can cause in any number: at most 10 of a kind in a
    /// second. The next one says how many were left out.
    pub fn emit_bounded(&self, event: Event, fields: &[(&str, &dyn Display)]) {
        let Some(left_out) = self.admit(event) else {
            return;
        };
        if left_out == 0 {
            return self.emit(event, fields);
        }
        let mut fields = fields.to_vec();
        fields.push(("left_out", &left_out));
        self.emit(event, &fields);
    }

    /// Number of events left out before this one; `None` if this one is left out too.
    fn admit(&self, event: Event) -> Option<u64> {
        let second = now_ms() / 1_000;
        let mut buffer = self.lock();
        let volume = buffer.volumes.entry(event).or_default();
        if volume.second != second {
            volume.second = second;
            volume.emitted = 0;
        }
        if volume.emitted == MAX_BOUNDED_PER_SECOND {
            volume.left_out += 1;
            return None;
        }
        volume.emitted += 1;
        Some(std::mem::take(&mut volume.left_out))
    }

    /// Returns a stamp for an outgoing frame.
    pub fn stamp(&self) -> Stamp {
        self.lock().clock.tick(wall_ms())
    }

    /// Advances the clock past the stamp of an incoming frame.
    pub fn observe(&self, stamp: Stamp) {
        self.lock().clock.observe(wall_ms(), stamp);
    }

    /// The recorded events, oldest first.
    pub fn records(&self) -> Vec<EventRecord> {
        self.lock().records.iter().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
