//! Stand-ins for the scripts of the second review: a group of three database members, the platform's
//! promotion call, the operator and clients, on the platform's protocol. Standard library only.
//!
//! The members follow the users' pages: a commit gets the next number, a replica receives it over the
//! network, and with `syncReplicas` 1 it is acknowledged once one replica has received it. A member that
//! is to be replaced says that it is `draining` a second after its successor has started; it goes on
//! receiving, counting and serving until it ends, `drainMs` and three seconds later. The new member copies the log
//! from the primary. Lines `KILL IP`, `TERM IP` and `START IP` on standard output tell the script what to do
//! with the host of that address.

use std::{
    collections::{BTreeMap, HashSet},
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::exit,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const SERVICE: &str = "ledger-db";
const KEY: &str = "u6wsjnbanfqasnmgkcuy";
const PROMOTE_MS: u64 = 600;
const DRAIN_MS: u64 = 7_000;
/// Members that may start in a run, the first three at its beginning.
const MEMBERS: usize = 10;
const HEARTBEAT_MS: u64 = 1_200;
const MAX_CONNS: usize = 34;
/// Time that a member without a log takes to copy that of the primary.
const COPY_MS: u64 = 200;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Clone, PartialEq)]
struct Entry {
    term: u64,
    id: String,
    item: String,
    data: String,
}

struct Member {
    id: String,
    zone: String,
    addr: String,
    primary: bool,
    term: u64,
    log: Vec<Entry>,
    /// Term that it is paused for; 0 when it is not.
    held: u64,
    up: bool,
    /// It has said that it leaves.
    draining: bool,
    /// Until then it copies the primary's log and has none of its own.
    copying_until: Option<Instant>,
    born: u64,
    seq: u64,
    /// Counts the processes under this id; connections of an earlier one are closed.
    boot: u64,
    conns: usize,
}

impl Member {
    fn position(&self) -> String {
        match self.log.last() {
            Some(last) => format!("{}.{}", last.term, self.log.len()),
            None => "-".into(),
        }
    }
}

struct World {
    start: Instant,
    members: Mutex<Vec<Member>>,
    record: Mutex<File>,
    controls: Vec<String>,
    /// Ids of writes that a client was told to be kept, in the order of the answers.
    acked: Mutex<Vec<String>>,
    lost: AtomicU64,
    promotions: AtomicU64,
    /// Calls to the platform, and the holder that made the last one.
    calls: AtomicU64,
    holder: Mutex<String>,
    stop: AtomicBool,
    next: AtomicU64,
}

type Shared = Arc<World>;

impl World {
    fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:9.3} {text}");
    }

    fn all(&self) -> MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap()
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// -------------------------------------------------------------------------------------------------
// Members

/// Passes commits on from each primary to the replicas that can receive them.
fn replicate(members: &mut [Member]) {
    let now = Instant::now();
    for p in 0..members.len() {
        if !members[p].primary || !members[p].up {
            continue;
        }
        let (term, log) = (members[p].term, members[p].log.clone());
        for (r, member) in members.iter_mut().enumerate() {
            let follows = r != p && member.up && !member.primary;
            if !follows || member.held > 0 || member.term > term {
                continue;
            }
            if let Some(until) = member.copying_until {
                if now < until {
                    continue;
                }
                member.copying_until = None;
            }
            member.term = term;
            if member.log.len() != log.len() || member.log.last() != log.last() {
                member.log = log.clone();
            }
        }
    }
}

fn serve_member(world: Shared, index: usize, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        let up = world.all()[index].up;
        if !up || world.stopped() {
            continue;
        }
        let world = Arc::clone(&world);
        spawn(move || {
            let _ = serve_connection(&world, index, stream);
        });
    }
}

