//! Small stand-ins for the review: members of a database, the platform's promotion call, requesters and
//! an operator, on loopback addresses, with threads and the standard library alone. They start the
//! project's daemon with the command of the deploy file.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

// -------------------------------------------------------------------------------------------------
// Record

/// What was sent, answered and run, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record file");
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0)
    }

    pub fn log(&self, text: &str) {
        let line = format!("{:>8} {text}\n", self.now());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// -------------------------------------------------------------------------------------------------
// Members

/// A commit in a member's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    /// Request id of the write or the `COMMIT`.
    pub id: String,
    pub writes: Vec<(String, String)>,
}

/// A promotion that has taken effect, with what the new primary had received.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub at: u64,
    pub member: String,
    pub term: u64,
    pub log: Vec<String>,
}

/// One member of the database.
#[derive(Clone, Default)]
pub struct Member {
    pub zone: String,
    pub primary: bool,
    pub term: u64,
    pub held: u64,
    /// Log: what this member has received.
    pub log: Vec<Entry>,
    /// Whether the member receives nothing; what is sent to it meanwhile arrives afterwards.
    pub deaf: bool,
    /// Entries on their way to this member, with the time of their arrival.
    incoming: Vec<(Instant, Entry)>,
    pub busy: usize,
    pub connections: usize,
}

impl Member {
    fn position(&self) -> (u64, u64) {
        (
            self.log.last().map_or(1, |entry| entry.term),
            self.log.len() as u64,
        )
    }

    /// Receives the entries that have arrived by now.
    fn receive(&mut self) {
        let now = Instant::now();
        if self.deaf {
            return;
        }
        while self.incoming.first().is_some_and(|(due, _)| *due <= now) {
            self.log.push(self.incoming.remove(0).1);
        }
    }

    /// Takes over the log of a new primary: rolls back what that one lacks, and receives the rest.
    fn follow(&mut self, log: &[Entry]) {
        let common = self
            .log
            .iter()
            .zip(log)
            .take_while(|(own, other)| own == other)
            .count();
        self.log.truncate(common);
        if !self.deaf {
            self.log.extend_from_slice(&log[common..]);
        }
    }

    fn value(&self, item: &str) -> Option<String> {
        let mut writes = self
            .log
            .iter()
            .rev()
            .flat_map(|entry| entry.writes.iter().rev());
        writes
            .find(|write| write.0 == item)
            .map(|write| write.1.clone())
    }

    fn position_text(&self) -> String {
        let (term, number) = self.position();
        format!("{term}.{number}")
    }
}

/// A statement of a requester that reached a member.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub member: String,
    pub zone: String,
    pub id: String,
    pub text: String,
    /// Time at which the member had sent its answer.
    pub answered: Option<u64>,
    /// Address of the sending host.
    pub from: String,
    /// Shape that a prepared statement had at the member.
    pub shape: Option<String>,
}

/// A database of three members, and all that was run on it.
pub struct Group {
    pub service: String,
    pub slots: usize,
    pub max_connections: usize,
    /// Time that a read, write or commit takes, in milliseconds.
    pub work_ms: u64,
    /// Time after which the platform answers a promotion call, and after which it takes effect, in
    /// milliseconds.
    pub promote_answer_ms: AtomicU64,
    pub promote_effect_ms: u64,
    pub members: Mutex<BTreeMap<String, Member>>,
    pub runs: Mutex<Vec<Run>>,
    pub promotions: Mutex<Vec<Promotion>>,
    /// Time at which each commit was acknowledged by its member, by request id.
    pub commits: Mutex<BTreeMap<String, u64>>,
    pub record: Arc<Record>,
}

/// Time after which a replica has received a commit over the network.
const RECEIVE_MS: u64 = 1;

