//! Merging the observations of several hosts into one for each service.

use std::collections::BTreeMap;

use super::{OBSERVATION_MAX_AGE_MS, Observation};
use crate::Name;

/// Merges observations, each with its age in milliseconds: one for each service, of its newest term.
/// What only a single host can report is left out, see [`super::Use`].
pub fn merge<'a, I>(observations: I) -> Vec<Observation>
where
    I: IntoIterator<Item = (u64, &'a Observation)>,
{
    let mut merged: BTreeMap<Name, Observation> = BTreeMap::new();
    for (age_ms, observation) in observations {
        let recent = age_ms < OBSERVATION_MAX_AGE_MS;
        let aged = |ms: Option<u64>| ms.filter(|_| recent).map(|ms| ms + age_ms);
        let next = Observation {
            failing_ms: aged(observation.failing_ms),
            served_ms: aged(observation.served_ms),
            released: None,
            operations: 0,
            ..observation.clone()
        };
        match merged.get_mut(&next.service) {
            Some(current) => combine(current, next),
            None => {
                merged.insert(next.service.clone(), next);
            }
        }
    }
    merged.into_values().collect()
}

/// Adds an observation of the same service to `current`.
fn combine(current: &mut Observation, mut next: Observation) {
    let acknowledged = current.acknowledged.max(next.acknowledged);
    if next.term > current.term {
        std::mem::swap(current, &mut next);
    }
    current.acknowledged = acknowledged;
    if next.term < current.term {
        return;
    }
    current.failing_ms = current.failing_ms.max(next.failing_ms);
    current.served_ms = match (current.served_ms, next.served_ms) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    };
    let newest = |sample: &Option<(u64, crate::floor::Sample)>| {
        sample.map(|(leader_term, sample)| (leader_term, sample.at))
    };
    if newest(&next.sample) > newest(&current.sample) {
        current.sample = next.sample;
    }
}
