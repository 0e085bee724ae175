//! Stand-ins for the cases of the third review that are scripts: three database members, the operator, the
//! platform and callers, on loopback addresses and the real clock. It starts the project's daemon as
//! separate processes, plays one scenario, writes `record.txt`, and ends all processes that it started.
//!
//! usage: stand-in SCENARIO FOLDER, in the root of the repository
//!
//! Exit status: 0 the rule held, 1 the rule was broken, 2 the case could not run.

use std::{
    collections::HashMap,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SERVICE: &str = "ledger1";
const READ_ROUTE: &str = "proofs1";
const WRITE_ROUTE: &str = "orders1";
const KEY: &str = "u6wsjnbanfqasnmgkcuy";
const TENANT: &str = "nypu920";

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// What happened, with times since the start.
struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{at:>7} ms  {}", text.as_ref()));
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

// -------------------------------------------------------------------------------------------------
// Members

/// One run of a caller's statement at a member.
struct Run {
    at_ms: u64,
    id: String,
    /// Number of the last commit in the member's log.
    number: u64,
    /// Whether it is a statement of its own or the first of a transaction.
    begins: bool,
}

struct MemberState {
    up: bool,
    primary: bool,
    term: u64,
    held: u64,
    /// What the member's clock is ahead of the true time, in milliseconds.
    clock_ahead_ms: i64,
    born: u64,
    seq: u64,
    draining: bool,
    streams: Vec<TcpStream>,
}

struct Member {
    id: String,
    zone: &'static str,
    address: SocketAddrV4,
    state: Mutex<MemberState>,
    /// Term and number of the last commit in its log; 0 and 0 if it is empty.
    log: Mutex<(u64, u64)>,
    runs: Mutex<Vec<Run>>,
    /// When a check-in that says `draining` was first acknowledged.
    drain_acked_ms: AtomicU64,
    /// When the deletion was acknowledged.
    gone_acked_ms: AtomicU64,
    /// Rows of an answer to a read, and bytes of each.
    answer: (AtomicUsize, AtomicUsize),
    /// Time that a read takes, in milliseconds.
    work_ms: AtomicU64,
}

/// The database. A commit reaches all members at once that run and are not paused, with what they lack.
struct Database {
    record: Arc<Record>,
    members: Vec<Arc<Member>>,
    committing: Mutex<()>,
}

impl Database {
    /// Adds a commit at the primary; returns once a replica has it, and `false` if none takes it.
    fn commit(&self, primary: &Member) -> bool {
        let _one_at_a_time = self.committing.lock().unwrap();
        let before = *primary.log.lock().unwrap();
        let next = (primary.state.lock().unwrap().term, before.1 + 1);
        let mut copies = 0;
        for member in &self.members {
            let takes = {
                let state = member.state.lock().unwrap();
                state.up && state.held == 0
            };
            if takes {
                *member.log.lock().unwrap() = next;
                copies += 1;
            }
        }
        copies > 1
    }

    /// Makes a member the primary of the next term. The others take over its log.
    fn promote(&self, id: &str) {
        let _nothing_is_committed = self.committing.lock().unwrap();
        let Some(chosen) = self.members.iter().find(|member| member.id == id) else {
            return;
        };
        let newest = self.members.iter().map(|member| member.state.lock().unwrap().term).max();
        let term = newest.unwrap_or(0) + 1;
        let log = *chosen.log.lock().unwrap();
        for member in &self.members {
            let mut state = member.state.lock().unwrap();
            if !state.up {
                continue;
            }
            state.primary = member.id == id;
            state.term = term;
            state.held = if state.primary { 0 } else { state.held };
            *member.log.lock().unwrap() = log;
        }
        self.record.note(format!("{id} is primary in term {term}, log {log:?}"));
    }
}

impl Member {
    fn boot(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = true;
        state.held = 0;
        state.seq = 0;
        state.draining = false;
        state.born = wall_ms().saturating_add_signed(state.clock_ahead_ms);
    }

    /// Loses the log and the role, as a member that starts again with nothing.
    fn forget(&self) {
        let mut state = self.state.lock().unwrap();
        state.primary = false;
        state.term = 0;
        *self.log.lock().unwrap() = (0, 0);
    }

    fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_member(database: Arc<Database>, index: usize) {
    let listener = TcpListener::bind(database.members[index].address).expect("member address");
    for stream in listener.incoming().flatten() {
        let database = Arc::clone(&database);
        thread::spawn(move || {
            let _ = serve_connection(&database, index, stream);
        });
    }
}

fn serve_connection(database: &Database, index: usize, stream: TcpStream) -> std::io::Result<()> {
    let member = &database.members[index];
    {
        let mut state = member.state.lock().unwrap();
        if !state.up {
            return Ok(());
        }
        state.streams.push(stream.try_clone()?);
    }
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    let position = || match *member.log.lock().unwrap() {
        (_, 0) => "-".to_owned(),
        (term, number) => format!("{term}.{number}"),
    };
    let mut line = String::new();
    input.read_line(&mut line)?;
    let words: Vec<&str> = line.trim_end().split(' ').collect();
    let expected = words.get(3).copied().unwrap_or(&member.id);
    if words.first() != Some(&"START") || words.get(1) != Some(&SERVICE) || expected != member.id {
        return output.write_all(b"ERR MISROUTED another member\r\n");
    }
    output.write_all(format!("READY I {}\r\n", position()).as_bytes())?;
    let mut status = 'I';
    let mut first = false;
    let mut writes = 0;
    let mut shapes: HashMap<String, bool> = HashMap::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let text = line.trim_end();
        let Some(rest) = text.strip_prefix("QUERY ") else {
            return Ok(());
        };
        let (id, mut statement) = rest.split_once(' ').unwrap_or((rest, ""));
        let mut answer = Vec::new();
        let mut lagging = false;
        if let Some(after) = statement.strip_prefix("AFTER ") {
            let (wanted, rest) = after.split_once(' ').unwrap_or((after, ""));
            statement = rest;
            let (term, number) = wanted.split_once('.').unwrap_or(("1", "0"));
            let wanted = (term.parse::<u64>().unwrap_or(1), number.parse::<u64>().unwrap_or(0));
            lagging = wanted > *member.log.lock().unwrap();
        }
        let words: Vec<&str> = statement.split(' ').collect();
        let (primary, row) = {
            let mut state = member.state.lock().unwrap();
            match words.as_slice() {
                ["PAUSE", term] => state.held = term.parse().unwrap_or(0),
                ["RESUME"] => state.held = 0,
                ["STEPDOWN", term] if term.parse::<u64>().unwrap_or(0) > state.term => {
                    state.primary = false;
                }
                _ => {}
            }
            let role = if state.primary { "primary" } else { "replica" };
            (state.primary, format!("{role} {} {} {} 0 0 1", state.term, position(), state.held))
        };
        let runs = |begins: bool| {
            let at_ms = database.record.now_ms();
            let number = member.log.lock().unwrap().1;
            member.runs.lock().unwrap().push(Run { at_ms, id: id.into(), number, begins });
        };
        let (is_write, is_read) = match words.as_slice() {
            ["WRITE", ..] => (true, false),
            ["READ", ..] => (false, true),
            ["EXEC", name, ..] => {
                let writes = shapes.get(*name).copied();
                (writes == Some(true), writes == Some(false))
            }
            _ => (false, false),
        };
        let done = |answer: &mut Vec<u8>| answer.extend_from_slice(b"DONE -\r\n");
        match words.as_slice() {
            _ if lagging => answer.extend_from_slice(b"ERR LAGGING not here yet\r\n"),
            ["STATUS" | "PAUSE" | "RESUME" | "STEPDOWN", ..] => {
                answer.extend_from_slice(format!("ROW {row}\r\n").as_bytes());
                done(&mut answer);
            }
            ["BEGIN"] if !primary => answer.extend_from_slice(format!("ERR READONLY {}\r\n", member.id).as_bytes()),
            ["BEGIN", ..] => {
                (status, first, writes) = ('T', true, 0);
                done(&mut answer);
            }
            ["ROLLBACK"] => {
                status = 'I';
                done(&mut answer);
            }
            ["COMMIT"] => {
                runs(false);
                status = 'I';
                if writes > 0 && !database.commit(member) {
                    return Ok(());
                }
                answer.extend_from_slice(format!("DONE c.{id}\r\n").as_bytes());
            }
            ["PREPARE", name, kind, ..] => {
                shapes.insert((*name).into(), *kind == "WRITE");
                done(&mut answer);
            }
            ["RESET"] => {
                shapes.clear();
                done(&mut answer);
            }
            ["SET" | "DEALLOC", ..] => done(&mut answer),
            _ if is_write && !primary => {
                answer.extend_from_slice(format!("ERR READONLY {}\r\n", member.id).as_bytes());
                status = if status == 'I' { 'I' } else { 'E' };
            }
            _ if is_write => {
                runs(status == 'I' || first);
                first = false;
                match status {
                    'I' if database.commit(member) => {}
                    'I' => return Ok(()),
                    _ => writes += 1,
                }
                answer.extend_from_slice(format!("DONE w.{id}\r\n").as_bytes());
            }
            _ if is_read => {
                runs(status == 'I' || first);
                first = false;
                sleep(Duration::from_millis(member.work_ms.load(Ordering::Relaxed)));
                let rows = member.answer.0.load(Ordering::Relaxed);
                let row = "x".repeat(member.answer.1.load(Ordering::Relaxed));
                for _ in 0..rows {
                    answer.extend_from_slice(b"ROW ");
                    answer.extend_from_slice(row.as_bytes());
                    answer.extend_from_slice(b"\r\n");
                }
                answer.extend_from_slice(format!("DONE r.{id}\r\n").as_bytes());
            }
            ["EXEC", ..] => answer.extend_from_slice(b"ERR NOSTMT no such name\r\n"),
            _ => answer.extend_from_slice(b"ERR MALFORMED what\r\n"),
        }
        answer.extend_from_slice(format!("READY {status} {}\r\n", position()).as_bytes());
        output.write_all(&answer)?;
    }
}

/// Sends a member's check-ins for as long as it runs.
fn check_in(site: &Site, index: usize) {
    let member = &site.database.members[index];
    loop {
        let body = {
            let mut state = member.state.lock().unwrap();
            if !state.up {
                drop(state);
                sleep(Duration::from_millis(20));
                continue;
            }
            state.seq += 1;
            let phase = if state.draining { "draining" } else { "ready" };
            let role = if state.primary { "primary" } else { "replica" };
            format!(
                r#"{{"backend":"{SERVICE}","addr":"{}","zone":"{}","version":"v1","slots":3,"state":"{phase}","coldRemainingMs":0,"dbRole":"{role}","seq":{},"born":{}}}"#,
                member.address, member.zone, state.seq, state.born
            )
        };
        let path = format!("/instances/{}", member.id);
        let (status, at) = site.call_control("PUT", &path, &body);
        site.record.note(format!("check-in of {} {body} -> {status}", member.id));
        if (200..300).contains(&status) && body.contains("draining") {
            let _ = member.drain_acked_ms.compare_exchange(0, at, Ordering::AcqRel, Ordering::Acquire);
        }
        let draining = body.contains("draining");
        for _ in 0..60 {
            sleep(HEARTBEAT / 60);
            let state = member.state.lock().unwrap();
            if !state.up || state.draining != draining {
                break;
            }
        }
    }
}

// -------------------------------------------------------------------------------------------------
// The site

struct Host {
    ip: Ipv4Addr,
    zone: &'static str,
    control: bool,
    file: PathBuf,
    child: Mutex<Option<Child>>,
}

struct Site {
    record: Arc<Record>,
    database: Arc<Database>,
    hosts: Vec<Host>,
    folder: PathBuf,
    /// Ports: peers, operators, control or front, ready.
    port: u16,
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &self.hosts {
            if let Some(mut child) = host.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn http(address: SocketAddrV4, method: &str, path: &str, body: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let limit = Duration::from_secs(1);
        let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), limit)?;
        stream.set_read_timeout(Some(limit))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(String::from_utf8_lossy(&head[9..12]).parse().unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

impl Site {
    fn new(record: Arc<Record>) -> Option<Arc<Self>> {
        let folder = std::env::temp_dir().join(format!("hemlockcrank-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let ip = |last: u8| Ipv4Addr::new(127, 0, 43, last);
        let ips: Vec<u8> = vec![1, 2, 3, 11, 12, 21, 22, 23, 99];
        let first = 20_000 + (std::process::id() % 2_000) as u16 * 10;
        let free = |port: u16| ips.iter().all(|last| TcpListener::bind((ip(*last), port)).is_ok());
        let port = (first..first + 4_000).step_by(10).find(|port| (0..5).all(|add| free(port + add)))?;
        let member = |last: u8, zone: &'static str, primary: bool| {
            Arc::new(Member {
                id: format!("i-43{last}"),
                zone,
                address: SocketAddrV4::new(ip(last), port),
                state: Mutex::new(MemberState {
                    up: false,
                    primary,
                    term: 1,
                    held: 0,
                    clock_ahead_ms: 0,
                    born: 0,
                    seq: 0,
                    draining: false,
                    streams: Vec::new(),
                }),
                log: Mutex::new((1, 1)),
                runs: Mutex::default(),
                drain_acked_ms: AtomicU64::new(0),
                gone_acked_ms: AtomicU64::new(0),
                answer: (AtomicUsize::new(1), AtomicUsize::new(12)),
                work_ms: AtomicU64::new(0),
            })
        };
        let members = vec![member(21, "abbasiya", true), member(22, "heliopolis", false), member(23, "maadi", false)];
        let database = Arc::new(Database { record: Arc::clone(&record), members, committing: Mutex::default() });
        let host = |last: u8, zone: &'static str, control: bool| Host {
            ip: ip(last),
            zone,
            control,
            file: folder.join(format!("{last}.json")),
            child: Mutex::new(None),
        };
        let hosts = vec![
            host(1, "abbasiya", true),
            host(2, "heliopolis", true),
            host(3, "maadi", true),
            host(11, "maadi", false),
            host(12, "maadi", false),
        ];
        Some(Arc::new(Self { record, database, hosts, folder, port }))
    }

    /// Writes a host's settings as the platform renders them from the template.
    fn write_settings(&self, host: &Host, bootstrap: bool) {
        let Host { ip, zone, .. } = host;
        let (peer, operator, service, ready) = (self.port, self.port + 1, self.port + 2, self.port + 3);
        let seeds: Vec<String> = self.hosts.iter().filter(|h| h.control).map(|h| format!("\"{}:{service}\"", h.ip)).collect();
        let data = self.folder.join(format!("data-{ip}"));
        let (listen, data, platform) = match host.control {
            true => (String::new(), format!("\"data_dir\": \"{}\",", data.display()), format!("\"control\": \"{ip}:{service}\",")),
            false => (format!("\"caller\": \"{ip}:{service}\","), String::new(), format!("\"ready\": \"{ip}:{ready}\",")),
        };
        let text = format!(
            r#"{{
  "host": "{ip}", "zone": "{zone}",
  "listen": {{ {listen} "peer": "{ip}:{peer}", "operator": "{ip}:{operator}" }},
  {data}
  "seeds": [{}], "found_from_seeds": {bootstrap}, "disk_losses": 1,
  "platform": {{ {platform} "promotions": "127.0.43.99:{peer}" }},
  "secrets": {{ "peer": "one-secret-for-all-hosts", "operator": "operators-of-the-site", "platform": "members-of-the-site", "key_digest": "digest-of-callers-keys" }},
  "upstream": {{ "user": "hemlockcrank", "password": "not-used-here" }},
  "limits": {{ "message_bytes": 1048576, "callers": 3000, "drain_ms": 4600, "transaction_drain_ms": 3000, "zone_drain_ms": 2500 }},
  "log": "json"
}}"#,
            seeds.join(", ")
        );
        fs::write(&host.file, text).expect("settings");
    }

    fn start_host(&self, host: &Host, bootstrap: bool) {
        self.write_settings(host, bootstrap);
        let log = fs::File::options().append(true).create(true).open(host.file.with_extension("log")).expect("log");
        let child = Command::new("target/release/hemlockcrank")
            .arg("--settings")
            .arg(&host.file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon, built as the deploy file says");
        self.record.note(format!("process {} of host {} starts", child.id(), host.ip));
        *host.child.lock().unwrap() = Some(child);
    }

    fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.hosts.iter().filter(|host| host.control).map(|host| SocketAddrV4::new(host.ip, self.port + 2)).collect()
    }

    fn fronts(&self) -> Vec<&Host> {
        self.hosts.iter().filter(|host| !host.control).collect()
    }

    /// Calls one control host after the other until one gives a clear answer; returns the last status and
    /// when it came.
    fn call_control(&self, method: &str, path: &str, body: &str) -> (u16, u64) {
        let mut status = 0;
        for address in self.control_addresses() {
            status = http(address, method, path, body);
            if status != 0 && status < 500 {
                break;
            }
        }
        (status, self.record.now_ms())
    }

    /// Starts members and hosts, and gives the first desired state. Returns whether the site is ready.
    fn start(self: &Arc<Self>) -> bool {
        let site = Arc::clone(self);
        thread::spawn(move || serve_platform(&site));
        for index in 0..self.database.members.len() {
            let database = Arc::clone(&self.database);
            thread::spawn(move || serve_member(database, index));
        }
        for host in &self.hosts {
            self.start_host(host, true);
        }
        let config = self.config(3);
        let until = Instant::now() + Duration::from_secs(25);
        loop {
            let (status, _) = self.call_control("PUT", "/config", &config);
            self.record.note(format!("PUT /config version 3 -> {status}"));
            if status == 200 {
                break;
            }
            if Instant::now() > until {
                return false;
            }
            sleep(Duration::from_millis(200));
        }
        for member in &self.database.members {
            member.boot();
        }
        for index in 0..self.database.members.len() {
            let site = Arc::clone(self);
            thread::spawn(move || check_in(&site, index));
        }
        while !self.fronts().iter().all(|host| self.is_ready(host)) {
            if Instant::now() > until {
                return false;
            }
            sleep(Duration::from_millis(100));
        }
        self.record.note("both entry hosts are ready");
        true
    }

    /// A whole desired state.
    fn config(&self, version: u64) -> String {
        format!(
            r#"{{"version":{version},"routes":[{{"name":"r-1","host":"{READ_ROUTE}","pathPrefix":"/","kind":"bounded","timeoutMs":2000,"targetLatencyMs":500,"priority":2,"backend":"{SERVICE}","maxAttempts":2,"maxStalenessMs":1500,"public":false}},{{"name":"r-2","host":"{WRITE_ROUTE}","pathPrefix":"/","kind":"primary","timeoutMs":800,"targetLatencyMs":150,"priority":1,"backend":"{SERVICE}","maxAttempts":2,"public":false}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":34,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"syncReplicas":1}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}},"tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":1,"ratePerS":2000,"burst":2000}}]}}"#
        )
    }

    /// The desired state that a control host answers with.
    fn read_back(&self) -> String {
        let read = |address: SocketAddrV4| -> std::io::Result<String> {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(b"GET /config HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        let mut answers = self.control_addresses().into_iter().filter_map(|address| read(address).ok());
        let text = answers.find(|text| text.starts_with("HTTP/1.1 200")).unwrap_or_default();
        text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.into())
    }

    fn is_ready(&self, host: &Host) -> bool {
        http(SocketAddrV4::new(host.ip, self.port + 3), "GET", "/ready", "") == 200
    }
}

/// The platform: `POST /promote` takes effect 600 ms after its answer.
fn serve_platform(site: &Site) {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 43, 99), site.port)).expect("platform address");
    for mut stream in listener.incoming().flatten() {
        let mut text = String::new();
        let mut buffer = [0; 4_096];
        while !text.ends_with('}') {
            match stream.read(&mut buffer) {
                Ok(length) if length > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..length])),
                _ => break,
            }
        }
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
        let named = |member: &&Arc<Member>| body.contains(&format!("\"{}\"", member.id));
        let member = site.database.members.iter().find(named);
        let runs = member.is_some_and(|member| member.state.lock().unwrap().up);
        let status = if runs { "200 OK" } else { "409 Conflict" };
        site.record.note(format!("POST /promote {body} -> {status}"));
        let _ = stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").as_bytes());
        if let Some(member) = member.filter(|_| runs) {
            let (database, id) = (Arc::clone(&site.database), member.id.clone());
            thread::spawn(move || {
                sleep(Duration::from_millis(600));
                let already = database.members.iter().any(|member| member.id == id && member.state.lock().unwrap().primary);
                if !already {
                    database.promote(&id);
                }
            });
        }
    }
}