impl Group {
    /// Starts a member in each zone, the first one as primary; returns their names and addresses.
    pub fn start(self: &Arc<Self>, ip: &str, zones: &[&str]) -> Vec<(String, SocketAddr)> {
        let mut addresses = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let name = format!("i-{index}");
            let member = Member {
                zone: (*zone).into(),
                primary: index == 0,
                term: 1,
                ..Member::default()
            };
            self.members
                .lock()
                .expect("members")
                .insert(name.clone(), member);
            let listener = TcpListener::bind((ip, 0)).expect("port of a member");
            addresses.push((name.clone(), listener.local_addr().expect("address")));
            let group = Arc::clone(self);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (group, name) = (Arc::clone(&group), name.clone());
                    thread::spawn(move || {
                        let count = |change: isize| {
                            group.with(&name, |member| {
                                member.connections = member.connections.wrapping_add_signed(change);
                                member.connections
                            })
                        };
                        let full = count(1) > group.max_connections;
                        group.serve(&name, stream, full);
                        count(-1);
                    });
                }
            });
        }
        addresses
    }

    pub fn with<F, T>(&self, name: &str, operation: F) -> T
    where
        F: FnOnce(&mut Member) -> T,
    {
        let mut members = self.members.lock().expect("members");
        let member = members.get_mut(name).expect("member");
        member.receive();
        operation(member)
    }

    fn serve(&self, name: &str, stream: TcpStream, full: bool) {
        let _ = stream.set_nodelay(true);
        let from = stream
            .peer_addr()
            .map_or_else(|_| "-".into(), |peer| peer.ip().to_string());
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut started = false;
        let mut open: Option<Vec<(String, String)>> = None;
        let mut prepared: BTreeMap<String, (String, String)> = BTreeMap::new();
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let text = line.trim_end_matches(['\r', '\n']).to_owned();
            if !started {
                let words: Vec<&str> = text.split(' ').collect();
                let answer = match words.as_slice() {
                    _ if full => format!("ERR TOOMANY {name}\r\n"),
                    ["START", service, _, rest @ ..]
                        if *service == self.service
                            && rest.first().is_none_or(|id| *id == name) =>
                    {
                        started = true;
                        sleep_ms(12);
                        format!(
                            "READY I {}\r\n",
                            self.with(name, |member| member.position_text())
                        )
                    }
                    _ => format!("ERR MISROUTED {name}\r\n"),
                };
                if writer.write_all(answer.as_bytes()).is_err() || !started {
                    return;
                }
                continue;
            }
            let Some(rest) = text.strip_prefix("QUERY ") else {
                return;
            };
            let Some((id, statement)) = rest.split_once(' ') else {
                return;
            };
            let index = (id != "-").then(|| {
                let zone = self.with(name, |member| member.zone.clone());
                self.record.log(&format!(
                    "member {name} ({zone}) from {from} gets {id} {statement}"
                ));
                let mut runs = self.runs.lock().expect("runs");
                runs.push(Run {
                    at: self.record.now(),
                    member: name.into(),
                    zone,
                    id: id.into(),
                    text: statement.into(),
                    answered: None,
                    from: from.clone(),
                    shape: None,
                });
                runs.len() - 1
            });
            let words: Vec<&str> = statement.splitn(4, ' ').collect();
            let mut rewritten = None;
            match words.as_slice() {
                ["PREPARE", own_name, kind, shape] => {
                    prepared.insert((*own_name).into(), ((*kind).into(), (*shape).into()));
                }
                ["RESET"] => prepared.clear(),
                ["DEALLOC", own_name] => {
                    prepared.remove(*own_name);
                }
                _ => {}
            }
            let (after, plain) = match words.as_slice() {
                ["AFTER", position, ..] => {
                    let after = format!("AFTER {position} ");
                    (after.clone(), statement[after.len()..].to_owned())
                }
                _ => (String::new(), statement.to_owned()),
            };
            if let Some(rest) = plain.strip_prefix("EXEC ") {
                let (own_name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                rewritten = prepared.get(own_name).map(|(kind, shape)| {
                    if let Some(index) = index {
                        self.runs.lock().expect("runs")[index].shape = Some(shape.clone());
                    }
                    format!("{after}{kind} {arguments}")
                });
                if rewritten.is_none() {
                    rewritten = Some("NOSTMT".into());
                }
            }
            let statement = rewritten.as_deref().unwrap_or(statement);
            let answer = self.run(name, id, statement, &mut open);
            if writer.write_all(answer.as_bytes()).is_err() {
                if index.is_some() {
                    self.record
                        .log(&format!("member {name} cannot send the answer to {id}"));
                }
                return;
            }
            if let Some(index) = index {
                let mut runs = self.runs.lock().expect("runs");
                runs[index].answered = Some(self.record.now());
                drop(runs);
                let first = answer.lines().last().unwrap_or_default().to_owned();
                self.record
                    .log(&format!("member {name} answered {id}: {first}"));
            }
        }
    }

    fn run(
        &self,
        name: &str,
        id: &str,
        statement: &str,
        open: &mut Option<Vec<(String, String)>>,
    ) -> String {
        let words: Vec<&str> = statement.split(' ').collect();
        let position = self.with(name, |member| member.position_text());
        let state = |open: bool| if open { "T" } else { "I" };
        let done = |digest: &str, open: bool, position: &str| {
            format!("DONE {digest}\r\nREADY {} {position}\r\n", state(open))
        };
        let refused = |code: &str, open: bool| {
            format!("ERR {code} {name}\r\nREADY {} {position}\r\n", state(open))
        };
        match words.as_slice() {
            ["AFTER", after, rest @ ..] => {
                let (term, number) = after.split_once('.').unwrap_or(("0", "0"));
                let needed = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
                if self.with(name, |member| member.position()) < needed {
                    return refused("LAGGING", open.is_some());
                }
                self.run(name, id, &rest.join(" "), open)
            }
            ["NOSTMT"] => refused("NOSTMT", open.is_some()),
            ["BEGIN", mode @ ..] => {
                if mode.is_empty() && !self.with(name, |member| member.primary) {
                    return refused("READONLY", false);
                }
                *open = Some(Vec::new());
                done("-", true, &position)
            }
            ["ROLLBACK"] => {
                *open = None;
                done("-", false, &position)
            }
            ["STATUS" | "PAUSE" | "RESUME" | "STEPDOWN", ..] => {
                let term = words.get(1).and_then(|word| word.parse().ok()).unwrap_or(0);
                let row = self.with(name, |member| {
                    match words[0] {
                        "PAUSE" if !member.primary && term > member.term => member.held = term,
                        "RESUME" => member.held = 0,
                        "STEPDOWN" if term > member.term => member.primary = false,
                        _ => {}
                    }
                    let role = if member.primary { "primary" } else { "replica" };
                    format!(
                        "{role} {} {} {} 0 {} {}",
                        member.term,
                        member.position_text(),
                        member.held,
                        member.busy,
                        member.connections
                    )
                });
                format!("ROW {row}\r\n{}", done("-", open.is_some(), &position))
            }
            ["READ", _] | ["WRITE", _, ..] | ["COMMIT"] => {
                let admitted = self.with(name, |member| {
                    let free = member.busy < self.slots;
                    member.busy += usize::from(free);
                    free
                });
                if !admitted {
                    return refused("BUSY", open.is_some());
                }
                sleep_ms(self.work_ms);
                let answer = self.finish(name, id, &words, open);
                self.with(name, |member| member.busy -= 1);
                answer
            }
            _ => done("-", open.is_some(), &position),
        }
    }

    fn finish(
        &self,
        name: &str,
        id: &str,
        words: &[&str],
        open: &mut Option<Vec<(String, String)>>,
    ) -> String {
        let position = || self.with(name, |member| member.position_text());
        let state = |open: bool| if open { "T" } else { "I" };
        match words {
            ["READ", item] => {
                let value = self.with(name, |member| member.value(item));
                let value = value.unwrap_or_else(|| "none".into());
                let state = state(open.is_some());
                format!(
                    "ROW {value}\r\nDONE {name}.{id}\r\nREADY {state} {}\r\n",
                    position()
                )
            }
            ["WRITE", item, data @ ..] => {
                if !self.with(name, |member| member.primary) {
                    let state = if open.is_some() { "E" } else { "I" };
                    return format!("ERR READONLY {name}\r\nREADY {state} {}\r\n", position());
                }
                let write = ((*item).to_owned(), data.join(" "));
                match open {
                    Some(writes) => writes.push(write),
                    None if self.commit(name, id, vec![write]) => {}
                    None => return String::new(),
                }
                let state = state(open.is_some());
                format!("DONE {name}.{id}\r\nREADY {state} {}\r\n", position())
            }
            _ => {
                let writes = open.take().unwrap_or_default();
                if !writes.is_empty() {
                    if !self.with(name, |member| member.primary) {
                        return format!("ERR READONLY {name}\r\nREADY I {}\r\n", position());
                    }
                    if !self.commit(name, id, writes) {
                        return String::new();
                    }
                }
                format!("DONE {name}.{id}\r\nREADY I {}\r\n", position())
            }
        }
    }

    /// Commits writes at the primary and waits until one replica has received the commit, for 2 s at
    /// most. Returns whether one has.
    fn commit(&self, name: &str, id: &str, writes: Vec<(String, String)>) -> bool {
        let entry = {
            let mut members = self.members.lock().expect("members");
            let primary = members.get_mut(name).expect("member");
            let term = primary.term;
            let entry = Entry {
                term,
                id: id.into(),
                writes,
            };
            primary.log.push(entry.clone());
            let due = Instant::now() + Duration::from_millis(RECEIVE_MS);
            for (_, replica) in members.iter_mut().filter(|(other, _)| *other != name) {
                if !replica.primary && replica.held == 0 && replica.term == term {
                    replica.incoming.push((due, entry.clone()));
                }
            }
            entry
        };
        for _ in 0..1_000 {
            sleep_ms(2);
            let mut members = self.members.lock().expect("members");
            let mut received = false;
            for (other, member) in members.iter_mut() {
                member.receive();
                received |= other != name && member.log.contains(&entry);
            }
            if received {
                self.commits
                    .lock()
                    .expect("commits")
                    .insert(id.into(), self.record.now());
                return true;
            }
        }
        false
    }

    /// Makes a member the primary of the next term, with what it has received and nothing more. Replicas
    /// that were ahead are rolled back. The old primary continues until `STEPDOWN`, or until a second after.
    fn promote(self: &Arc<Self>, name: &str) {
        let mut members = self.members.lock().expect("members");
        let newest = members
            .values()
            .map(|member| member.term)
            .max()
            .unwrap_or(0);
        for member in members.values_mut() {
            member.receive();
            member.incoming.clear();
        }
        let member = members[name].clone();
        if member.primary && member.term == newest {
            return;
        }
        let term = newest + 1;
        for (other, follower) in members.iter_mut() {
            let leads = other == name;
            if leads || !follower.primary {
                follower.follow(&member.log);
                follower.term = term;
                follower.held = 0;
                follower.primary = leads;
            }
        }
        let log = member.log.iter().map(|entry| entry.id.clone()).collect();
        let promotion = Promotion {
            at: self.record.now(),
            member: name.into(),
            term,
            log,
        };
        self.record.log(&format!(
            "platform: {name} leads term {term} with {} commits",
            member.log.len()
        ));
        self.promotions.lock().expect("promotions").push(promotion);
        let (group, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            sleep_ms(1_000);
            let mut members = group.members.lock().expect("members");
            let leader = members[&name].clone();
            for member in members
                .values_mut()
                .filter(|member| member.term < leader.term)
            {
                member.primary = false;
                member.held = 0;
                member.term = leader.term;
                member.follow(&leader.log);
            }
        });
    }

    /// Begins or ends a time in which a member receives nothing. At its end the member receives what it
    /// lacks.
    pub fn set_deaf(&self, name: &str, deaf: bool) {
        let mut members = self.members.lock().expect("members");
        for member in members.values_mut() {
            member.receive();
        }
        let primary = members.values().filter(|member| member.primary);
        let primary = primary.max_by_key(|member| member.term).cloned();
        let member = members.get_mut(name).expect("member");
        member.deaf = deaf;
        if let Some(primary) =
            primary.filter(|primary| !deaf && !member.primary && primary.term == member.term)
        {
            member.incoming.clear();
            member.follow(&primary.log);
        }
    }
}

