//! Answers for people, or as JSON.

use hemlockcrank_host::{
    control::Status,
    http::{DatabaseView, RecordView, TimelineView},
};
use serde::Serialize;

/// Prints a line to standard output.
#[expect(clippy::print_stdout, reason = "the answer of a command")]
pub(crate) fn say(line: &str) {
    println!("{line}");
}

/// Prints a line to standard error.
#[expect(clippy::print_stderr, reason = "progress and reports")]
pub(crate) fn warn(line: &str) {
    eprintln!("{line}");
}

/// Prints a value as JSON.
pub(crate) fn say_json<T>(value: &T)
where
    T: Serialize,
{
    say(&serde_json::to_string_pretty(value).unwrap_or_default());
}

pub(crate) fn records(records: &[RecordView], json: bool) {
    if json {
        return say_json(&records);
    }
    for record in records {
        let text = if record.withdrawn {
            "withdrawn"
        } else {
            &*record.text
        };
        say(&format!(
            "{:<10} {:<24} v{} r{:<4} {text}",
            record.kind.to_string(),
            record.name,
            record.schema,
            record.revision
        ));
    }
}

pub(crate) fn status(status: &Status, json: bool) {
    if json {
        return say_json(status);
    }
    let leader = status.leader.as_deref().unwrap_or("none");
    say(&format!(
        "host {} is {} in term {}; leader {leader}; voters {}",
        status.host,
        status.role,
        status.term,
        status.voters.join(", ")
    ));
    say(&format!(
        "index {} in force here; lease ends in {} ms",
        status.applied, status.lease_ms
    ));
    for host in &status.hosts {
        let applied = host
            .applied
            .map_or("?".to_owned(), |index| index.to_string());
        say(&format!(
            "  {:<20} zone {:<14} index {applied}",
            host.host, host.zone
        ));
    }
}

pub(crate) fn databases(databases: &[DatabaseView], json: bool) {
    if json {
        return say_json(&databases);
    }
    for database in databases {
        let primary = database.primary.as_deref().unwrap_or("none");
        let moving = database
            .promotion
            .map_or(String::new(), |term| format!(", changing to term {term}"));
        say(&format!(
            "{} of {}: term {}, primary {primary}{moving}",
            database.name, database.service, database.term
        ));
        for member in &database.members {
            let reachable = match member.reachable {
                Some(true) => "answers",
                Some(false) => "SILENT",
                None => "not asked",
            };
            let last = member
                .last
                .map_or(String::new(), |(term, index)| format!(" at {term}:{index}"));
            say(&format!(
                "  {:<20} zone {:<14} {reachable}{last}",
                member.name, member.zone
            ));
        }
    }
}

pub(crate) fn timeline(view: &TimelineView, json: bool) {
    if json {
        return say_json(view);
    }
    for event in &view.events {
        let fields = event
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"));
        let fields: Vec<String> = fields.collect();
        say(&format!(
            "{} {:<14} {} {} {}",
            event.stamp,
            event.host,
            event.number,
            event.name,
            fields.join(" ")
        ));
    }
    for host in &view.missing {
        say(&format!(
            "MISSING: host {host} did not answer; its events are not shown"
        ));
    }
}