fn serve_connection(world: &Shared, index: usize, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(20)))?;
    let boot = {
        let mut members = world.all();
        members[index].conns += 1;
        members[index].boot
    };
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut out = stream.try_clone()?;
    let mut line = Vec::new();
    let mut open = false;
    let mut pending: Vec<(String, String, String)> = Vec::new();
    let mut shapes: BTreeMap<String, String> = BTreeMap::new();
    let result = loop {
        {
            let members = world.all();
            if members[index].boot != boot || !members[index].up || world.stopped() {
                break Ok(());
            }
        }
        match reader.read_until(b'\n', &mut line) {
            Ok(0) => break Ok(()),
            Ok(_) if line.ends_with(b"\r\n") => {}
            Ok(_) => continue,
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => continue,
            Err(error) => break Err(error),
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_string();
        line.clear();
        let Some(answer) = answer(world, index, boot, &text, &mut open, &mut pending, &mut shapes) else {
            break Ok(());
        };
        let alive = {
            let members = world.all();
            members[index].boot == boot && members[index].up
        };
        if !alive {
            break Ok(());
        }
        out.write_all(answer.as_bytes())?;
        if answer.starts_with("ERR MISROUTED") || answer.starts_with("ERR TOOMANY") {
            break Ok(());
        }
    };
    let mut members = world.all();
    members[index].conns = members[index].conns.saturating_sub(1);
    drop(members);
    let _ = stream.shutdown(Shutdown::Both);
    result
}

/// The answer to one line; `None` if the connection ends without one.
fn answer(
    world: &Shared,
    index: usize,
    boot: u64,
    text: &str,
    open: &mut bool,
    pending: &mut Vec<(String, String, String)>,
    shapes: &mut BTreeMap<String, String>,
) -> Option<String> {
    let words: Vec<&str> = text.split(' ').collect();
    match words.as_slice() {
        ["START", service, _, rest @ ..] => {
            let members = world.all();
            let member = &members[index];
            if *service != SERVICE || rest.first().is_some_and(|id| *id != member.id) {
                return Some(format!("ERR MISROUTED {}\r\n", member.id));
            }
            if member.conns > MAX_CONNS {
                return Some(format!("ERR TOOMANY {}\r\n", member.id));
            }
            let position = member.position();
            drop(members);
            sleep(ms(5));
            Some(format!("READY I {position}\r\n"))
        }
        ["QUERY", id, rest @ ..] => {
            let mut rest = rest.to_vec();
            if rest.first() == Some(&"AFTER") {
                let members = world.all();
                let member = &members[index];
                let wanted = rest.get(1).and_then(|at| at.split_once('.'));
                let wanted = wanted.map(|(t, n)| (t.parse().unwrap_or(0), n.parse().unwrap_or(0)));
                let held = (member.log.last().map_or(0, |last| last.term), member.log.len());
                if held < wanted.unwrap_or((0, 0)) {
                    let status = if *open { "T" } else { "I" };
                    return Some(format!("ERR LAGGING {}\r\nREADY {status} {}\r\n", member.id, member.position()));
                }
                rest.drain(..2);
            }
            run(world, index, boot, id, &rest, open, pending, shapes)
        }
        _ => None,
    }
}

