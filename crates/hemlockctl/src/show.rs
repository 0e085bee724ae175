//! Prints answers as plain text or as JSON.

use hemlockcrank_host::{
    control::Status,
    http::{DatabaseView, RecordView, TimelineView},
};
use serde::Serialize;

/// Prints a line to standard output.
#[expect(clippy::print_stdout, reason = "the answer of a command")]
pub(crate) fn print_line(line: &str) {
    println!("{line}");
}

/// Prints a line to standard error.
#[expect(clippy::print_stderr, reason = "progress and reports")]
pub(crate) fn eprint_line(line: &str) {
    eprintln!("{line}");
}

/// Prints a value as JSON.
pub(crate) fn print_json<T>(value: &T)
where
    T: Serialize,
{
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}

pub(crate) fn records(records: &[RecordView], json: bool) {
    if json {
        return print_json(&records);
    }
    for record in records {
        let text = if record.withdrawn {
            "withdrawn"
        } else {
            &*record.text
        };
        print_line(&format!(
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
        return print_json(status);
    }
    let leader = status.leader.as_deref().unwrap_or("none");
    print_line(&format!(
        "host {} is {} in term {}; leader {leader}; voters {}",
        status.host,
        status.role,
        status.term,
        status.voters.join(", ")
    ));
    print_line(&format!(
        "index {} in force here; lease ends in {} ms",
        status.applied, status.lease_ms
    ));
    for host in &status.hosts {
        let applied = host
            .applied
            .map_or("?".to_owned(), |index| index.to_string());
        print_line(&format!(
            "  {:<20} zone {:<14} index {applied}",
            host.host, host.zone
        ));
    }
}

pub(crate) fn databases(databases: &[DatabaseView], json: bool) {
    if json {
        return print_json(&databases);
    }
    for database in databases {
        let primary = database.primary.as_deref().unwrap_or("none");
        let changing = database
            .promotion
            .map_or(String::new(), |term| format!(", changing to term {term}"));
        print_line(&format!(
            "{} of {}: term {}, primary {primary}{changing}",
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
            print_line(&format!(
                "  {:<20} zone {:<14} {reachable}{last}",
                member.name, member.zone
            ));
        }
    }
}

pub(crate) fn timeline(view: &TimelineView, json: bool) {
    if json {
        return print_json(view);
    }
    for event in &view.events {
        let fields = event
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"));
        let fields: Vec<String> = fields.collect();
        print_line(&format!(
            "{} {:<14} {} {} {}",
            event.stamp,
            event.host,
            event.number,
            event.name,
            fields.join(" ")
        ));
    }
    for host in &view.missing {
        print_line(&format!(
            "MISSING: host {host} did not answer; its events are not shown"
        ));
    }
}
