//! Two prepared statements of one tenant whose shapes get the same name at the members: one requester's
//! prepared name runs the shape of another requester.

#[path = "../standin.rs"]
mod standin;

use std::{collections::BTreeMap, path::Path, sync::Arc};

use standin::{Answer, Plan, Record, Session, Site, sleep_ms, trouble};

/// Shapes whose digests agree in the digits that make up the name at the members.
const SHAPES: [&str; 2] = ["qjqxq70", "qfqegq0"];
/// The second shape without the disruption.
const OTHER_SHAPE: &str = "qfqegq1";
/// Times that each requester executes its statement.
const TURNS: usize = 12;

const CONFIG: &str = r#"{"version":5,"routes":[{"name":"r-1","host":"orders","pathPrefix":"/","kind":"primary",
"timeoutMs":800,"targetLatencyMs":150,"priority":1,"backend":"ledger","maxAttempts":2,"public":false}],
"services":[{"name":"ledger","healthPath":"/health","maxConns":34,"protocol":"h1","tls":false,"coldStartS":0.0,
"coldPerS":0.0,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,
"idleTimeoutMs":15000,"txIdleMs":3000},"tenants":[{"name":"khedive","apiKeys":["k-1","k-2"],"priority":1,
"ratePerS":200,"burst":200}]}"#;

fn main() {
    let record = Record::new(Path::new(&std::env::args().nth(1).expect("record file")));
    let status = run(&record);
    record.log(&format!("exit status {status}"));
    std::process::exit(status);
}

fn run(record: &Arc<Record>) -> i32 {
    let plan = Plan {
        zones: ["abbasiya", "heliopolis", "maadi"],
        fronts: 2,
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
    let shapes = [SHAPES[0], if trouble() { SHAPES[1] } else { OTHER_SHAPE }];
    let front = site.fronts[0].front;
    let mut sessions = Vec::new();
    for (number, shape) in shapes.iter().enumerate() {
        let Some(mut session) = Session::open(front, "orders", &format!("k-{}", number + 1)) else {
            record.log("a session did not open");
            return standin::NOT_RUN;
        };
        let text = format!("PREPARE s1 WRITE {shape}");
        record.log(&format!("requester {number} sends {text}"));
        let answer = session.query(&format!("p{number}"), &text, 1_000);
        record.log(&format!("requester {number} gets {answer:?}"));
        if !matches!(&answer, Answer::Lines(lines) if lines.starts_with("DONE")) {
            return standin::NOT_RUN;
        }
        sessions.push(session);
    }
    let mut expected = BTreeMap::new();
    let mut served = BTreeMap::new();
    for turn in 0..TURNS {
        for (number, session) in sessions.iter_mut().enumerate() {
            let id = format!("e{number}x{turn:02}");
            record.log(&format!(
                "requester {number} sends {id} EXEC s1 {number}a4 {id}, prepared as {}",
                shapes[number]
            ));
            expected.insert(id.clone(), shapes[number]);
            let answer = session.query(&id, &format!("EXEC s1 {number}a4 {id}"), 1_000);
            record.log(&format!("requester {number} gets {id}: {answer:?}"));
            if matches!(&answer, Answer::Lines(lines) if lines.contains("DONE")) {
                *served.entry(number).or_insert(0) += 1;
            }
            sleep_ms(40);
        }
    }
    let mut wrong = 0;
    for run in site.group.runs.lock().expect("runs").iter() {
        let (Some(shape), Some(own)) = (&run.shape, expected.get(&run.id)) else {
            continue;
        };
        if shape != own {
            wrong += 1;
            record.log(&format!(
                "PINNED: {} ran shape {shape} at {}, its requester prepared {own}",
                run.id, run.member
            ));
        }
    }
    record.log(&format!(
        "{wrong} statements ran another requester's shape; served: {served:?}"
    ));
    match (wrong, served.len()) {
        (0, 2) => standin::HELD,
        (0, _) => standin::NOT_RUN,
        _ => standin::BROKEN,
    }
}
