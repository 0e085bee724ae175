//! Committed state of database groups whose members replicate without help from the proxy: the
//! members, the primary and its term.
//!
//! Members announce themselves periodically; an announcement is committed only if it changes a
//! decision. Announcements of one member are ordered by its start time and its own counter
//! ([`Age`]), so a delayed announcement never overwrites a newer one. An operator's order on a zone
//! has no such counter; it names the log entries that preceded it instead (module `zone`).

mod bound;
mod intent;
mod zone;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::Name;

pub use bound::{Bound, Bounds};
pub use intent::Intent;
pub use zone::ZoneOrder;

/// Number of departed members that are remembered, so that a delayed announcement does not add them
/// again. Beyond it the one that announced itself first is forgotten.
const MAX_DEPARTED: usize = 512;

/// Orders the announcements of one member: by its start, then by its own counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Age {
    /// Start of the member's process, as reported by the member.
    pub born: u64,
    /// Counter of that process.
    pub seq: u64,
}

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Takes new work.
    Ready,
    /// Finishes its open work, then leaves.
    Leaving,
}

/// Committed data of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address that it accepts connections at.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Age of the announcement that this data comes from.
    pub age: Age,
}

/// Announcement of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Service that it belongs to.
    pub service: Name,
    /// Name of the member.
    pub member: Name,
    /// Data of the member.
    pub data: Member,
    /// Whether the member considers itself the primary.
    pub leads: bool,
}

/// The primary and its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Name of the primary.
    pub member: Name,
    /// Term in which it is primary.
    pub term: u64,
}

/// A change of primary in progress: hosts send no more primary work to the old primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Log index at which it began, which identifies the change.
    pub index: u64,
    /// Whether the old primary still runs, so that its open transactions may finish.
    pub planned: bool,
}

/// A database group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Members by name.
    pub members: BTreeMap<Name, Member>,
    /// Current primary; `None` before the first one is committed.
    pub lead: Option<Lead>,
    /// Change of primary in progress.
    pub change: Option<Change>,
    /// Log index at which the log of a replica last ceased to count: it was removed, started again under
    /// its name, or became the primary. It may have been the only second copy of a commit.
    pub last_loss: u64,
}

impl Group {
    /// Name and data of the current primary.
    pub fn primary(&self) -> Option<(&Name, &Member)> {
        let lead = self.lead.as_ref()?;
        self.members.get_key_value(&lead.member)
    }

    /// Start of a member's process; `None` if it is no member.
    pub fn born(&self, member: &str) -> Option<u64> {
        self.members.get(member).map(|member| member.age.born)
    }

    /// Whether `member` is the current primary.
    pub fn is_primary(&self, member: &str) -> bool {
        self.lead
            .as_ref()
            .is_some_and(|lead| *lead.member == *member)
    }
}

/// A replicated command that changes the groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// A member is new, has moved, or its standing has changed.
    Announce(Notice),
    /// A member has departed.
    Depart {
        /// Member.
        member: Name,
        /// Announcements up to this age are outdated.
        age: Age,
    },
    /// A change of primary begins.
    Begin {
        /// Service.
        service: Name,
        /// Term that ends; a change of an older term is stale.
        term: u64,
        /// Whether the old primary still runs, as in [`Change::planned`].
        planned: bool,
    },
    /// A change of primary ends, or the first primary is chosen.
    Finish {
        /// Service.
        service: Name,
        /// Change that ends; `None` for the first primary.
        change: Option<u64>,
        /// New primary and its term.
        lead: Lead,
    },
    /// An availability zone goes out of service or comes back, as logged by programs before version
    /// 5 of the protocol between hosts.
    Zone {
        /// Zone.
        zone: Name,
        /// Whether members in the zone take new work.
        in_service: bool,
    },
    /// The only member that may be promoted in a change, until another one is nominated, as logged by
    /// programs before version 6 of the protocol between hosts.
    Nominate {
        /// Service.
        service: Name,
        /// Change in progress.
        change: u64,
        /// Member.
        member: Name,
        /// Start of the member's process; the nomination of an earlier process is stale.
        born: u64,
        /// Member that was nominated before in this change; a nomination in place of another one is
        /// stale.
        previous: Option<Name>,
    },
    /// The platform will promote a member that was nominated in an earlier change no more.
    Settle {
        /// Service.
        service: Name,
        /// Change in which the member was nominated.
        change: u64,
    },
    /// An operator's order on an availability zone; changes nothing if a newer one is committed.
    Order(ZoneOrder),
    /// A control leader nominates a member, and is about to ask the platform to promote it.
    Intent(Intent),
    /// How far commits had been acknowledged; part of [`Bounds`].
    Bound {
        /// Service.
        service: Name,
        /// The statement.
        bound: Bound,
    },
}