// -------------------------------------------------------------------------------------------------
// Callers

/// How a caller's statement ended.
#[derive(Debug, PartialEq)]
enum End {
    Done,
    Refused(String),
    Cut,
}

struct Caller {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

impl Caller {
    fn open(address: SocketAddrV4, database: &str) -> Option<Self> {
        let limit = Duration::from_secs(2);
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(address), limit).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        let mut caller = Self { input: BufReader::new(stream.try_clone().ok()?), output: stream };
        caller.output.write_all(format!("START {database} {KEY}\r\n").as_bytes()).ok()?;
        let mut line = String::new();
        caller.input.read_line(&mut line).ok()?;
        line.starts_with("READY").then_some(caller)
    }

    fn run(&mut self, id: &str, statement: &str) -> End {
        if self.output.write_all(format!("QUERY {id} {statement}\r\n").as_bytes()).is_err() {
            return End::Cut;
        }
        let mut end = None;
        let mut line = Vec::new();
        loop {
            line.clear();
            match self.input.read_until(b'\n', &mut line) {
                Ok(length) if length > 0 => {}
                _ => return End::Cut,
            }
            if line.starts_with(b"DONE") {
                end = Some(End::Done);
            } else if line.starts_with(b"ERR") {
                end = Some(End::Refused(String::from_utf8_lossy(&line).trim_end().into()));
            } else if line.starts_with(b"READY") {
                return end.unwrap_or(End::Cut);
            }
        }
    }
}

