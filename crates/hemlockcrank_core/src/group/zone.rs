//! Operators' orders on availability zones.
//!
//! An order has no number of its own, and a copy of it may arrive long after a newer order was
//! committed. So it names the last log entry that was certainly committed before it was sent, and is
//! out of date if the zone's newest order is a later entry.

use serde::{Deserialize, Serialize};

use super::Groups;
use crate::Name;

/// An operator's order to take an availability zone out of service, or back into service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Zone.
    pub zone: Name,
    /// Whether members in the zone take new work.
    pub in_service: bool,
    /// Log index of an entry that was committed before the order was sent.
    pub since: u64,
}

impl Groups {
    /// Log index of an order that may be newer than `order`; `None` if `order` is the newest.
    pub fn overtaken(&self, order: &ZoneOrder) -> Option<u64> {
        let newest = self.zone_orders.get(&order.zone).copied();
        newest.filter(|newest| *newest > order.since)
    }

    /// Carries out an order at `index`, unless it is overtaken; see [`Self::overtaken`].
    pub(crate) fn order_zone(&mut self, index: u64, order: &ZoneOrder) -> Option<u64> {
        let overtaken = self.overtaken(order);
        if overtaken.is_none() {
            self.set_zone(index, &order.zone, order.in_service);
        }
        overtaken
    }

    /// Notes an order at `index`; returns whether it changed the zone.
    pub(super) fn set_zone(&mut self, index: u64, zone: &Name, in_service: bool) -> bool {
        self.zone_orders.insert(zone.clone(), index);
        if in_service {
            self.zones_out.remove(zone)
        } else {
            self.zones_out.insert(zone.clone())
        }
    }
}
