//! A host that is stopped with SIGTERM cuts statements of open transactions that members are running.

#[path = "../standin.rs"]
mod standin;

use std::{path::Path, sync::Arc, thread};

use standin::{Answer, Plan, Record, Session, Site, sleep_ms, trouble};

/// Sessions at the host that is stopped: of about 292 on six hosts, about 49 fall to one.
const SESSIONS: u64 = 48;
/// Pause between two statements of a transaction, in milliseconds.
const PAUSE_MS: u64 = 470;
/// The requesters' time budget for the whole operation (`ler-mapa`), in milliseconds.
const BUDGET_MS: u64 = 6_000;
/// The route's timeout for one statement, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
/// `graceS`, in milliseconds.
const GRACE_MS: u64 = 6_000;
/// `lossSlackMs`.
const LOSS_SLACK_MS: u64 = 200;

const CONFIG: &str = r#"{"version":5,"routes":[{"name":"r-1","host":"mapas","pathPrefix":"/","kind":"bounded",
"timeoutMs":2000,"targetLatencyMs":600,"priority":2,"backend":"layouts","maxAttempts":2,"maxStalenessMs":1500,
"public":false}],"services":[{"name":"layouts","healthPath":"/health","maxConns":21,"protocol":"h1","tls":false,
"coldStartS":0.0,"coldPerS":0.0,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000},"tenants":[{"name":"maker","apiKeys":["k-maker"],
"priority":1,"ratePerS":200,"burst":200}]}"#;

/// A statement whose connection ended without a complete answer.
struct Cut {
    id: String,
    sent_at: u64,
    cut_at: u64,
    began_at: u64,
}

fn main() {
    let record = Record::new(Path::new(&std::env::args().nth(1).expect("record file")));
    let status = run(&record);
    record.log(&format!("exit status {status}"));
    std::process::exit(status);
}

fn run(record: &Arc<Record>) -> i32 {
    let plan = Plan {
        zones: ["recife-a", "fortaleza", "natal"],
        fronts: 2,
        slots: 3,
        max_connections: 21,
        work_ms: 40,
        config: CONFIG,
        service: "layouts",
    };
    let Some(mut site) = Site::start(record, &plan) else {
        record.log("the site did not start");
        return standin::NOT_RUN;
    };
    let front = site.fronts[0].front;
    // The usual traffic of the host: each session does some operations first.
    let sessions: Vec<_> = (0..SESSIONS)
        .map(|number| {
            thread::spawn(move || {
                let mut session = Session::open(front, "mapas", "k-maker")?;
                for turn in 0..12 {
                    sleep_ms(300 + 7 * number);
                    session.query(&format!("w{number:02}{turn:02}"), "READ 1a4", 4_000);
                }
                Some(session)
            })
        })
        .collect();
    let sessions: Vec<Session> = sessions
        .into_iter()
        .filter_map(|s| s.join().ok()?)
        .collect();
    if (sessions.len() as u64) < SESSIONS {
        record.log("a session did not open");
        return standin::NOT_RUN;
    }
    let stopped_at = record.now() + 520;
    let workers: Vec<_> = sessions
        .into_iter()
        .enumerate()
        .map(|(number, session)| {
            let record = Arc::clone(record);
            thread::spawn(move || transaction(&record, number as u64, session))
        })
        .collect();
    sleep_ms(stopped_at.saturating_sub(record.now()));
    if trouble() {
        record.log(&format!("SIGTERM to {}", site.fronts[0].ip));
        site.fronts[0].signal("TERM");
        let mut waited = 0;
        while waited < GRACE_MS && !site.fronts[0].has_ended() {
            sleep_ms(5);
            waited += 5;
        }
        record.log("the stopped process has ended, or the grace is over");
        if !site.fronts[0].has_ended() {
            site.fronts[0].signal("KILL");
        }
    }
    let mut begun = 0;
    let mut cuts = Vec::new();
    for worker in workers {
        let (began, cut) = worker.join().expect("worker");
        begun += u64::from(began);
        cuts.extend(cut);
    }
    record.log(&format!("{begun} transactions were open at the signal"));
    if begun < SESSIONS / 2 {
        return standin::NOT_RUN;
    }
    let runs = site.group.runs.lock().expect("runs").clone();
    let mut broken = 0;
    for cut in &cuts {
        let after_signal = cut.sent_at.saturating_sub(stopped_at);
        let reached = runs.iter().find(|run| run.id == cut.id);
        // LOST: passed on to a member, or cut later than `lossSlackMs` after the last byte.
        let counts = reached.is_some() || cut.cut_at > cut.sent_at + LOSS_SLACK_MS;
        // Not counted: the time budget or the route's timeout was reached, and the member's work in the last
        // sixth of `graceS` on a request sent no later than 3 s after the signal.
        let in_time =
            cut.cut_at < cut.began_at + BUDGET_MS && cut.cut_at < cut.sent_at + TIMEOUT_MS;
        let at_work_late = after_signal <= 3_000 && cut.cut_at >= stopped_at + GRACE_MS * 5 / 6;
        let in_grace = cut.cut_at <= stopped_at + GRACE_MS + 1_000;
        let is_broken = trouble() && counts && in_time && !at_work_late && in_grace;
        broken += u64::from(is_broken);
        record.log(&format!(
            "cut without an answer: {} sent {after_signal} ms after the signal, cut {} ms after it, reached a \
             member: {}, LOST: {is_broken}",
            cut.id,
            cut.cut_at.saturating_sub(stopped_at),
            reached.map_or("no".into(), |run| format!("{} at {}", run.member, run.at)),
        ));
        if !trouble() {
            broken += 1;
        }
    }
    record.log(&format!("{broken} requests lost"));
    if broken > 0 {
        standin::BROKEN
    } else {
        standin::HELD
    }
}

/// One operation: a transaction of 12 statements with pauses. Returns whether it had begun, and a statement
/// that was cut.
fn transaction(record: &Record, number: u64, mut session: Session) -> (bool, Option<Cut>) {
    sleep_ms(number * 10);
    let began_at = record.now();
    let mut begun = false;
    for turn in 0..12 {
        let text = match turn {
            0 => "BEGIN READ".into(),
            11 => "COMMIT".into(),
            _ => format!("READ {number:x}{turn:x}"),
        };
        let id = format!("t{number:02}{turn:02}");
        let sent_at = record.now();
        record.log(&format!("requester {number} sends {id} {text}"));
        let answer = session.query(&id, &text, TIMEOUT_MS + 1_000);
        match answer {
            Answer::Lines(lines) => {
                let lines = lines.trim_end().replace("\r\n", " | ");
                record.log(&format!("requester {number} gets {id}: {lines}"));
                if lines.contains("ERR") || lines.contains("READY E") {
                    return (begun, None);
                }
                begun |= turn > 0;
            }
            Answer::Cut => {
                let cut_at = record.now();
                record.log(&format!(
                    "requester {number}: the connection ended without an answer to {id}"
                ));
                return (
                    begun,
                    Some(Cut {
                        id,
                        sent_at,
                        cut_at,
                        began_at,
                    }),
                );
            }
            Answer::Silent => {
                record.log(&format!("requester {number}: no answer to {id} in time"));
                return (begun, None);
            }
        }
        sleep_ms(PAUSE_MS);
    }
    (begun, None)
}