#[allow(clippy::too_many_arguments)]
fn run(
    world: &Shared,
    index: usize,
    boot: u64,
    id: &str,
    words: &[&str],
    open: &mut bool,
    pending: &mut Vec<(String, String, String)>,
    shapes: &mut BTreeMap<String, String>,
) -> Option<String> {
    let status = |open: bool| if open { "T" } else { "I" };
    let digest = || format!("{}.{}", index, world.next.fetch_add(1, Ordering::Relaxed));
    let mut words = words.to_vec();
    if let ["EXEC", name, ..] = words.as_slice() {
        let members = world.all();
        let Some(kind) = shapes.get(*name) else {
            return Some(format!("ERR NOSTMT {name}\r\nREADY {} {}\r\n", status(*open), members[index].position()));
        };
        words[0] = if kind == "WRITE" { "WRITE" } else { "READ" };
        words.remove(1);
    }
    match words.as_slice() {
        ["STATUS"] | ["PAUSE", _] | ["RESUME"] | ["STEPDOWN", _] => {
            let term: u64 = words.get(1).and_then(|term| term.parse().ok()).unwrap_or(0);
            let mut members = world.all();
            let member = &mut members[index];
            match words[0] {
                "PAUSE" if !member.primary && term > member.term => member.held = term,
                "RESUME" => member.held = 0,
                "STEPDOWN" if member.primary && member.term < term => member.primary = false,
                _ => {}
            }
            let role = if member.primary { "primary" } else { "replica" };
            let row = format!("{role} {} {} {} 0 0 {}", member.term, member.position(), member.held, member.conns);
            let text = format!("ROW {row}\r\nDONE -\r\nREADY {} {}\r\n", status(*open), member.position());
            let name = member.id.clone();
            drop(members);
            if words[0] != "STATUS" {
                world.note(&format!("member {name} carries out {}: {row}", words.join(" ")));
            }
            Some(text)
        }
        ["BEGIN", ..] => {
            let members = world.all();
            if words.len() == 1 && !members[index].primary {
                return Some(format!("ERR READONLY {}\r\nREADY I {}\r\n", members[index].id, members[index].position()));
            }
            *open = true;
            Some(format!("DONE -\r\nREADY T {}\r\n", members[index].position()))
        }
        ["ROLLBACK"] => {
            *open = false;
            pending.clear();
            Some(format!("DONE -\r\nREADY I {}\r\n", world.all()[index].position()))
        }
        ["READ", item] => {
            sleep(ms(2));
            let members = world.all();
            let member = &members[index];
            let value = member.log.iter().rev().find(|entry| entry.item == *item);
            let value = value.map_or("none", |entry| &entry.data);
            Some(format!("ROW {value}\r\nDONE {}\r\nREADY {} {}\r\n", digest(), status(*open), member.position()))
        }
        ["WRITE", item, data @ ..] => {
            sleep(ms(2));
            let members = world.all();
            let member = &members[index];
            if !member.primary {
                return Some(format!("ERR READONLY {}\r\nREADY {} {}\r\n", member.id, status(*open), member.position()));
            }
            let position = member.position();
            drop(members);
            pending.push((id.into(), (*item).into(), data.join(" ")));
            if *open {
                return Some(format!("DONE {}\r\nREADY T {position}\r\n", digest()));
            }
            commit(world, index, boot, pending)?;
            Some(format!("DONE {}\r\nREADY I {}\r\n", digest(), world.all()[index].position()))
        }
        ["COMMIT"] => {
            *open = false;
            if !pending.is_empty() {
                let members = world.all();
                if !members[index].primary {
                    pending.clear();
                    return Some(format!("ERR READONLY {}\r\nREADY I {}\r\n", members[index].id, members[index].position()));
                }
                drop(members);
                commit(world, index, boot, pending)?;
            }
            Some(format!("DONE {}\r\nREADY I {}\r\n", digest(), world.all()[index].position()))
        }
        _ => {
            match words.as_slice() {
                ["PREPARE", name, kind, ..] => {
                    shapes.insert((*name).into(), (*kind).into());
                }
                ["RESET"] => shapes.clear(),
                _ => {}
            }
            Some(format!("DONE -\r\nREADY {} {}\r\n", status(*open), world.all()[index].position()))
        }
    }
}

/// Commits at the primary and waits until one replica has received the commit; `None` if that does not
/// happen before the process ends.
fn commit(world: &Shared, index: usize, boot: u64, pending: &mut Vec<(String, String, String)>) -> Option<()> {
    let (term, length, names) = {
        let mut members = world.all();
        let member = &mut members[index];
        let term = member.term;
        let names: Vec<String> = pending.iter().map(|(id, ..)| id.clone()).collect();
        let entries = pending.drain(..);
        member.log.extend(entries.map(|(id, item, data)| Entry { term, id, item, data }));
        let length = member.log.len();
        replicate(&mut members);
        (term, length, names)
    };
    loop {
        {
            let members = world.all();
            let member = &members[index];
            if member.boot != boot || !member.up || !member.primary || member.term != term || world.stopped() {
                return None;
            }
            let own = member.log[length - 1].clone();
            let holder = members.iter().enumerate().find(|(other, replica)| {
                *other != index && replica.up && !replica.primary && replica.log.get(length - 1) == Some(&own)
            });
            if let Some((_, holder)) = holder {
                let text = format!("commit {term}.{length} {} at {}, received by {}", names.join(","), members[index].id, holder.id);
                drop(members);
                world.note(&text);
                return Some(());
            }
        }
        sleep(ms(2));
        replicate(&mut world.all());
    }
}

