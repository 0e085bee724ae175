//! Marginal costs per host, database, workspace, connection, statement and change, at three sizes
//! each.

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::{
    directory::{Announcement, Role},
    membership::Host,
    placement::PlacementKey,
    record::{Action, Change, Digest, Id, Kind},
    session::Position,
    state::{Command, State},
};
use hemlockcrank_standin::{Group, GroupSettings, Site, SiteError, SiteSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{
    load::{SERVICE, TABLE, connect, read, save, timed},
    report::{Report, quantile},
};

/// Time over which idle processor time is measured.
const IDLE_DURATION: Duration = Duration::from_secs(3);
/// Kernel clock ticks per second, the unit of process times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;

pub(crate) async fn measure() -> Result<Report, SiteError> {
    let setting = "one process with all hosts and stand-ins; processor time in microseconds a second of \
                   the whole process, memory in bytes, unless the name says otherwise";
    let mut report = Report::new("slopes", setting);
    state_sizes(&mut report);
    for hosts in [3, 12, 24] {
        idle_hosts(&mut report, hosts).await?;
    }
    for databases in [4, 12, 36] {
        idle_databases(&mut report, databases).await?;
    }
    connections(&mut report).await?;
    statements(&mut report).await?;
    Ok(report)
}

/// Processor time of this process so far, user and system, in microseconds.
fn processor_us() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) * 1_000_000.0 / TICKS_PER_SECOND
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

fn zones(count: usize) -> Vec<&'static str> {
    ["z1", "z2", "z3"].into_iter().cycle().take(count).collect()
}

// -------------------------------------------------------------------------------------------------
// State

/// Creates the commands that add one more object of a kind, by its number.
type CommandFactory = fn(usize) -> Vec<Command>;

fn state_sizes(report: &mut Report) {
    for size in [1_000, 4_000, 16_000] {
        let kinds: [(&str, CommandFactory); 4] = [
            ("workspace with key, rate and place", workspace),
            ("database of three members", database),
            ("host in the view", host),
            ("revision of one record", revision),
        ];
        for (name, commands_for) in kinds {
            let before = resident_bytes();
            let mut state = State::default();
            let mut published = state.clone();
            let mut index = 0;
            let started = std::time::Instant::now();
            for number in 0..size {
                for command in commands_for(number) {
                    index += 1;
                    state.apply(index, Some(&command));
                    published = state.clone();
                }
            }
            let us_per_command = started.elapsed().as_secs_f64() * 1_000_000.0 / index as f64;
            drop(published);
            let encoded = encoded_bytes(&state) / size as f64;
            let resident = (resident_bytes() - before).max(0.0) / size as f64;
            let figures = vec![
                ("encoded", encoded),
                ("resident", resident),
                ("us a command", us_per_command),
            ];
            report.row(format!("state: {size} x {name}"), figures);
        }
    }
}

/// Size of a snapshot, in bytes.
fn encoded_bytes(state: &State) -> f64 {
    hemlockcrank_wire::encode(state).map_or(0.0, |bytes| bytes.len() as f64)
}

fn submit(kind: Kind, name: &str, text: String) -> Command {
    Command::Change(Change {
        op: format!("{kind}-{name}").into(),
        id: Id::new(kind, name),
        action: Action::Submit {
            schema: 1,
            text: text.into(),
        },
    })
}

