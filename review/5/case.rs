//! An order that a frozen control host still holds is carried out after a later order of the operator: the
//! evacuation that was acknowledged last is lost.

#[path = "../standin.rs"]
mod standin;

use std::{
    collections::BTreeSet,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use standin::{Plan, Record, Session, Site, sleep_ms, trouble};

/// Length of the freeze, in milliseconds: the `node_freeze` of the site file.
const FREEZE_MS: u64 = 4_000;
/// `evacuateMs`.
const EVACUATE_MS: u64 = 5_000;
/// `stabilityWindowMs`.
const STABILITY_MS: u64 = 4_000;
/// Time for which the zone is watched after the bounds, in milliseconds.
const WATCH_MS: u64 = 6_000;
const ZONE: &str = "maadi";

const CONFIG: &str = r#"{"version":5,"routes":[{"name":"r-1","host":"proofs","pathPrefix":"/","kind":"bounded",
"timeoutMs":2000,"targetLatencyMs":500,"priority":2,"backend":"ledger","maxAttempts":2,"maxStalenessMs":1500,
"public":false}],"services":[{"name":"ledger","healthPath":"/health","maxConns":34,"protocol":"h1","tls":false,
"coldStartS":0.0,"coldPerS":0.0,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000},"tenants":[{"name":"khedive","apiKeys":["k-1"],
"priority":1,"ratePerS":200,"burst":200}]}"#;

fn main() {
    let record = Record::new(Path::new(&std::env::args().nth(1).expect("record file")));
    let status = run(&record);
    record.log(&format!("exit status {status}"));
    std::process::exit(status);
}

fn run(record: &Arc<Record>) -> i32 {
    let plan = Plan {
        zones: ["abbasiya", "heliopolis", ZONE],
        fronts: 3,
        slots: 3,
        max_connections: 34,
        work_ms: 30,
        config: CONFIG,
        service: "ledger",
    };
    let Some(site) = Site::start(record, &plan) else {
        record.log("the site did not start");
        return standin::NOT_RUN;
    };
    let stop = Arc::new(AtomicBool::new(false));
    let requesters = start_requesters(&site, record, &stop);
    let status = play(&site, record);
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }
    status
}

/// Three requesters at each entry host, each with short sessions of a read, for as long as the case runs.
fn start_requesters(
    site: &Site,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let fronts = site.fronts.iter().map(|front| front.front);
    let numbered: Vec<_> = fronts.cycle().take(9).enumerate().collect();
    let start = |(number, front)| {
        let (record, stop) = (Arc::clone(record), Arc::clone(stop));
        thread::spawn(move || {
            for turn in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("p{number}x{turn:04}");
                record.log(&format!("requester {number} sends {id} READ 1a4"));
                let session = Session::open(front, "proofs", "k-1");
                let answer = session.map(|mut session| session.query(&id, "READ 1a4", 3_000));
                record.log(&format!("requester {number} gets {id}: {answer:?}"));
                sleep_ms(120);
            }
        })
    };
    numbered.into_iter().map(start).collect()
}

fn play(site: &Site, record: &Record) -> i32 {
    sleep_ms(2_000);
    let path = format!("/evacuations/{ZONE}");
    if site.order("POST", &path, "", 0).is_none() {
        record.log("the first evacuation was not acknowledged");
        return standin::NOT_RUN;
    }
    sleep_ms(3_000);
    // The operator picks the node that freezes; without the disruption it picks the same.
    let Some(frozen) = follower(site) else {
        record.log("no control host was seen to follow");
        return standin::NOT_RUN;
    };
    if trouble() {
        record.log(&format!("{} freezes", site.cores[frozen].ip));
        site.cores[frozen].signal("STOP");
    }
    let frozen_at = record.now();
    sleep_ms(200);
    let restored = site.order("DELETE", &path, "", frozen);
    sleep_ms(500);
    let node = (frozen + 1) % 3;
    let evacuated = site.order("POST", &path, "", node);
    let (Some(_), Some((evacuated_at, _))) = (restored, evacuated) else {
        record.log("an order was not acknowledged");
        return standin::NOT_RUN;
    };
    sleep_ms((frozen_at + FREEZE_MS).saturating_sub(record.now()));
    if trouble() {
        record.log(&format!("{} wakes", site.cores[frozen].ip));
        site.cores[frozen].signal("CONT");
    }
    // The core is stable, and all machines are in touch, from here on.
    let binding_from = (evacuated_at + EVACUATE_MS).max(record.now() + STABILITY_MS);
    record.log(&format!(
        "the evacuation was acknowledged at {evacuated_at} and binds from {binding_from} on"
    ));
    sleep_ms((binding_from + WATCH_MS).saturating_sub(record.now()));
    let runs = site.group.runs.lock().expect("runs").clone();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.zone == ZONE && run.at >= binding_from)
        .collect();
    let ids: BTreeSet<&str> = late.iter().map(|run| run.id.as_str()).collect();
    for run in late.iter().take(10) {
        record.log(&format!(
            "EVAC: {} reached {} in {} at {}",
            run.id, run.member, run.zone, run.at
        ));
    }
    let others = runs
        .iter()
        .filter(|run| run.zone != ZONE && run.at >= binding_from)
        .count();
    record.log(&format!(
        "{} requests in the evacuated zone, {others} elsewhere",
        ids.len()
    ));
    match (ids.is_empty(), others) {
        (false, _) => standin::BROKEN,
        (true, 0) => standin::NOT_RUN,
        (true, _) => standin::HELD,
    }
}

/// A control host that does not lead, according to its log.
fn follower(site: &Site) -> Option<usize> {
    (0..3).find(|index| {
        let log = std::fs::read_to_string(site.folder.join(format!("log-{}", index + 1)));
        let log = log.unwrap_or_default();
        let roles: Vec<&str> = log
            .lines()
            .filter(|line| line.contains("role_changed"))
            .collect();
        roles
            .last()
            .is_some_and(|line| line.contains("role=follower"))
    })
}