fn announce(world: Shared, index: usize) {
    let mut at = 0;
    while !world.stopped() {
        let (up, id, body) = {
            let mut members = world.all();
            let member = &mut members[index];
            member.seq += 1;
            let role = if member.primary { "primary" } else { "replica" };
            let body = format!(
                "{{\"backend\":\"{SERVICE}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\"state\":\"{}\",\"coldRemainingMs\":0,\"dbRole\":\"{role}\",\"seq\":{},\"born\":{}}}",
                member.addr,
                member.zone,
                if member.draining { "draining" } else { "ready" },
                member.seq,
                member.born
            );
            (member.up, member.id.clone(), body)
        };
        if !up {
            sleep(ms(20));
            continue;
        }
        let boot = world.all()[index].boot;
        let mut answered = false;
        for _ in 0..world.controls.len() {
            let (code, _) = http(&world.controls[at % world.controls.len()], "PUT", &format!("/instances/{id}"), &body);
            if (200..300).contains(&code) {
                answered = true;
                break;
            }
            at += 1;
        }
        let until = Instant::now() + ms(if answered { HEARTBEAT_MS } else { 300 });
        let (role, draining) = {
            let members = world.all();
            (members[index].primary, members[index].draining)
        };
        // A change of the role, and a new start, is reported at once.
        while Instant::now() < until && !world.stopped() {
            let members = world.all();
            if members[index].boot != boot || members[index].primary != role || members[index].draining != draining {
                break;
            }
            drop(members);
            sleep(ms(10));
        }
    }
}