/// A member that the platform may have been asked to promote, and may still promote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nominee {
    /// Member.
    pub member: Name,
    /// Start of its process. One that starts again under this name holds nothing of before.
    pub born: u64,
    /// Change in which it was nominated.
    pub change: u64,
}

/// All groups by service, the departed members, and the zones out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Groups {
    groups: OrdMap<Name, Group>,
    departed: BTreeMap<Name, Age>,
    zones_out: BTreeSet<Name>,
    /// Latest nominated member by service, until its promotion is settled. A snapshot of version 3
    /// ends before it.
    nominees: BTreeMap<Name, Nominee>,
    /// Log index of the newest order by zone. A snapshot of version 4 ends before it.
    zone_orders: BTreeMap<Name, u64>,
    /// Intents by service, until their calls are settled. A snapshot of version 5 ends before it.
    intents: BTreeMap<Name, Vec<Intent>>,
}

impl Groups {
    /// Group of a service.
    pub fn get(&self, service: &str) -> Option<&Group> {
        self.groups.get(service)
    }

    /// All groups, ordered by service.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Group)> {
        self.groups.iter()
    }

    /// Whether members in `zone` take new work.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        !self.zones_out.contains(zone)
    }

    /// Member nominated in the change in progress of a service.
    pub fn nominee(&self, service: &str) -> Option<&Nominee> {
        let change = self.get(service)?.change?.index;
        self.unsettled(service)
            .filter(|nominee| nominee.change == change)
    }

    /// Member nominated last, in the change in progress or an earlier one, if the platform may still
    /// promote it.
    pub fn unsettled(&self, service: &str) -> Option<&Nominee> {
        self.nominees.get(service)
    }

    /// Whether the same members are nominated in `other`, with the same intents to promote them.
    pub fn has_nominees_of(&self, other: &Self) -> bool {
        self.nominees == other.nominees && self.intents == other.intents
    }

    /// Service and data of the member with that name.
    pub fn find(&self, member: &str) -> Option<(&Name, &Member)> {
        let mut groups = self.groups.iter();
        groups.find_map(|(service, group)| group.members.get(member).map(|data| (service, data)))
    }

    /// Whether new work may go to `member`.
    pub fn accepts_work(&self, member: &Member) -> bool {
        member.standing == Standing::Ready && self.zone_in_service(&member.zone)
    }

    /// Whether committing `notice` would add the member or change its data, other than the counter
    /// in its age.
    pub fn changes_member(&self, notice: &Notice) -> bool {
        if self.is_outdated(notice) {
            return false;
        }
        let committed = self
            .get(&notice.service)
            .and_then(|group| group.members.get(&notice.member));
        committed.is_none_or(|committed| {
            let announced = &notice.data;
            committed.address != announced.address
                || committed.zone != announced.zone
                || committed.slots != announced.slots
                || committed.standing != announced.standing
                || committed.age.born != announced.age.born
        })
    }

    /// Whether the member has departed or announced something newer since, or its address belongs
    /// to a member that started later.
    pub fn is_outdated(&self, notice: &Notice) -> bool {
        let age = notice.data.age;
        let departed = self
            .departed
            .get(&notice.member)
            .is_some_and(|last| age <= *last);
        let superseded = self
            .find(&notice.member)
            .is_some_and(|(_, member)| age < member.age);
        let replaced = self
            .member_at(notice.data.address)
            .is_some_and(|(name, member)| *name != notice.member && member.age.born > age.born);
        departed || superseded || replaced
    }

    /// Applies a committed edit; returns whether it changed anything.
    pub(crate) fn apply(&mut self, index: u64, edit: &Edit) -> bool {
        match edit {
            Edit::Announce(notice) => self.announce(index, notice),
            Edit::Depart { member, age } => self.depart(index, member, *age),
            Edit::Begin {
                service,
                term,
                planned,
            } => self.begin(index, service, *term, *planned),
            Edit::Finish {
                service,
                change,
                lead,
            } => self.finish(index, service, *change, lead),
            Edit::Zone { zone, in_service } => self.set_zone(index, zone, *in_service),
            Edit::Order(order) => self.order_zone(index, order).is_none(),
            Edit::Nominate {
                service,
                change,
                member,
                born,
                previous,
            } => {
                let nominee = Nominee {
                    member: member.clone(),
                    born: *born,
                    change: *change,
                };
                self.nominate(service, nominee, previous.as_ref())
            }
            Edit::Settle { service, change } => self.settle(service, *change),
            Edit::Intent(intent) => self.intend(intent),
            Edit::Bound { .. } => false,
        }
    }

    fn member_at(&self, address: SocketAddr) -> Option<(&Name, &Member)> {
        let mut members = self.groups.values().flat_map(|group| &group.members);
        members.find(|(_, member)| member.address == address)
    }

    fn announce(&mut self, index: u64, notice: &Notice) -> bool {
        if !self.changes_member(notice) {
            return false;
        }
        let previous = self.member_at(notice.data.address);
        if let Some((old, age)) = previous.map(|(name, data)| (name.clone(), data.age))
            && old != notice.member
        {
            // The process that had the address is gone, and a late announcement does not bring it back.
            let age = Age {
                seq: u64::MAX,
                ..age
            };
            self.depart(index, &old, age);
        }
        let old_service = self
            .find(&notice.member)
            .map(|(service, _)| service.clone());
        if old_service.is_some_and(|service| service != notice.service) {
            self.remove(index, &notice.member);
        }
        let group = self.groups.entry(notice.service.clone()).or_default();
        let is_primary = group.is_primary(&notice.member);
        let born = notice.data.age.born;
        let last = group
            .members
            .insert(notice.member.clone(), notice.data.clone());
        let has_restarted = last.is_some_and(|last| last.age.born != born);
        if has_restarted && !is_primary {
            group.last_loss = index;
        }
        true
    }

    fn depart(&mut self, index: u64, member: &Name, age: Age) -> bool {
        let restarted = self
            .find(member)
            .is_some_and(|(_, current)| current.age.born > age.born);
        if restarted {
            return false;
        }
        if self.departed.len() == MAX_DEPARTED && !self.departed.contains_key(member) {
            let oldest = self.departed.iter().min_by_key(|(_, age)| **age);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.departed.remove(&oldest);
            }
        }
        let last = self.departed.entry(member.clone()).or_default();
        *last = age.max(*last);
        self.remove(index, member)
    }

    fn remove(&mut self, index: u64, member: &Name) -> bool {
        let service = self.find(member).map(|(service, _)| service.clone());
        let Some(group) = service.and_then(|service| self.groups.get_mut(&service)) else {
            return false;
        };
        if !group.is_primary(member) {
            group.last_loss = index;
        }
        group.members.remove(member).is_some()
    }

    fn begin(&mut self, index: u64, service: &str, term: u64, planned: bool) -> bool {
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        let current = group.lead.as_ref().map_or(0, |lead| lead.term);
        if group.change.is_some() || current != term {
            return false;
        }
        group.change = Some(Change { index, planned });
        true
    }

    fn nominate(&mut self, service: &Name, nominee: Nominee, previous: Option<&Name>) -> bool {
        let Some(group) = self.groups.get(service) else {
            return false;
        };
        let in_progress = group
            .change
            .is_some_and(|current| current.index == nominee.change);
        let current = self.nominee(service);
        let is_stale = current.map(|current| &current.member) != previous
            || current == Some(&nominee)
            || group.born(&nominee.member) != Some(nominee.born);
        if !in_progress || is_stale {
            return false;
        }
        self.nominees.insert(service.clone(), nominee);
        true
    }

    fn settle(&mut self, service: &str, change: u64) -> bool {
        let unsettled = self.unsettled(service);
        let is_stale = unsettled.is_none_or(|nominee| nominee.change != change);
        if is_stale || self.nominee(service).is_some() {
            return false;
        }
        self.intents.remove(service);
        self.nominees.remove(service).is_some()
    }

    fn finish(&mut self, index: u64, service: &str, change: Option<u64>, lead: &Lead) -> bool {
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        let expected = group.change.map(|change| change.index) == change;
        let term_may_follow = group.lead.as_ref().is_none_or(|old| {
            lead.term > old.term || (lead.term == old.term && lead.member == old.member)
        });
        if !expected || !term_may_follow || !group.members.contains_key(&lead.member) {
            return false;
        }
        group.lead = Some(lead.clone());
        if group.change.take().is_some() {
            group.last_loss = index;
        }
        true
    }
}
