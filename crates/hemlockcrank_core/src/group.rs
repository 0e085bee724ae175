//! Database groups that replicate by themselves, as committed: members, and who leads in which term.
//!
//! Members announce themselves again and again; only what changes a decision is committed. The order
//! between two announcements of one member is that of its start and its own counter ([`Age`]), so an
//! announcement that was held up on its way never undoes a newer one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Departed members that are remembered, so that a late announcement does not bring them back.
const DEPARTED_KEPT: usize = 512;

/// Order of what one member says: its start first, then its own counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Age {
    /// Start of the member's process, as it says.
    pub born: u64,
    /// Counter of that process.
    pub seq: u64,
}

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// Takes new work.
    Ready,
    /// Finishes what it has, then leaves.
    Leaving,
}

/// One member as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// When it said so.
    pub age: Age,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Service that it belongs to.
    pub service: Name,
    /// Name of the member.
    pub member: Name,
    /// The rest.
    pub data: Member,
    /// Whether it takes itself for the primary.
    pub leads: bool,
}

/// The member that takes writes, and its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Primary.
    pub member: Name,
    /// Term in which it leads.
    pub term: u64,
}

/// A change of primary under way: no host gives primary work to the old lead any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Log index at which it began; it names the change.
    pub index: u64,
    /// Whether the old primary still works, so that open transactions may finish.
    pub planned: bool,
}

/// One group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Members by name.
    pub members: BTreeMap<Name, Member>,
    /// Present primary, once one is known.
    pub lead: Option<Lead>,
    /// Change of primary under way.
    pub change: Option<Change>,
    /// Log index at which a member last left for good.
    pub shrunk: u64,
}

impl Group {
    /// Name and data of the present primary.
    pub fn primary(&self) -> Option<(&Name, &Member)> {
        let lead = self.lead.as_ref()?;
        self.members.get_key_value(&lead.member)
    }

    /// Whether `member` is the present primary.
    pub fn is_primary(&self, member: &str) -> bool {
        self.lead
            .as_ref()
            .is_some_and(|lead| *lead.member == *member)
    }
}

/// One change to the groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// A member is new, moved, or changes its standing.
    Announce(Notice),
    /// A member has left.
    Depart {
        /// Member.
        member: Name,
        /// Newest thing it may have said before.
        age: Age,
    },
    /// A change of primary begins.
    Begin {
        /// Service.
        service: Name,
        /// Term that is left; a change of an older term is stale.
        term: u64,
        /// Whether the old primary still works.
        planned: bool,
    },
    /// A change of primary is over, or the first primary is known.
    Finish {
        /// Service.
        service: Name,
        /// Change that is over; `None` for the first primary.
        change: Option<u64>,
        /// Primary and its term.
        lead: Lead,
    },
    /// An availability zone stops or resumes work.
    Zone {
        /// Zone.
        zone: Name,
        /// Whether members there take work.
        in_service: bool,
    },
}

/// All groups by service, and the zones out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Groups {
    groups: OrdMap<Name, Group>,
    departed: BTreeMap<Name, Age>,
    evacuated: BTreeSet<Name>,
}

impl Groups {
    /// Group of a service.
    pub fn get(&self, service: &str) -> Option<&Group> {
        self.groups.get(service)
    }

    /// All groups in order of service.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Group)> {
        self.groups.iter()
    }

    /// Whether members of `zone` take work.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        !self.evacuated.contains(zone)
    }

    /// Service and data of the member of that name.
    pub fn find(&self, member: &str) -> Option<(&Name, &Member)> {
        let mut groups = self.groups.iter();
        groups.find_map(|(service, group)| group.members.get(member).map(|data| (service, data)))
    }

    /// Whether new work may go to `member`.
    pub fn accepts_work(&self, member: &Member) -> bool {
        member.standing == Standing::Ready && self.zone_in_service(&member.zone)
    }

    /// Whether committing `notice` would change a decision.
    pub fn changes_member(&self, notice: &Notice) -> bool {
        if self.is_outdated(notice) {
            return false;
        }
        let known = self
            .get(&notice.service)
            .and_then(|g| g.members.get(&notice.member));
        known.is_none_or(|known| {
            let said = &notice.data;
            known.address != said.address
                || known.zone != said.zone
                || known.slots != said.slots
                || known.standing != said.standing
                || known.age.born != said.age.born
        })
    }

    /// Whether something newer is known of the member, or of the address it names.
    pub fn is_outdated(&self, notice: &Notice) -> bool {
        let age = notice.data.age;
        let departed = self
            .departed
            .get(&notice.member)
            .is_some_and(|at| age <= *at);
        let known = self.find(&notice.member).is_some_and(|(_, m)| age < m.age);
        let replaced = self
            .holder_of(notice.data.address)
            .is_some_and(|(name, holder)| *name != notice.member && holder.age.born > age.born);
        departed || known || replaced
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
            } => self.finish(service, *change, lead),
            Edit::Zone { zone, in_service } => {
                if *in_service {
                    self.evacuated.remove(zone)
                } else {
                    self.evacuated.insert(zone.clone())
                }
            }
        }
    }

    fn holder_of(&self, address: SocketAddr) -> Option<(&Name, &Member)> {
        let mut members = self.groups.values().flat_map(|group| &group.members);
        members.find(|(_, member)| member.address == address)
    }

    fn announce(&mut self, index: u64, notice: &Notice) -> bool {
        if !self.changes_member(notice) {
            return false;
        }
        let holder = self.holder_of(notice.data.address);
        if let Some(old) = holder.map(|(name, _)| name.clone())
            && old != notice.member
        {
            self.remove(index, &old);
        }
        let elsewhere = self
            .find(&notice.member)
            .map(|(service, _)| service.clone());
        if elsewhere.is_some_and(|service| service != notice.service) {
            self.remove(index, &notice.member);
        }
        let group = self.groups.entry(notice.service.clone()).or_default();
        group
            .members
            .insert(notice.member.clone(), notice.data.clone());
        true
    }

    fn depart(&mut self, index: u64, member: &Name, age: Age) -> bool {
        let newer = self
            .find(member)
            .is_some_and(|(_, known)| known.age.born > age.born);
        if newer {
            return false;
        }
        if self.departed.len() == DEPARTED_KEPT {
            self.departed.pop_first();
        }
        let known = self.departed.entry(member.clone()).or_default();
        *known = age.max(*known);
        self.remove(index, member)
    }

    fn remove(&mut self, index: u64, member: &Name) -> bool {
        let service = self.find(member).map(|(service, _)| service.clone());
        let Some(group) = service.and_then(|service| self.groups.get_mut(&service)) else {
            return false;
        };
        group.shrunk = index;
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

    fn finish(&mut self, service: &str, change: Option<u64>, lead: &Lead) -> bool {
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        let expected = group.change.map(|change| change.index) == change;
        let rises = group.lead.as_ref().is_none_or(|old| {
            lead.term > old.term || (lead.term == old.term && lead.member == old.member)
        });
        if !expected || !rises || !group.members.contains_key(&lead.member) {
            return false;
        }
        group.lead = Some(lead.clone());
        group.change = None;
        true
    }
}