// -------------------------------------------------------------------------------------------------
// HTTP

/// Calls that were given up without an answer and whose connection was left open.
static LEFT_OPEN: Mutex<Vec<TcpStream>> = Mutex::new(Vec::new());

/// Sends one request and returns the status and the body. `None` if no answer came in time; with
/// `leave_open` the connection then stays open, as a late answer may still come, otherwise it is
/// closed.
pub fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit_ms: u64,
    leave_open: bool,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    loop {
        let left = limit
            .saturating_sub(started.elapsed())
            .max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(read) => answer.extend_from_slice(&part[..read]),
            Err(_) => {
                if leave_open {
                    LEFT_OPEN.lock().expect("connections").push(stream);
                }
                return None;
            }
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text
        .split_once("\r\n\r\n")
        .map_or("", |(_, body)| body)
        .to_owned();
    Some((status, body))
}

/// Starts the platform's promotion call; returns its address.
pub fn start_platform(ip: &str, group: &Arc<Group>) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("port of the platform");
    let address = listener.local_addr().expect("address");
    let group = Arc::clone(group);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let group = Arc::clone(&group);
            thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let mut text = String::new();
                let mut part = [0; 4096];
                while !text.contains("\"id\"") {
                    match stream.read(&mut part) {
                        Ok(read) if read > 0 => {
                            text.push_str(&String::from_utf8_lossy(&part[..read]));
                        }
                        _ => return,
                    }
                }
                let id = text
                    .split("\"id\":\"")
                    .nth(1)
                    .and_then(|rest| rest.split('"').next());
                let id = id.unwrap_or_default().to_owned();
                let token = text
                    .split("Fencing-Token: ")
                    .nth(1)
                    .and_then(|rest| rest.lines().next());
                let known = group.members.lock().expect("members").contains_key(&id);
                let status = if known { 200 } else { 409 };
                group
                    .record
                    .log(&format!("platform: promote {id}, token {token:?}"));
                if known {
                    let (group, id) = (Arc::clone(&group), id.clone());
                    thread::spawn(move || {
                        sleep_ms(group.promote_effect_ms);
                        group.promote(&id);
                    });
                }
                sleep_ms(group.promote_answer_ms.load(Ordering::Relaxed));
                group
                    .record
                    .log(&format!("platform: answers {status} to promote {id}"));
                let answer = format!("HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(answer.as_bytes());
            });
        }
    });
    address
}