/// Sends statements over and over through one entry host until `stop`.
fn call_over_and_over(site: &Site, front: Ipv4Addr, name: &str, database: &str, statement: &str, pause: Duration, stop: &AtomicBool, cut: &AtomicUsize, done: &AtomicUsize) {
    let address = SocketAddrV4::new(front, site.port + 2);
    let mut caller = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        sleep(pause);
        let Some(open) = caller.as_mut() else {
            caller = Caller::open(address, database);
            continue;
        };
        number += 1;
        let id = format!("{name}x{number}");
        let sent_at = site.record.now_ms();
        let end = Caller::run(open, &id, statement);
        site.record.note(format!("{id} {statement} through {front}, sent at {sent_at} ms -> {end:?}"));
        match end {
            End::Cut => {
                cut.fetch_add(1, Ordering::Relaxed);
                caller = None;
            }
            End::Done => {
                done.fetch_add(1, Ordering::Relaxed);
            }
            End::Refused(_) => {}
        }
    }
}

struct Crowd {
    stop: Arc<AtomicBool>,
    cut: Arc<AtomicUsize>,
    done: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Crowd {
    /// `readers` and one writer at each entry host.
    fn start(site: &Arc<Site>, readers: usize, pause: Duration) -> Self {
        Self::start_at(site, readers, true, pause, READ_ROUTE)
    }

    /// Readers of this route at each entry host, and one writer if `writes`.
    fn start_at(site: &Arc<Site>, readers: usize, writes: bool, pause: Duration, route: &'static str) -> Self {
        let mut crowd = Self { stop: Arc::default(), cut: Arc::default(), done: Arc::default(), threads: Vec::new() };
        for front in site.fronts() {
            for number in usize::from(!writes)..=readers {
                let (site, ip) = (Arc::clone(site), front.ip);
                let (stop, cut, done) = (Arc::clone(&crowd.stop), Arc::clone(&crowd.cut), Arc::clone(&crowd.done));
                let name = format!("{:02x}{number:02x}", ip.octets()[3]);
                crowd.threads.push(thread::spawn(move || match number {
                    0 => call_over_and_over(&site, ip, &name, WRITE_ROUTE, "WRITE 1a4 xkqpwnzd", Duration::from_millis(50), &stop, &cut, &done),
                    _ => call_over_and_over(&site, ip, &name, route, "READ 1a4", pause, &stop, &cut, &done),
                }));
            }
        }
        crowd
    }

    fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        (self.cut.load(Ordering::Relaxed), self.done.load(Ordering::Relaxed))
    }
}