fn http(address: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let call = || -> std::io::Result<String> {
        let address: SocketAddr = address.parse().map_err(|_| std::io::ErrorKind::InvalidInput)?;
        let mut stream = TcpStream::connect_timeout(&address, ms(500))?;
        stream.set_read_timeout(Some(ms(1_000)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = call().unwrap_or_default();
    let code = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.into());
    (code, body)
}

// -------------------------------------------------------------------------------------------------
// Platform

fn platform(world: Shared, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        let world = Arc::clone(&world);
        spawn(move || {
            let _ = promote(&world, stream);
        });
    }
}

fn promote(world: &Shared, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_read_timeout(Some(ms(1_000)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let (mut length, mut token, mut holder) = (0, String::new(), String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let lower = line.trim().to_lowercase();
        if lower.is_empty() {
            break;
        }
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        if let Some(value) = lower.strip_prefix("fencing-token:") {
            token = value.trim().into();
        }
        if let Some(value) = lower.strip_prefix("duty-holder:") {
            holder = value.trim().into();
        }
    }
    *world.holder.lock().unwrap() = holder.clone();
    world.calls.fetch_add(1, Ordering::Relaxed);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).to_string();
    let members = world.all();
    let found = members.iter().position(|member| body.contains(&format!("\"{}\"", member.id)));
    let running = found.filter(|index| members[*index].up);
    let newest = members.iter().map(|member| member.term).max().unwrap_or(0);
    let present = running.is_some_and(|index| members[index].primary && members[index].term == newest);
    drop(members);
    world.note(&format!("the platform is asked to promote: {body} by {holder} token {token}"));
    let status = if running.is_some() { "200 OK" } else { "409 Conflict" };
    write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
    if let (Some(index), false) = (running, present) {
        let world = Arc::clone(world);
        spawn(move || {
            sleep(ms(PROMOTE_MS));
            take_lead(&world, index);
        });
    }
    Ok(())
}

/// The member leads the next term with what it has received, and nothing more.
fn take_lead(world: &Shared, index: usize) {
    let acked = world.acked.lock().unwrap().clone();
    let mut members = world.all();
    let newest = members.iter().map(|member| member.term).max().unwrap_or(0);
    if !members[index].up || (members[index].primary && members[index].term == newest) {
        return;
    }
    members[index].primary = true;
    members[index].term = newest + 1;
    members[index].held = 0;
    members[index].copying_until = None;
    world.promotions.fetch_add(1, Ordering::Relaxed);
    let held: HashSet<&str> = members[index].log.iter().map(|entry| entry.id.as_str()).collect();
    let lost: Vec<&String> = acked.iter().filter(|id| !held.contains(id.as_str())).collect();
    world.note(&format!(
        "member {} is promoted to term {}, its log ends at {}; acknowledged so far: {}, not in its log: {}",
        members[index].id,
        newest + 1,
        members[index].log.len(),
        acked.len(),
        lost.len()
    ));
    for id in &lost {
        world.note(&format!("LOST: {id} was acknowledged and is not in the log of the promoted member"));
    }
    world.lost.fetch_add(lost.len() as u64, Ordering::Relaxed);
    drop(members);
    // The old primary continues until a second after it can reach the new one.
    let world = Arc::clone(world);
    spawn(move || {
        sleep(ms(1_000));
        let mut members = world.all();
        if members[index].primary && members[index].up {
            let term = members[index].term;
            for member in members.iter_mut().filter(|member| member.primary && member.up && member.term < term) {
                member.primary = false;
            }
        }
    });
}

// -------------------------------------------------------------------------------------------------
// Clients

fn client(world: Shared, number: usize, fronts: Vec<String>) {
    let mut at = number;
    let mut count = 0;
    while !world.stopped() {
        at += 1;
        let Ok(address) = fronts[at % fronts.len()].parse::<SocketAddr>() else { return };
        let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(500)) else {
            sleep(ms(100));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(2_000)));
        let Ok(copy) = stream.try_clone() else { continue };
        let mut reader = BufReader::new(copy);
        let mut line = String::new();
        if write!(stream, "START orders {KEY}\r\n").is_err() || reader.read_line(&mut line).is_err() || !line.starts_with("READY") {
            sleep(ms(100));
            continue;
        }
        for _ in 0..40 {
            if world.stopped() {
                return;
            }
            count += 1;
            let id = format!("c{number}n{count}");
            if write!(stream, "QUERY {id} WRITE item{number} value{count}\r\n").is_err() {
                break;
            }
            let mut outcome = String::new();
            let mut ended = false;
            while !ended {
                line.clear();
                match reader.read_line(&mut line) {
                    Ok(0) | Err(_) => break,
                    Ok(_) if line.starts_with("READY") => ended = true,
                    Ok(_) => outcome = line.trim().into(),
                }
            }
            if ended && outcome.starts_with("DONE") {
                world.acked.lock().unwrap().push(id.clone());
            }
            world.note(&format!("client {number}: WRITE {id} -> {}", if ended { &outcome } else { "no answer" }));
            if !ended {
                break;
            }
            sleep(ms(if outcome.starts_with("DONE") { 60 } else { 200 }));
        }
        let _ = write!(stream, "BYE\r\n");
    }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-orders\",\"host\":\"orders\",\"pathPrefix\":\"/\",\"kind\":\"primary\",\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":1,\"backend\":\"{SERVICE}\",\"maxAttempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":{MAX_CONNS},\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"syncReplicas\":1}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}},\"tenants\":[{{\"name\":\"nypu920\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":400,\"burst\":400}}]}}"
    )
}

// -------------------------------------------------------------------------------------------------
// The course of a run

fn wait_for_acks(world: &Shared, more: usize, limit_ms: u64) -> bool {
    let before = world.acked.lock().unwrap().len();
    let until = Instant::now() + ms(limit_ms);
    while Instant::now() < until {
        if world.acked.lock().unwrap().len() >= before + more {
            return true;
        }
        sleep(ms(20));
    }
    false
}