// -------------------------------------------------------------------------------------------------
// Requesters

/// A requester's session.
pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// Answer to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All lines up to `READY`.
    Lines(String),
    /// The connection ended without a complete answer.
    Cut,
    /// No complete answer in time.
    Silent,
}

impl Session {
    pub fn open(address: SocketAddr, database: &str, key: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        let writer = stream.try_clone().ok()?;
        let mut session = Self {
            reader: BufReader::new(stream),
            writer,
        };
        session
            .writer
            .write_all(format!("START {database} {key}\r\n").as_bytes())
            .ok()?;
        match session.answer(2_000) {
            Answer::Lines(lines) if lines.starts_with("READY") => Some(session),
            _ => None,
        }
    }

    pub fn query(&mut self, id: &str, text: &str, limit_ms: u64) -> Answer {
        let line = format!("QUERY {id} {text}\r\n");
        if self.writer.write_all(line.as_bytes()).is_err() {
            return Answer::Cut;
        }
        self.answer(limit_ms)
    }

    fn answer(&mut self, limit_ms: u64) -> Answer {
        let _ = self
            .writer
            .set_read_timeout(Some(Duration::from_millis(limit_ms)));
        let mut lines = String::new();
        loop {
            let start = lines.len();
            match self.reader.read_line(&mut lines) {
                Ok(0) => return Answer::Cut,
                Ok(_) if !lines.ends_with('\n') => return Answer::Cut,
                Ok(_) if lines[start..].starts_with("READY") => return Answer::Lines(lines),
                Ok(_) => {}
                Err(error) => {
                    let late = matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    );
                    return if late { Answer::Silent } else { Answer::Cut };
                }
            }
        }
    }
}

