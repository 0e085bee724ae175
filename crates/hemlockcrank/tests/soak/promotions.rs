//! The platform's promotion call, with a record of all calls in the order of their arrival.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::stand_in::{Group, Member, NotRunning};

/// Time from the arrival of a call until the member is the primary.
const PROMOTION_DURATION: Duration = Duration::from_millis(600);

/// One call as it arrived.
#[derive(Clone, Debug)]
struct Call {
    service: String,
    member: String,
    holder: String,
    token: u64,
    arrived_at: Instant,
}

/// A change of primary that the platform has carried out.
#[derive(Clone, Debug)]
pub(crate) struct Promoted {
    pub(crate) member: String,
    /// Fencing token of the call.
    pub(crate) token: u64,
    pub(crate) at: Instant,
    /// Items in the log of the member.
    pub(crate) items: BTreeSet<String>,
}

#[derive(Debug)]
struct Inner {
    group: Group,
    started_at: Instant,
    calls: Mutex<Vec<Call>>,
    promoted: Mutex<Vec<Promoted>>,
}

/// The promotion call and its record.
#[derive(Clone, Debug)]
pub(crate) struct Promotions(Arc<Inner>);

impl Promotions {
    /// Starts the call; returns its address too.
    pub(crate) async fn start(group: Group) -> (Self, SocketAddr) {
        let promotions = Self(Arc::new(Inner {
            group,
            started_at: Instant::now(),
            calls: Mutex::default(),
            promoted: Mutex::default(),
        }));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let acceptor = promotions.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().serve(stream));
            }
        });
        (promotions, address)
    }

    /// All changes that were carried out so far.
    pub(crate) fn promoted(&self) -> Vec<Promoted> {
        let promoted = self.0.promoted.lock();
        promoted.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns each call that arrived after one with a higher token for the same service.
    pub(crate) fn check_order(&self) -> Vec<String> {
        let calls = self.0.calls.lock().expect("calls");
        let mut newest: BTreeMap<&str, &Call> = BTreeMap::new();
        let mut violations = Vec::new();
        for call in calls.iter() {
            match newest.get(call.service.as_str()) {
                Some(newer) if newer.token > call.token => violations.push(format!(
                    "ONE: {} arrived after {}",
                    self.describe(call),
                    self.describe(newer)
                )),
                _ => {
                    newest.insert(&call.service, call);
                }
            }
        }
        violations
    }

    /// One line per call, for the report.
    pub(crate) fn summary(&self) -> Vec<String> {
        let calls = self.0.calls.lock().expect("calls");
        calls.iter().map(|call| self.describe(call)).collect()
    }

    fn describe(&self, call: &Call) -> String {
        let Call {
            service,
            member,
            holder,
            token,
            arrived_at,
        } = call;
        let after_ms = (*arrived_at - self.0.started_at).as_millis();
        format!("token {token} of {holder} for {member} of {service} at {after_ms} ms")
    }

    /// Serves the one call of a connection. The call is carried out also if its sender has closed the
    /// connection meanwhile.
    async fn serve(self, mut stream: TcpStream) {
        let Some(call) = read_call(&mut stream).await else {
            return;
        };
        self.0.calls.lock().expect("calls").push(call.clone());
        sleep(PROMOTION_DURATION).await;
        let status = self.carry_out(call);
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        let _ = stream.write_all(answer.as_bytes()).await;
    }

    /// Makes the member the primary; returns the status of the answer.
    fn carry_out(&self, call: Call) -> &'static str {
        let inspect = |member: &Member| {
            let items = member.writes.iter().cloned();
            (Instant::now(), items.collect())
        };
        match self.0.group.promote(&call.member, inspect) {
            Ok(Some((at, items))) => {
                let promoted = Promoted {
                    member: call.member,
                    token: call.token,
                    at,
                    items,
                };
                self.0.promoted.lock().expect("promoted").push(promoted);
                "200 OK"
            }
            Ok(None) => "200 OK",
            Err(NotRunning) => "409 Conflict",
        }
    }
}

/// Reads one call; `None` if the connection ends before the end of the call.
async fn read_call(stream: &mut TcpStream) -> Option<Call> {
    let mut reader = BufReader::new(stream);
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(": ") {
            Some((name, value)) => headers.insert(name.to_ascii_lowercase(), value.to_owned()),
            None if line.trim_end().is_empty() => break,
            None => continue,
        };
    }
    let length = headers["content-length"].parse().expect("a length");
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    let body: Value = serde_json::from_slice(&body).expect("a body");
    let text = |field: &str| body[field].as_str().expect("a text").to_owned();
    Some(Call {
        service: text("backend"),
        member: text("id"),
        holder: headers["duty-holder"].clone(),
        token: headers["fencing-token"].parse().expect("a token"),
        arrived_at: Instant::now(),
    })
}
