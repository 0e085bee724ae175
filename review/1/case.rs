//! A platform that answers promotion calls slowly: the control leader promotes two members in one change, and
//! commits that the first one acknowledged are not in the log of the second.

#[path = "../standin.rs"]
mod standin;

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use standin::{Answer, Plan, Record, Session, Site, sleep_ms, trouble};

/// Time after which the slow platform answers a promotion call, in milliseconds: as long as the promotion
/// takes.
const SLOW_ANSWER_MS: u64 = 600;
/// Time for which a replica receives nothing, in milliseconds; the `replica_lag` of the site file lasts
/// 6,500.
const DEAF_MS: u64 = 2_500;
/// Time from the operator's order to its start, in milliseconds.
const DEAF_AFTER_MS: u64 = 350;
/// Sessions that write.
const WRITERS: usize = 9;
/// Zones that the operator evacuates and restores one after another, each time that of the primary.
const ROUNDS: usize = 10;
/// Pauses after a zone was evacuated and restored, in milliseconds.
const EVACUATED_MS: u64 = 5_000;
const RESTORED_MS: u64 = 2_500;

const CONFIG: &str = r#"{"version":5,"routes":[{"name":"r-1","host":"orders","pathPrefix":"/","kind":"primary",
"timeoutMs":800,"targetLatencyMs":150,"priority":1,"backend":"ledger","maxAttempts":2,"public":false}],
"services":[{"name":"ledger","healthPath":"/health","maxConns":34,"protocol":"h1","tls":false,"coldStartS":0.0,
"coldPerS":0.0,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000,"txIdleMs":3000},"tenants":[{"name":"khedive","apiKeys":["k-1"],"priority":1,
"ratePerS":300,"burst":300}]}"#;

fn main() {
    let record = Record::new(Path::new(&std::env::args().nth(1).expect("record file")));
    let status = run(&record);
    record.log(&format!("exit status {status}"));
    std::process::exit(status);
}

fn run(record: &Arc<Record>) -> i32 {
    let plan = Plan {
        zones: ["abbasiya", "heliopolis", "maadi"],
        fronts: 3,
        slots: 3,
        max_connections: 34,
        work_ms: 6,
        config: CONFIG,
        service: "ledger",
    };
    let Some(site) = Site::start(record, &plan) else {
        record.log("the site did not start");
        return standin::NOT_RUN;
    };
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let writers: Vec<_> = (0..WRITERS)
        .map(|number| {
            let front = site.fronts[number % site.fronts.len()].front;
            let (record, stop) = (Arc::clone(record), Arc::clone(&stop));
            let acknowledged = Arc::clone(&acknowledged);
            thread::spawn(move || write(&record, &stop, &acknowledged, number, front))
        })
        .collect();
    sleep_ms(4_000);
    if trouble() {
        record.log(&format!(
            "the platform answers promotion calls after {SLOW_ANSWER_MS} ms from now on"
        ));
        site.group
            .promote_answer_ms
            .store(SLOW_ANSWER_MS, Ordering::Relaxed);
    }
    let mut evacuated = 0;
    for _ in 0..ROUNDS {
        let (zone, replica) = primary_and_replica(&site);
        let path = format!("/evacuations/{zone}");
        evacuated += usize::from(site.order("POST", &path, "", 0).is_some());
        sleep_ms(DEAF_AFTER_MS);
        if trouble() {
            record.log(&format!("{replica} receives nothing for {DEAF_MS} ms"));
            site.group.set_deaf(&replica, true);
        }
        sleep_ms(DEAF_MS);
        site.group.set_deaf(&replica, false);
        sleep_ms(EVACUATED_MS - DEAF_AFTER_MS - DEAF_MS);
        site.order("DELETE", &path, "", 0);
        sleep_ms(RESTORED_MS);
    }
    stop.store(true, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    if evacuated < ROUNDS {
        record.log("an evacuation was not acknowledged");
        return standin::NOT_RUN;
    }
    check(&site, record, &acknowledged.lock().expect("acknowledged"))
}

/// Zone of the primary, and the replica that is going to receive nothing.
fn primary_and_replica(site: &Site) -> (String, String) {
    let members = site.group.members.lock().expect("members");
    let primaries = members.values().filter(|member| member.primary);
    let zone = primaries
        .max_by_key(|member| member.term)
        .map(|member| member.zone.clone());
    let zone = zone.unwrap_or_else(|| "abbasiya".into());
    let replicas = members.iter().filter(|(_, member)| member.zone != zone);
    let replica = replicas.last().map(|(name, _)| name.clone());
    (zone, replica.unwrap_or_else(|| "i-2".into()))
}

/// LOST: a commit that was acknowledged to its requester before a promotion took effect has to be in the log
/// of the member that was promoted.
fn check(site: &Site, record: &Record, acknowledged: &BTreeMap<String, u64>) -> i32 {
    let promotions = site.group.promotions.lock().expect("promotions").clone();
    let commits = site.group.commits.lock().expect("commits").clone();
    record.log(&format!(
        "{} commits acknowledged, {} promotions",
        acknowledged.len(),
        promotions.len()
    ));
    let mut lost = 0;
    for (id, acknowledged_at) in acknowledged {
        let Some(committed_at) = commits.get(id) else {
            continue;
        };
        let mut later = promotions
            .iter()
            .filter(|promotion| *committed_at < promotion.at);
        if let Some(promotion) = later.find(|promotion| !promotion.log.contains(id)) {
            lost += 1;
            record.log(&format!(
                "LOST: commit {id}, acknowledged to its requester at {acknowledged_at}, is not in the log of \
                 {}, which leads term {} from {} on",
                promotion.member, promotion.term, promotion.at,
            ));
        }
    }
    record.log(&format!("{lost} acknowledged commits lost"));
    if lost > 0 {
        return standin::BROKEN;
    }
    let served_after = promotions
        .last()
        .is_some_and(|promotion| acknowledged.values().any(|at| *at > promotion.at));
    if served_after {
        standin::HELD
    } else {
        standin::NOT_RUN
    }
}

/// Single writes, one after another.
fn write(
    record: &Record,
    stop: &AtomicBool,
    acknowledged: &Mutex<BTreeMap<String, u64>>,
    number: usize,
    front: std::net::SocketAddr,
) {
    let mut session = None;
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        sleep_ms(40);
        if session.is_none() {
            session = Session::open(front, "orders", "k-1");
        }
        let Some(open) = &mut session else { continue };
        let id = format!("o{number}x{turn:04}");
        record.log(&format!(
            "requester {number} sends {id} WRITE {number} {id}"
        ));
        let answer = open.query(&id, &format!("WRITE {number} {id}"), 1_000);
        match &answer {
            Answer::Lines(lines) => {
                if lines.starts_with("DONE") {
                    acknowledged
                        .lock()
                        .expect("acknowledged")
                        .insert(id.clone(), record.now());
                }
                let lines = lines.trim_end().replace("\r\n", " | ");
                record.log(&format!("requester {number} gets {id}: {lines}"));
            }
            Answer::Cut | Answer::Silent => {
                record.log(&format!(
                    "requester {number} gets no answer to {id}: {answer:?}"
                ));
                session = None;
            }
        }
    }
}