// -------------------------------------------------------------------------------------------------
// Scenarios

/// A replica starts while its clock is ahead, crashes, and starts again with the true time. Later it says
/// that it leaves.
fn restart_with_an_earlier_clock(site: &Arc<Site>, trouble: bool) -> Option<bool> {
    const DRAIN_MS: u64 = 7_000;
    let leaving = Arc::clone(&site.database.members[2]);
    leaving.state.lock().unwrap().clock_ahead_ms = if trouble { 2_400 } else { 0 };
    for member in &site.database.members {
        member.work_ms.store(30, Ordering::Relaxed);
    }
    if !site.start() {
        return None;
    }
    let crowd = Crowd::start(site, 10, Duration::from_millis(10));
    sleep(Duration::from_millis(600));
    site.record.note(format!("{} crashes; its clock is right again", leaving.id));
    leaving.crash();
    leaving.state.lock().unwrap().clock_ahead_ms = 0;
    sleep(Duration::from_millis(300));
    leaving.boot();
    let born = leaving.state.lock().unwrap().born;
    site.record.note(format!("{} runs again, born {born}", leaving.id));
    sleep(Duration::from_secs(6));
    let served = leaving.runs.lock().unwrap().len();
    site.record.note(format!("{} has run {served} statements; it begins to leave", leaving.id));
    leaving.state.lock().unwrap().draining = true;
    let until = Instant::now() + Duration::from_secs(5);
    while leaving.drain_acked_ms.load(Ordering::Acquire) == 0 {
        if Instant::now() > until {
            return None;
        }
        sleep(Duration::from_millis(10));
    }
    let acked = leaving.drain_acked_ms.load(Ordering::Acquire);
    site.record.note(format!("{} is acknowledged as draining, at {acked} ms", leaving.id));
    sleep(Duration::from_millis(DRAIN_MS + 4_000));
    let (cut, done) = crowd.stop();
    let (status, at) = site.call_control("DELETE", &format!("/instances/{}", leaving.id), "");
    leaving.gone_acked_ms.store(at, Ordering::Release);
    site.record.note(format!("DELETE of {} -> {status}", leaving.id));
    leaving.crash();
    let runs = leaving.runs.lock().unwrap();
    let late: Vec<&Run> = runs.iter().filter(|run| run.begins && run.at_ms > acked + DRAIN_MS).collect();
    for run in runs.iter() {
        site.record.note(format!("{} ran {} at {} ms", leaving.id, run.id, run.at_ms));
    }
    site.record.note(format!("{done} answered with success, {cut} cut; {} statements reached {} later than drainMs after the acknowledgement", late.len(), leaving.id));
    if done == 0 || served == 0 {
        return None;
    }
    Some(late.is_empty())
}