fn workspace(number: usize) -> Vec<Command> {
    let name = format!("workspace-{number}");
    let digest = Digest::of("site", &name).to_hex();
    let mut commands = vec![
        submit(
            Kind::Workspace,
            &name,
            format!(r#"{{"service": "{SERVICE}"}}"#),
        ),
        submit(
            Kind::Key,
            &name,
            format!(r#"{{"workspace": "{name}", "digest": "{digest}"}}"#),
        ),
        submit(
            Kind::Rate,
            &name,
            r#"{"per_second": 40, "burst": 20}"#.to_owned(),
        ),
        Command::Place {
            key: PlacementKey {
                workspace: name.as_str().into(),
                service: SERVICE.into(),
            },
            database: format!("database-{}", number % 100).into(),
        },
    ];
    if number == 0 {
        commands.insert(
            0,
            submit(Kind::Service, SERVICE, r#"{"open": false}"#.to_owned()),
        );
    }
    commands
}

fn database(number: usize) -> Vec<Command> {
    let announce = |member: usize| {
        Command::Announce(Announcement {
            service: SERVICE.into(),
            database: format!("database-{number}").into(),
            member: format!("database-{number}-m{member}").into(),
            address: ([127, 0, 0, 1], 5_432).into(),
            zone: format!("zone-{member}").into(),
            role: if member == 1 {
                Role::Primary
            } else {
                Role::Replica
            },
            term: 1,
            position: Position::default(),
            members: 3,
            connections: 20,
            slots: 3,
        })
    };
    (1..=3).map(announce).collect()
}

fn host(number: usize) -> Vec<Command> {
    vec![Command::HostUp(Host::new(
        format!("host-{number}"),
        format!("zone-{}", number % 20),
    ))]
}

fn revision(number: usize) -> Vec<Command> {
    let text: Arc<str> = r#"{"per_second": 40, "burst": 20}"#.into();
    let action = if number == 0 {
        Action::Submit { schema: 1, text }
    } else {
        Action::Revise {
            schema: 1,
            text,
            expected: number as u64,
        }
    };
    vec![Command::Change(Change {
        op: format!("op-{number}").into(),
        id: Id::new(Kind::Rate, "one"),
        action,
    })]
}

// -------------------------------------------------------------------------------------------------
// Processes

async fn idle_hosts(report: &mut Report, hosts: usize) -> Result<(), SiteError> {
    let site = Site::start(SiteSettings::new(&zones(hosts), Vec::new())).await?;
    let idle = idle_us_per_second().await;
    let operator = site.operator(0);
    let before = processor_us();
    let mut waits = Vec::new();
    for number in 0..100 {
        let text = r#"{"per_second": 40, "burst": 20}"#;
        let name = format!("rate-{number}");
        let (applied, took_ms) = timed(async {
            let accepted = operator.submit(Kind::Rate, &name, 1, text).await?;
            operator.wait_in_force(accepted.index, |_| {}).await
        })
        .await;
        applied?;
        waits.push(took_ms);
    }
    let us_per_change = (processor_us() - before) / 100.0;
    let figures = vec![
        ("idle us/s a host", idle / hosts as f64),
        ("us a change", us_per_change),
        ("in force p50 ms", quantile(&mut waits, 0.5)),
        ("in force p99 ms", quantile(&mut waits, 0.99)),
    ];
    report.row(format!("{hosts} hosts, no database"), figures);
    Ok(())
}

/// Processor time of the idle process, in microseconds per second.
async fn idle_us_per_second() -> f64 {
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = processor_us();
    tokio::time::sleep(IDLE_DURATION).await;
    (processor_us() - before) / IDLE_DURATION.as_secs_f64()
}

/// Measures the stand-in databases without hosts first, and subtracts their cost.
async fn idle_databases(report: &mut Report, databases: usize) -> Result<(), SiteError> {
    let group = |number: usize| {
        GroupSettings::new(SERVICE, &format!("layouts-{number}")).connections(20, 1)
    };
    let groups: Vec<GroupSettings> = (0..databases).map(group).collect();
    let mut groups_without_hosts = Vec::new();
    for settings in &groups {
        groups_without_hosts.push(Group::start(settings.clone()).await?);
    }
    let stand_ins_us = idle_us_per_second().await;
    drop(groups_without_hosts);
    let site = Site::start(SiteSettings::new(&zones(3), groups)).await?;
    let idle = idle_us_per_second().await - stand_ins_us;
    let figures = vec![
        ("stand-ins us/s", stand_ins_us),
        ("hosts us/s", idle),
        (
            "a watch, with the member's part",
            idle / databases as f64 / 3.0,
        ),
    ];
    report.row(format!("3 hosts that watch {databases} databases"), figures);
    drop(site);
    Ok(())
}

async fn connections(report: &mut Report) -> Result<(), SiteError> {
    let group = GroupSettings::new(SERVICE, "layouts-1").connections(20, 1);
    let site = Site::start(SiteSettings::new(&zones(3), vec![group])).await?;
    site.open_workspace("abnt", SERVICE).await?;
    for count in [500, 1_000, 2_000] {
        let before = resident_bytes();
        let mut open = Vec::new();
        for number in 0..count {
            open.push(raw_session(&site, number % 3).await?);
        }
        let resident = (resident_bytes() - before).max(0.0) / count as f64;
        let idle = idle_us_per_second().await;
        let figures = vec![
            ("resident a connection", resident),
            ("idle us/s in all", idle),
        ];
        report.row(format!("{count} idle caller connections"), figures);
        drop(open);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    Ok(())
}

/// Opens a session over a plain socket, so that the caller's side of it takes little memory.
async fn raw_session(site: &Site, host: usize) -> Result<tokio::net::TcpStream, SiteError> {
    let mut stream = tokio::net::TcpStream::connect(site.caller_address(host)).await?;
    let mut startup = Vec::from(196_608_i32.to_be_bytes());
    for word in ["user", "abnt", "database", SERVICE, ""] {
        startup.extend_from_slice(word.as_bytes());
        startup.push(0);
    }
    let length = i32::try_from(startup.len() + 4).unwrap_or(0);
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&startup).await?;
    let mut password_request = [0; 9];
    stream.read_exact(&mut password_request).await?;
    stream.write_all(b"p\0\0\0\x0dabnt-key\0").await?;
    let mut answer = [0; 64];
    let _ = stream.read(&mut answer).await?;
    Ok(stream)
}

async fn statements(report: &mut Report) -> Result<(), SiteError> {
    let group = GroupSettings::new(SERVICE, "layouts-1").connections(60, 1);
    let site = Site::start(SiteSettings::new(&zones(3), vec![group])).await?;
    site.open_workspace("abnt", SERVICE).await?;
    connect(&site, 0, "abnt")
        .await?
        .batch_execute(TABLE)
        .await?;
    for callers in [3, 12, 48] {
        let before = processor_us();
        let rounds = 6_000 / callers;
        let work = (0..callers).map(|number| reads(&site, number, rounds));
        let (times, took_ms) = timed(futures_util::future::try_join_all(work)).await;
        let mut times: Vec<f64> = times?.into_iter().flatten().collect();
        let count = times.len() as f64;
        let figures = vec![
            ("us a read, all parts", (processor_us() - before) / count),
            ("reads/s", count * 1_000.0 / took_ms),
            ("p50 ms", quantile(&mut times, 0.5)),
        ];
        report.row(format!("{callers} callers that read"), figures);
    }
    let client = connect(&site, 1, "abnt").await?;
    let before = processor_us();
    for number in 0..500 {
        save(&client, &format!("slope-{number}")).await?;
    }
    let figures = vec![("us a save, all parts", (processor_us() - before) / 500.0)];
    report.row("1 caller that saves", figures);
    Ok(())
}

async fn reads(site: &Site, number: usize, rounds: usize) -> Result<Vec<f64>, SiteError> {
    let client = connect(site, number % 3, "abnt").await?;
    let mut times = Vec::new();
    for _ in 0..rounds {
        let (outcome, took_ms) = timed(read(&client)).await;
        outcome?;
        times.push(took_ms);
    }
    Ok(times)
}