// -------------------------------------------------------------------------------------------------
// Hosts

/// Longest run of a case, in milliseconds. What it has started is then ended, and it could not run.
const LONGEST_RUN_MS: u64 = 112_000;

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes that a process has ended.
fn forget(pid: u32) {
    STARTED
        .lock()
        .expect("processes")
        .retain(|started| *started != pid);
}

/// Ends the case, and all that it has started, if it runs for too long.
fn watch_over(record: &Arc<Record>) {
    let record = Arc::clone(record);
    thread::spawn(move || {
        sleep_ms(LONGEST_RUN_MS);
        record.log("the case runs for too long");
        for pid in STARTED.lock().expect("processes").iter() {
            let _ = Command::new("kill")
                .stderr(Stdio::null())
                .args(["-KILL", &pid.to_string()])
                .status();
        }
        std::process::exit(NOT_RUN);
    });
}

/// A process of the project.
pub struct Host {
    pub ip: String,
    pub control: SocketAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Host {
    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .stderr(Stdio::null())
            .args([&format!("-{name}"), pid.as_str()])
            .status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            forget(self.child.id());
        }
        ended
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
    }
}

/// A site: three control hosts, entry hosts, a database of three members, the platform.
pub struct Site {
    pub record: Arc<Record>,
    pub group: Arc<Group>,
    pub cores: Vec<Host>,
    pub fronts: Vec<Host>,
    pub folder: PathBuf,
    stop: Arc<AtomicBool>,
}