/// The primary starts again under its id and holds nothing of before, while no caller sends anything.
fn empty_primary(site: &Arc<Site>, trouble: bool) -> Option<bool> {
    if !site.start() {
        return None;
    }
    let primary = Arc::clone(&site.database.members[0]);
    let crowd = Crowd::start_at(site, 3, true, Duration::from_millis(20), WRITE_ROUTE);
    sleep(Duration::from_secs(5));
    let (_, served) = crowd.stop();
    let acknowledged = primary.log.lock().unwrap().1;
    site.record.note(format!("{served} answered with success; the callers rest, {acknowledged} commits are acknowledged"));
    sleep(Duration::from_millis(500));
    let restarted_at = site.record.now_ms();
    if trouble {
        site.record.note(format!("{} crashes", primary.id));
        primary.crash();
        primary.forget();
        sleep(Duration::from_millis(300));
        primary.boot();
        site.record.note(format!("{} runs again, as a replica without a log", primary.id));
    }
    sleep(Duration::from_secs(2));
    site.record.note("callers read again");
    let crowd = Crowd::start_at(site, 3, false, Duration::from_millis(100), WRITE_ROUTE);
    sleep(Duration::from_secs(8));
    site.record.note("callers write again, too");
    let writing = Crowd::start_at(site, 0, true, Duration::from_millis(100), WRITE_ROUTE);
    sleep(Duration::from_secs(8));
    let (_, done) = crowd.stop();
    let (_, written) = writing.stop();
    let runs = primary.runs.lock().unwrap();
    let stale: Vec<&Run> = runs.iter().filter(|run| run.at_ms > restarted_at && run.number < acknowledged).collect();
    for run in &stale {
        site.record.note(format!("{} ran {} at {} ms; its log ends at {}, {acknowledged} were acknowledged before the read", primary.id, run.id, run.at_ms, run.number));
    }
    let last = stale.iter().map(|run| run.at_ms).max().unwrap_or(0);
    site.record.note(format!("{done} reads and {written} writes answered with success after the rest; {} reads of a primary route ran on a log that lacks acknowledged commits, the last at {last} ms", stale.len()));
    if served == 0 || done == 0 {
        return None;
    }
    Some(stale.is_empty())
}

