//! Events for committed commands.

use hemlockcrank_core::{
    metering::Entry,
    record::Outcome,
    state::{Command, Reply},
};

use super::ActorState;
use crate::event::Event;

impl ActorState {
    pub(super) fn log_command(&self, index: u64, command: &Command, outcome: &Reply) {
        let log = &self.timeline;
        match (command, outcome) {
            (Command::Change(change), Reply::Change(Outcome::Accepted { revision, .. })) => {
                let (kind, name) = (&change.id.kind, &change.id.name);
                let fields: [(&str, &dyn std::fmt::Display); 4] = [
                    ("kind", kind),
                    ("name", name),
                    ("revision", revision),
                    ("index", &index),
                ];
                log.emit(Event::ChangeAccepted, &fields);
            }
            (Command::Change(change), Reply::Change(Outcome::Refused { error, .. })) => {
                let (kind, name) = (&change.id.kind, &change.id.name);
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("kind", kind), ("name", name), ("error", error)];
                log.emit(Event::ChangeRefused, &fields);
            }
            (Command::HostUp(host), Reply::Done) => {
                log.emit(Event::HostUp, &[("peer", &host.name), ("index", &index)]);
            }
            (Command::HostDown { name, .. }, Reply::Done) => {
                log.emit(Event::HostDown, &[("peer", name), ("index", &index)]);
            }
            (Command::Hosts { up, down }, Reply::Done) => {
                for host in up {
                    log.emit(Event::HostUp, &[("peer", &host.name), ("index", &index)]);
                }
                for id in down {
                    log.emit(Event::HostDown, &[("peer", &id.name), ("index", &index)]);
                }
            }
            (Command::Announce(announcement), _) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] = [
                    ("database", &announcement.database),
                    ("member", &announcement.member),
                ];
                log.emit(Event::MemberAnnounced, &fields);
            }
            (
                Command::BeginPromotion {
                    database,
                    promotion,
                },
                Reply::Done,
            ) => {
                let fields: [(&str, &dyn std::fmt::Display); 3] = [
                    ("database", database),
                    ("term", &promotion.term),
                    ("executor", &promotion.executor),
                ];
                log.emit(Event::PromotionBegun, &fields);
            }
            (
                Command::FinishPromotion {
                    database,
                    term,
                    member,
                    ..
                },
                Reply::Done,
            ) => {
                let fields: [(&str, &dyn std::fmt::Display); 3] =
                    [("database", database), ("term", term), ("member", member)];
                log.emit(Event::PromotionDone, &fields);
            }
            (Command::Place { key, database }, _) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("workspace", &key.workspace), ("database", database)];
                log.emit(Event::Placed, &fields);
            }
            (Command::Catalog(catalog), Reply::Done) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("version", &catalog.version()), ("index", &index)];
                log.emit(Event::CatalogInForce, &fields);
            }
            (Command::Usage(entry), outcome) => self.log_usage_entry(index, entry, outcome),
            (Command::Group(edit), outcome) => {
                let fields: [(&str, &dyn std::fmt::Display); 3] = [
                    ("edit", &format!("{edit:?}")),
                    ("outcome", &format!("{outcome:?}")),
                    ("index", &index),
                ];
                log.emit(Event::GroupChanged, &fields);
            }
            _ => {}
        }
    }
    /// Logs a step in the report of usage, on the leader only.
    fn log_usage_entry(&self, index: u64, entry: &Entry, outcome: &Reply) {
        if self.supervisor.is_none() {
            return;
        }
        let log = &self.timeline;
        match (entry, outcome) {
            (_, Reply::UsageRefused(refusal)) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("error", refusal), ("index", &index)];
                log.emit(Event::UsageRefused, &fields);
            }
            (Entry::Close { window, counts, .. }, _) => {
                let fields: [(&str, &dyn std::fmt::Display); 4] = [
                    ("window", window),
                    ("workspaces", &counts.len()),
                    ("operations", &counts.values().sum::<u64>()),
                    ("index", &index),
                ];
                log.emit(Event::UsageClosed, &fields);
            }
            (Entry::Confirm { window, .. }, _) => {
                log.emit(
                    Event::UsageConfirmed,
                    &[("window", window), ("index", &index)],
                );
            }
            (Entry::Intend(_), _) => {}
        }
    }
}
