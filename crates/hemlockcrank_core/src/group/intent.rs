//! Promotion calls that control leaders may have made, and that the platform may still carry out.

use serde::{Deserialize, Serialize};

use super::{Groups, Nominee};
use crate::Name;

/// A control leader's intent to ask the platform to promote a member. It is committed before the
/// first call, so that later control leaders know whose call may still arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Service.
    pub service: Name,
    /// Change in progress.
    pub change: u64,
    /// Member, which is nominated with the intent.
    pub member: Name,
    /// Start of the member's process.
    pub born: u64,
    /// Member that was nominated before in this change; a nomination in place of another one is stale.
    pub previous: Option<Name>,
    /// Name of the control host that calls.
    pub host: Name,
    /// Its term as the leader of the control group.
    pub leadership: u64,
    /// Members that calls name which may still be carried out, and are not waited for any more.
    pub witnesses: Vec<Name>,
}

impl Groups {
    /// Intents of a service whose calls the platform may still carry out.
    pub fn intents(&self, service: &str) -> &[Intent] {
        self.intents.get(service).map_or(&[], Vec::as_slice)
    }

    /// Members other than the primary that a late call may still promote. Until the calls are settled,
    /// nothing is acknowledged that one of them has not received.
    pub fn witnesses(&self, service: &str) -> impl Iterator<Item = &Name> {
        let group = self.get(service);
        let latest = self.intents(service).last();
        let witnesses = latest.into_iter().flat_map(|intent| &intent.witnesses);
        witnesses.filter(move |member| {
            group.is_some_and(|group| {
                group.members.contains_key(*member) && !group.is_primary(member)
            })
        })
    }

    /// Nominates the member of an intent and records it; an intent of an earlier change, or in place of
    /// another nomination than it names, is stale.
    pub(super) fn intend(&mut self, intent: &Intent) -> bool {
        let nominee = Nominee {
            member: intent.member.clone(),
            born: intent.born,
            change: intent.change,
        };
        let is_nominated = self.nominee(&intent.service) == Some(&nominee)
            || self.nominate(&intent.service, nominee, intent.previous.as_ref());
        if !is_nominated {
            return false;
        }
        let intents = self.intents.entry(intent.service.clone()).or_default();
        let is_known = intents.contains(intent);
        if !is_known {
            intents.push(intent.clone());
        }
        !is_known
    }
}