/// The operator sends a desired state of which a part is missing.
fn partial_desired_state(site: &Arc<Site>, trouble: bool) -> Option<bool> {
    if !site.start() {
        return None;
    }
    let crowd = Crowd::start(site, 4, Duration::from_millis(30));
    sleep(Duration::from_secs(4));
    let served = crowd.done.load(Ordering::Relaxed);
    let whole = site.config(5);
    let body = match trouble {
        true => format!("{}{}", whole.split("\"routes\":").next()?, &whole[whole.find("\"services\":")?..]),
        false => whole,
    };
    let (status, _) = site.call_control("PUT", "/config", &body);
    site.record.note(format!("PUT /config {body} -> {status}"));
    sleep(Duration::from_secs(4));
    let before = crowd.done.load(Ordering::Relaxed);
    sleep(Duration::from_secs(4));
    let after = crowd.done.load(Ordering::Relaxed);
    let read_back = site.read_back();
    site.record.note(format!("GET /config -> {read_back}"));
    crowd.stop();
    site.record.note(format!("answered with success: {served} before the call, {} in the 4 s that end 8 s after it", after - before));
    if served == 0 {
        return None;
    }
    let acknowledged = (200..300).contains(&status);
    Some(match trouble {
        // What is invalid is acknowledged, or is in force.
        true => !acknowledged && after > before && read_back.contains("\"version\":3,"),
        false => acknowledged && after > before && read_back.contains("\"version\":5,"),
    })
}

