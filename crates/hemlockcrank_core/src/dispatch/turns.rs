//! Start-time fair queueing between keys that have work waiting.
//!
//! Each key starts, in virtual time, when its previous work finishes. The key with the earliest start
//! is next. Work that is taken back before it is served costs its key nothing.

use std::collections::{BTreeMap, BTreeSet};

/// Keys without work whose last finish is kept before those in the past are removed.
const MAX_IDLE: usize = 64;

/// Order in which keys are served.
#[derive(Clone, Debug)]
pub(super) struct Turns<K> {
    virtual_time: u64,
    /// Keys with work waiting: virtual start, number in order of arrival, key.
    order: BTreeSet<(u64, u64, K)>,
    positions: BTreeMap<K, (u64, u64)>,
    /// Virtual finish of the last work of keys. One in the past has no effect.
    finishes: BTreeMap<K, u64>,
    arrivals: u64,
}

impl<K> Default for Turns<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            order: BTreeSet::new(),
            positions: BTreeMap::new(),
            finishes: BTreeMap::new(),
            arrivals: 0,
        }
    }
}

impl<K> Turns<K>
where
    K: Ord + Clone,
{
    /// Adds a key that has work now, unless it had before.
    pub(super) fn add(&mut self, key: &K) {
        if self.positions.contains_key(key) {
            return;
        }
        let finish = self.finishes.get(key).copied().unwrap_or(0);
        self.arrivals += 1;
        let position = (self.virtual_time.max(finish), self.arrivals);
        self.positions.insert(key.clone(), position);
        self.order.insert((position.0, position.1, key.clone()));
    }

    /// The key whose turn it is.
    pub(super) fn next(&self) -> Option<&K> {
        self.order.first().map(|(_, _, key)| key)
    }

    /// Charges a key for work that starts now. `more` is whether more of its work waits.
    pub(super) fn charge(&mut self, key: &K, cost: u64, more: bool) {
        let Some(start) = self.remove(key) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(start);
        self.finishes.insert(key.clone(), start + cost);
        if more {
            self.add(key);
        }
        if self.finishes.len() > self.positions.len() + MAX_IDLE {
            let now = self.virtual_time;
            self.finishes.retain(|_, finish| *finish > now);
        }
    }

    /// Removes a key that has no work any more; returns its virtual start.
    pub(super) fn remove(&mut self, key: &K) -> Option<u64> {
        let (start, arrival) = self.positions.remove(key)?;
        self.order.remove(&(start, arrival, key.clone()));
        Some(start)
    }
}