/// What differs between the sites of the cases.
pub struct Plan<'a> {
    pub zones: [&'a str; 3],
    pub fronts: usize,
    pub slots: usize,
    pub max_connections: usize,
    pub work_ms: u64,
    pub config: &'a str,
    pub service: &'a str,
}

impl Site {
    /// Starts everything and waits until each entry host is ready; once more, with other addresses and
    /// ports, if that takes too long.
    pub fn start(record: &Arc<Record>, plan: &Plan<'_>) -> Option<Self> {
        watch_over(record);
        Self::try_start(record, plan, 64).or_else(|| Self::try_start(record, plan, 128))
    }

    fn try_start(record: &Arc<Record>, plan: &Plan<'_>, net: u64) -> Option<Self> {
        let pid = u64::from(std::process::id());
        let subnet = format!("127.{}.{}", net + pid / 250 % 64, 1 + pid % 250);
        let ip = |number: usize| format!("{subnet}.{number}");
        let port = |ip: &str| {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().expect("address").port()
        };
        let (control, front, ready) = (port(&ip(1)), port(&ip(11)), port(&ip(11)));
        let (peer, operator) = (port(&ip(1)), port(&ip(1)));
        let folder = std::env::temp_dir().join(format!("review-{pid}-{net}"));
        fs::create_dir_all(&folder).ok()?;
        let group = Arc::new(Group {
            service: plan.service.into(),
            slots: plan.slots,
            max_connections: plan.max_connections,
            work_ms: plan.work_ms,
            promote_answer_ms: AtomicU64::new(20),
            promote_effect_ms: 600,
            members: Mutex::default(),
            runs: Mutex::default(),
            promotions: Mutex::default(),
            commits: Mutex::default(),
            record: Arc::clone(record),
        });
        let members = group.start(&ip(200), &plan.zones);
        let promotions = start_platform(&ip(201), &group);
        let seeds: Vec<String> = (1..4).map(|n| format!("\"{}:{control}\"", ip(n))).collect();
        let start = |number: usize, zone: &str, core: bool| -> Option<Host> {
            let ip = ip(number);
            let data = folder.join(format!("disk-{number}"));
            // The template of the deploy file, rendered.
            let caller = format!("\"caller\": \"{ip}:{front}\",");
            let disk = format!("\"data_dir\": \"{}\",", data.display());
            let serves_control = format!("\"control\": \"{ip}:{control}\",");
            let serves_front = format!("\"ready\": \"{ip}:{ready}\",");
            let settings = format!(
                "{{\"host\": \"{ip}\", \"zone\": \"{zone}\", \"listen\": {{{caller}
                \"peer\": \"{ip}:{peer}\", \"operator\": \"{ip}:{operator}\"}}, {disk}
                \"seeds\": [{seeds}], \"found_from_seeds\": true, \"disk_losses\": 1,
                \"platform\": {{{listen} \"promotions\": \"{promotions}\"}},
                \"secrets\": {{\"peer\": \"one-secret-for-all-hosts\",
                \"operator\": \"operators-of-the-site\", \"platform\": \"members-of-the-site\",
                \"key_digest\": \"digest-of-callers-keys\"}},
                \"upstream\": {{\"user\": \"hemlockcrank\", \"password\": \"not-used-here\"}},
                \"limits\": {{\"message_bytes\": 1048576, \"callers\": 3000, \"drain_ms\": 4600}},
                \"log\": \"json\"}}",
                caller = if core { "" } else { &caller },
                disk = if core { &disk } else { "" },
                listen = if core { &serves_control } else { &serves_front },
                seeds = seeds.join(", "),
            );
            let path = folder.join(format!("node-{number}.conf"));
            fs::write(&path, settings).ok()?;
            let log = File::create(folder.join(format!("log-{number}"))).ok()?;
            let child = Command::new("target/release/hemlockcrank")
                .arg("--settings")
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log.try_clone().ok()?)
                .stderr(log)
                .spawn()
                .ok()?;
            STARTED.lock().expect("processes").push(child.id());
            let address = |port: u16| SocketAddr::new(ip.parse().expect("ip"), port);
            Some(Host {
                control: address(control),
                front: address(front),
                ready: address(ready),
                ip: ip.clone(),
                child,
            })
        };
        let mut site = Self {
            record: Arc::clone(record),
            group,
            cores: Vec::new(),
            fronts: Vec::new(),
            folder: folder.clone(),
            stop: Arc::default(),
        };
        for number in 0..3 {
            site.cores
                .push(start(1 + number, plan.zones[number], true)?);
        }
        for number in 0..plan.fronts {
            site.fronts
                .push(start(11 + number, plan.zones[number % 3], false)?);
        }
        let accepted = site.until(8_000, || {
            site.order("PUT", "/config", plan.config, 0).is_some()
        });
        if accepted.is_none() {
            record.log("start: the desired state was not accepted in time");
            return None;
        }
        site.send_heartbeats(members);
        let ready = site.until(8_000, || {
            site.fronts.iter().all(|front| {
                http(front.ready, "GET", "/ready", "", 500, false)
                    .is_some_and(|answer| answer.0 == 200)
            })
        });
        if ready.is_none() {
            record.log("start: the entry hosts were not ready in time");
            return None;
        }
        Some(site)
    }

    /// Waits until `check` returns true; `None` if it does not in time.
    pub fn until<F>(&self, limit_ms: u64, check: F) -> Option<()>
    where
        F: Fn() -> bool,
    {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < end {
            if check() {
                return Some(());
            }
            sleep_ms(100);
        }
        None
    }

    /// Sends an order of the operator to one node after another, from node `first` on, until one
    /// answers with 2xx, for at most 5 s; returns when it was acknowledged, and by which node.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        first: usize,
    ) -> Option<(u64, usize)> {
        let end = self.record.now() + 5_000;
        let mut pause = 50;
        for attempt in first.. {
            let node = attempt % self.cores.len();
            let control = self.cores[node].control;
            let name = &self.cores[node].ip;
            self.record
                .log(&format!("operator sends {method} {path} to {name}"));
            let answer = http(control, method, path, body, 1_000, true);
            let status = answer.map(|answer| answer.0);
            self.record.log(&format!(
                "operator gets {status:?} for {method} {path} from {name}"
            ));
            match status {
                Some(200..=299) => return Some((self.record.now(), node)),
                Some(400 | 409 | 412 | 413 | 422) => return None,
                _ if self.record.now() >= end => return None,
                _ => sleep_ms(pause),
            }
            pause *= 2;
        }
        None
    }

    fn send_heartbeats(&self, members: Vec<(String, SocketAddr)>) {
        let controls: Vec<SocketAddr> = self.cores.iter().map(|core| core.control).collect();
        let (group, stop) = (Arc::clone(&self.group), Arc::clone(&self.stop));
        let born = 1_780_000_000_000_u64;
        for (index, (name, address)) in members.into_iter().enumerate() {
            let (group, stop, controls) = (Arc::clone(&group), Arc::clone(&stop), controls.clone());
            thread::spawn(move || {
                let seq = AtomicU64::new(0);
                let mut node = index;
                while !stop.load(Ordering::Relaxed) {
                    let (zone, primary) =
                        group.with(&name, |member| (member.zone.clone(), member.primary));
                    let role = if primary { "primary" } else { "replica" };
                    let body = format!(
                        "{{\"backend\":\"{}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
                         \"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\
                         \"dbRole\":\"{role}\",\"seq\":{},\"born\":{born}}}",
                        group.service,
                        group.slots,
                        seq.fetch_add(1, Ordering::Relaxed) + 1,
                    );
                    let path = format!("/instances/{name}");
                    for _ in 0..controls.len() {
                        let control = controls[node % controls.len()];
                        let answer = http(control, "PUT", &path, &body, 1_000, false);
                        if answer.is_some_and(|answer| answer.0 / 100 == 2) {
                            break;
                        }
                        node += 1;
                    }
                    sleep_ms(1_200);
                }
            });
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for host in self.cores.iter().chain(&self.fronts) {
            host.signal("CONT");
        }
        self.cores.clear();
        self.fronts.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