/// Callers read many rows at once. A process that uses more than `memoryMb` is killed and started again.
fn large_answers(site: &Arc<Site>, trouble: bool) -> Option<bool> {
    const MEMORY_MB: u64 = 260;
    const KILLS: usize = 3;
    if !site.start() {
        return None;
    }
    if trouble {
        for member in &site.database.members {
            member.answer.0.store(24_000, Ordering::Relaxed);
            member.answer.1.store(1_000, Ordering::Relaxed);
        }
    }
    let crowd = Crowd::start(site, 12, Duration::from_millis(100));
    let mut kills: HashMap<Ipv4Addr, usize> = HashMap::new();
    let mut peaks: HashMap<Ipv4Addr, u64> = HashMap::new();
    let until = Instant::now() + Duration::from_secs(80);
    while Instant::now() < until {
        for host in site.fronts() {
            let pid = host.child.lock().unwrap().as_ref().map_or(0, Child::id);
            let resident = resident_mb(pid);
            let peak = peaks.entry(host.ip).or_default();
            *peak = resident.max(*peak);
            if resident > MEMORY_MB {
                if let Some(mut child) = host.child.lock().unwrap().take() {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                *kills.entry(host.ip).or_default() += 1;
                site.record.note(format!("process {pid} of host {} uses {resident} MB; the platform kills it", host.ip));
                sleep(Duration::from_millis(300));
                site.start_host(host, false);
            }
        }
        if kills.len() == site.fronts().len() && kills.values().all(|count| *count >= KILLS) {
            break;
        }
        sleep(Duration::from_millis(5));
    }
    let (cut, done) = crowd.stop();
    site.record.note(format!("{done} answered with success, {cut} cut; peaks in MB {peaks:?}; killed {kills:?}"));
    if done == 0 && !trouble {
        return None;
    }
    Some(kills.values().filter(|count| **count >= KILLS).count() < 2)
}

/// Resident memory of a process, in MB.
fn resident_mb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (scenario, folder) = (arguments.get(1).cloned().unwrap_or_default(), arguments.get(2).cloned().unwrap_or(".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record { start: Instant::now(), lines: Mutex::default() });
    record.note(format!("scenario {scenario}, trouble {trouble}"));
    let site = Site::new(Arc::clone(&record));
    let outcome = match (&site, &*scenario) {
        (Some(site), "restart") => restart_with_an_earlier_clock(site, trouble),
        (Some(site), "empty") => empty_primary(site, trouble),
        (Some(site), "partial") => partial_desired_state(site, trouble),
        (Some(site), "answers") => large_answers(site, trouble),
        _ => None,
    };
    if let Some(site) = &site {
        for host in &site.hosts {
            if let Some(mut child) = host.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&site.folder);
        }
    }
    let (text, status) = match outcome {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.note(text);
    let lines = record.lines.lock().unwrap().join("\n") + "\n";
    let _ = fs::write(Path::new(&folder).join("record.txt"), lines);
    println!("{scenario}: {text}");
    std::process::exit(status);
}