/// Replaces a member: its successor starts first, then it drains and ends.
fn release(world: &Shared, old: usize) {
    let mut members = world.all();
    let Some(new) = members.iter().position(|member| member.boot == 0) else { return };
    let zone = members[old].zone.clone();
    let successor = &mut members[new];
    successor.zone = zone;
    successor.boot = 1;
    successor.born = unix_ms();
    successor.copying_until = Some(Instant::now() + ms(COPY_MS));
    successor.up = true;
    let text = format!("member {} is to be replaced by {}, which starts without a log", members[old].id, members[new].id);
    drop(members);
    world.note(&text);
    let world = Arc::clone(world);
    spawn(move || {
        sleep(ms(1_000));
        let id = {
            let mut members = world.all();
            members[old].draining = true;
            members[old].id.clone()
        };
        world.note(&format!("member {id} says that it leaves"));
        sleep(ms(DRAIN_MS + 3_000));
        for address in &world.controls {
            let (code, _) = http(address, "DELETE", &format!("/instances/{id}"), "");
            if (200..300).contains(&code) {
                break;
            }
        }
        let mut members = world.all();
        members[old].up = false;
        members[old].primary = false;
        members[old].boot += 1;
        let text = format!("member {id} ends, its log ends at {}", members[old].position());
        drop(members);
        world.note(&text);
    });
}

fn primary(world: &Shared) -> Option<usize> {
    let members = world.all();
    let leading = members.iter().enumerate().filter(|(_, member)| member.primary && member.up);
    leading.max_by_key(|(_, member)| member.term).map(|(index, _)| index)
}

/// A member that serves and has not been asked to leave, and is no successor of this round.
fn stays(world: &Shared, chosen: &mut Vec<usize>, newest: usize) -> Option<usize> {
    let members = world.all();
    let found = (0..newest).find(|index| members[*index].up && !members[*index].draining && !chosen.contains(index))?;
    chosen.push(found);
    Some(found)
}

fn command(world: &Shared, text: &str) {
    println!("{text}");
    let _ = std::io::stdout().flush();
    world.note(&format!("the script is told: {text}"));
}

