//! What changed between two configurations, record by record.
//!
//! A follower that has one version receives the next one as a [`Delta`]. The result has no text; the
//! text goes to control hosts only, with the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Catalog, Route, Service};
use crate::{Name, record::Rate};

/// Changed and removed entries of one part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entries<K, V> {
    changed: Vec<(K, V)>,
    removed: Vec<K>,
}

impl<K, V> Entries<K, V>
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    fn between(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let changed = new
            .iter()
            .filter(|(key, value)| old.get(key) != Some(value));
        let removed = old.keys().filter(|key| !new.contains_key(key));
        Self {
            changed: changed
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    fn apply(&self, entries: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            entries.remove(key);
        }
        entries.extend(self.changed.iter().cloned());
    }
}

/// The change from one version of a configuration to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the change starts from.
    base: u64,
    schema: u32,
    version: u64,
    routes: Entries<(Name, Name), Route>,
    services: Entries<Name, Service>,
    rates: Entries<Name, Option<Rate>>,
    keys: Entries<Name, Name>,
    transaction_idle_ms: u64,
}

impl Delta {
    /// The change from `old` to `new`.
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        Self {
            base: old.version,
            schema: new.schema,
            version: new.version,
            routes: Entries::between(&old.routes, &new.routes),
            services: Entries::between(&old.services, &new.services),
            rates: Entries::between(&old.rates, &new.rates),
            keys: Entries::between(&old.keys, &new.keys),
            transaction_idle_ms: new.transaction_idle_ms,
        }
    }

    /// The later configuration, without its text; `None` if `old` is not the version that the
    /// change starts from.
    pub fn apply(&self, old: &Catalog) -> Option<Catalog> {
        if old.version != self.base {
            return None;
        }
        let mut new = old.without_text();
        new.schema = self.schema;
        new.version = self.version;
        new.transaction_idle_ms = self.transaction_idle_ms;
        self.routes.apply(&mut new.routes);
        self.services.apply(&mut new.services);
        self.rates.apply(&mut new.rates);
        self.keys.apply(&mut new.keys);
        Some(new)
    }
}