fn main() {
    // stand-in TROUBLE RECORD BASE CONTROL_PORT FRONT_PORT PLATFORM_PORT MEMBER_PORT FRONTS
    let words: Vec<String> = std::env::args().collect();
    let trouble = words[1] != "0";
    let base = words[3].clone();
    let fronts: usize = words[8].parse().unwrap();
    let zones = ["abbasiya", "heliopolis", "maadi"];
    let member = |index: usize| Member {
        id: format!("i-{index:02}"),
        zone: zones[index % 3].into(),
        addr: format!("{base}.{}:{}", 101 + index, words[7]),
        primary: index == 0,
        term: u64::from(index < 3),
        log: Vec::new(),
        held: 0,
        up: index < 3,
        draining: false,
        copying_until: None,
        born: unix_ms(),
        seq: 0,
        boot: u64::from(index < 3),
        conns: 0,
    };
    let world = Arc::new(World {
        start: Instant::now(),
        members: Mutex::new((0..MEMBERS).map(member).collect()),
        record: Mutex::new(File::create(&words[2]).expect("record")),
        controls: (0..3).map(|index| format!("{base}.{}:{}", 11 + index, words[4])).collect(),
        acked: Mutex::default(),
        lost: AtomicU64::new(0),
        promotions: AtomicU64::new(0),
        calls: AtomicU64::new(0),
        holder: Mutex::default(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(1),
    });
    for index in 0..MEMBERS {
        let address = world.all()[index].addr.clone();
        let Ok(listener) = TcpListener::bind(&address) else {
            eprintln!("cannot listen on {address}");
            exit(2);
        };
        let (one, other) = (Arc::clone(&world), Arc::clone(&world));
        spawn(move || serve_member(one, index, listener));
        spawn(move || announce(other, index));
    }
    let address = format!("{base}.100:{}", words[6]);
    let Ok(listener) = TcpListener::bind(&address) else {
        eprintln!("cannot listen on {address}");
        exit(2);
    };
    let one = Arc::clone(&world);
    spawn(move || platform(one, listener));
    let one = Arc::clone(&world);
    spawn(move || {
        while !one.stopped() {
            replicate(&mut one.all());
            sleep(ms(5));
        }
    });
    // The operator sends the first desired state until it is accepted.
    let until = Instant::now() + ms(20_000);
    let mut at = 0;
    loop {
        let (code, _) = http(&world.controls[at % 3], "PUT", "/config", &config());
        if (200..300).contains(&code) {
            world.note("the operator's desired state is confirmed");
            break;
        }
        if Instant::now() > until {
            eprintln!("no desired state was accepted");
            exit(2);
        }
        at += 1;
        sleep(ms(200));
    }
    let addresses: Vec<String> = (0..fronts).map(|index| format!("{base}.{}:{}", 21 + index, words[5])).collect();
    for number in 0..6 {
        let (world, addresses) = (Arc::clone(&world), addresses.clone());
        spawn(move || client(world, number, addresses));
    }
    if !wait_for_acks(&world, 50, 20_000) {
        eprintln!("nothing is served");
        exit(2);
    }
    sleep(ms(3_000));
    let zero = Instant::now();
    let wait_until = |at_ms: u64| sleep((zero + ms(at_ms)).saturating_duration_since(Instant::now()));
    // The primary is replaced, and its successor after it.
    if let Some(first) = primary(&world) {
        release(&world, first);
    }
    let until = Instant::now() + ms(6_000);
    while world.calls.load(Ordering::Relaxed) == 0 && Instant::now() < until {
        sleep(ms(5));
    }
    if trouble {
        sleep(ms(300));
        let leader = world.holder.lock().unwrap().clone();
        let world = Arc::clone(&world);
        spawn(move || {
            command(&world, &format!("KILL {leader}"));
            sleep(ms(3_500));
            command(&world, &format!("START {leader}"));
        });
    }
    wait_until(2_600);
    if let Some(second) = primary(&world) {
        release(&world, second);
    }
    // The entry hosts are restarted in turn.
    let (one, hosts) = (Arc::clone(&world), base.clone());
    spawn(move || {
        sleep((zero + ms(9_000)).saturating_duration_since(Instant::now()));
        for index in 0..fronts {
            let (world, host) = (Arc::clone(&one), format!("{hosts}.{}", 21 + index));
            spawn(move || {
                command(&world, &format!("TERM {host}"));
                sleep(ms(6_200));
                command(&world, &format!("START {host}"));
            });
            sleep(ms(2_000));
        }
    });
    // The replicas are replaced, one after the other.
    wait_until(15_000);
    let newest = world.all().iter().filter(|member| member.boot > 0).count();
    let mut chosen = Vec::new();
    while let Some(old) = stays(&world, &mut chosen, newest) {
        release(&world, old);
        sleep(ms(1_000));
    }
    wait_until(31_000);
    if trouble {
        for index in 0..3 {
            command(&world, &format!("KILL {base}.{}", 11 + index));
        }
        sleep(ms(500));
        for index in 0..3 {
            command(&world, &format!("START {base}.{}", 11 + index));
        }
    }
    wait_until(58_000);
    let served = wait_for_acks(&world, 1, 3_000);
    world.stop.store(true, Ordering::Relaxed);
    let acked = world.acked.lock().unwrap().len();
    let lost = world.lost.load(Ordering::Relaxed);
    let promotions = world.promotions.load(Ordering::Relaxed);
    let text = format!("end: {acked} writes acknowledged, {promotions} promotions, {lost} acknowledged writes not in the log of a promoted member, served at the end: {served}");
    world.note(&text);
    println!("{text}");
    // Without a promotion or a service the case has shown nothing.
    exit(if lost > 0 { 1 } else if promotions >= 2 { 0 } else { 2 });
}
