//! Typed client of the operator API.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use hemlockcrank_core::{
    Name,
    record::{Action, Kind, Outcome, Record, StoreError},
};
use hemlockcrank_host::{
    control::Status,
    http::{
        ChangeRequest, DatabaseView, ErrorBody, ForceView, RecordView, SwitchoverRequest,
        TimelineView,
    },
};
use miette::Diagnostic;
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum wait for one answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts at a change whose answer is lost; all have one operation id, so it takes effect once.
const CHANGE_ATTEMPTS: u32 = 3;
/// Interval between two checks whether a change is in force.
const IN_FORCE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait for a change to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_OP: AtomicU64 = AtomicU64::new(0);

/// A change that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// New revision of the record.
    pub revision: u64,
    /// Log index from which it is in force.
    pub index: u64,
}

/// A call that did not succeed.
#[derive(Debug, Error, Diagnostic)]
pub enum ClientError {
    /// The host was not reached, or the answer was lost.
    #[error("host {host} did not answer: {problem}")]
    #[diagnostic(
        code(ctl::unreachable),
        help("use another host with --host; a change resent with the same --op takes effect once")
    )]
    Unreachable {
        /// Address of the host.
        host: Name,
        /// Error of the HTTP client.
        problem: Name,
    },
    /// The host answered with an error.
    #[error("{message}")]
    #[diagnostic(
        code(ctl::refused),
        help("the host answered `{code}` with status {status}")
    )]
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code.
        code: Name,
        /// Message.
        message: Name,
    },
    /// The change was not accepted.
    #[error("the change was not accepted: {error}")]
    #[diagnostic(code(ctl::not_accepted), help("{hint}"))]
    NotAccepted {
        /// Reason.
        error: StoreError,
        /// Hint for the operator.
        hint: Name,
        /// Current record, if there is one.
        current: Option<Box<Record>>,
    },
    /// The answer could not be parsed.
    #[error("the answer of host {host} could not be parsed: {problem}")]
    #[diagnostic(
        code(ctl::form),
        help("check that the host runs the same version as hemlockctl")
    )]
    Malformed {
        /// Address of the host.
        host: Name,
        /// Error of the parser.
        problem: Name,
    },
    /// The change is accepted and not yet in force everywhere.
    #[error("index {index} is accepted, but these hosts do not have it yet: {waiting}")]
    #[diagnostic(
        code(ctl::waiting),
        help("these hosts will apply it, or their leases will expire")
    )]
    Waiting {
        /// Log index.
        index: u64,
        /// Names of the hosts.
        waiting: Name,
    },
}

/// A client of one host.
#[derive(Clone, Debug)]
pub struct Client {
    host: Name,
    token: Name,
    http: reqwest::Client,
}

impl Client {
    /// A client of the host at `host`, an address with port.
    pub fn new(host: &str, token: &str) -> Self {
        Self {
            host: host.into(),
            token: token.into(),
            http: reqwest::Client::new(),
        }
    }

    /// Submits a new record.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; `NotAccepted` contains the current record.
    pub async fn submit(
        &self,
        kind: Kind,
        name: &str,
        schema: u32,
        text: &str,
    ) -> Result<Accepted, ClientError> {
        let text = text.into();
        self.change(kind, name, Action::Submit { schema, text }, &new_op())
            .await
    }

    /// Replaces a record whose current revision is `expected`.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; `NotAccepted` contains the current record.
    pub async fn revise(
        &self,
        kind: Kind,
        name: &str,
        schema: u32,
        text: &str,
        expected: u64,
    ) -> Result<Accepted, ClientError> {
        let action = Action::Revise {
            schema,
            text: text.into(),
            expected,
        };
        self.change(kind, name, action, &new_op()).await
    }

    /// Withdraws a record whose current revision is `expected`.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; `NotAccepted` contains the current record.
    pub async fn withdraw(
        &self,
        kind: Kind,
        name: &str,
        expected: u64,
    ) -> Result<Accepted, ClientError> {
        self.change(kind, name, Action::Withdraw { expected }, &new_op())
            .await
    }

    /// Sends a change under an operation id and resends it if the answer is lost.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; `NotAccepted` contains the current record.
    pub async fn change(
        &self,
        kind: Kind,
        name: &str,
        action: Action,
        op: &str,
    ) -> Result<Accepted, ClientError> {
        let request = ChangeRequest {
            op: op.into(),
            kind,
            name: name.into(),
            action,
        };
        let mut attempts = 0;
        loop {
            attempts += 1;
            let result = self.send_change(&request).await;
            let answer_lost = match &result {
                Err(ClientError::Unreachable { .. }) => true,
                Err(ClientError::Refused { status, .. }) => *status >= 500,
                _ => false,
            };
            if !answer_lost || attempts >= CHANGE_ATTEMPTS {
                return result;
            }
        }
    }

    async fn send_change(&self, request: &ChangeRequest) -> Result<Accepted, ClientError> {
        let request = self.http.post(self.url("/v1/changes")).json(request);
        match self.exchange::<Outcome>(request).await? {
            Outcome::Accepted { revision, index } => Ok(Accepted { revision, index }),
            Outcome::Refused { error, current } => Err(ClientError::NotAccepted {
                hint: hint(&error),
                error,
                current: current.map(Box::new),
            }),
        }
    }

    /// One record.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn record(&self, kind: Kind, name: &str) -> Result<RecordView, ClientError> {
        self.get(&format!("/v1/records/{kind}/{name}")).await
    }

    /// All records.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn records(&self) -> Result<Vec<RecordView>, ClientError> {
        self.get("/v1/records").await
    }

    /// State of the control group.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.get("/v1/status").await
    }

    /// All databases.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn databases(&self) -> Result<Vec<DatabaseView>, ClientError> {
        self.get("/v1/databases").await
    }

    /// Recent events of all hosts.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn timeline(&self) -> Result<TimelineView, ClientError> {
        self.get("/v1/timeline").await
    }

    /// Whether a log index is in force on every live host.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn in_force(&self, index: u64) -> Result<ForceView, ClientError> {
        self.get(&format!("/v1/force/{index}")).await
    }

    /// Waits until a log index is in force on every live host; calls `progress` with each answer.
    ///
    /// # Errors
    ///
    /// [`ClientError::Waiting`] after half a minute.
    pub async fn wait_in_force<F>(&self, index: u64, mut progress: F) -> Result<(), ClientError>
    where
        F: FnMut(&ForceView),
    {
        let started = Instant::now();
        let mut waiting = Name::from("no leader answers");
        while started.elapsed() < IN_FORCE_TIMEOUT {
            if let Ok(view) = self.in_force(index).await {
                progress(&view);
                if view.in_force {
                    return Ok(());
                }
                waiting = view.waiting.join(", ").into();
            }
            tokio::time::sleep(IN_FORCE_INTERVAL).await;
        }
        Err(ClientError::Waiting { index, waiting })
    }

    /// Asks for a planned change of primary, starting from the present one.
    ///
    /// # Errors
    ///
    /// [`ClientError`]. The code `unknown` leaves open whether the order was received.
    pub async fn switch_over(&self, database: &str, member: &str) -> Result<(), ClientError> {
        let databases = self.databases().await?;
        let current = databases.iter().find(|view| &*view.name == database);
        let term = current.map(|view| view.term);
        self.switch_over_in(database, member, term).await
    }

    /// As [`Self::switch_over`], for the primary of this term.
    ///
    /// # Errors
    ///
    /// As [`Self::switch_over`].
    pub async fn switch_over_in(
        &self,
        database: &str,
        member: &str,
        term: Option<u64>,
    ) -> Result<(), ClientError> {
        let request = SwitchoverRequest {
            database: database.into(),
            member: member.into(),
            term,
        };
        let request = self.http.post(self.url("/v1/switchover")).json(&request);
        self.exchange::<SwitchoverRequest>(request).await?;
        Ok(())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.host)
    }

    async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.exchange(self.http.get(self.url(path))).await
    }

    /// Sends a request and parses the answer. A body that parses as `T` is accepted with any HTTP
    /// status.
    async fn exchange<T>(&self, request: RequestBuilder) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let host = self.host.clone();
        let unreachable = |error: reqwest::Error| ClientError::Unreachable {
            host: host.clone(),
            problem: error.to_string().into(),
        };
        let request = request.bearer_auth(&self.token).timeout(REQUEST_TIMEOUT);
        let answer = request.send().await.map_err(unreachable)?;
        let status = answer.status();
        let bytes = answer.bytes().await.map_err(unreachable)?;
        match serde_json::from_slice(&bytes) {
            Ok(value) => Ok(value),
            Err(_) if status != StatusCode::OK => Err(refusal(status, &bytes)),
            Err(error) => Err(ClientError::Malformed {
                host: self.host.clone(),
                problem: error.to_string().into(),
            }),
        }
    }
}

fn refusal(status: StatusCode, bytes: &[u8]) -> ClientError {
    let (code, message) = match serde_json::from_slice::<ErrorBody>(bytes) {
        Ok(body) => (body.error.code, body.error.message),
        Err(_) => ("http".into(), String::from_utf8_lossy(bytes).into()),
    };
    ClientError::Refused {
        status: status.as_u16(),
        code,
        message,
    }
}

fn hint(error: &StoreError) -> Name {
    match error {
        StoreError::Conflict { actual, .. } => {
            format!("look at the current record, then revise it with --revision {actual}")
        }
        StoreError::Exists { actual } => {
            format!("to change it, use `hemlockctl revise` with --revision {actual}")
        }
        StoreError::Missing => "use `hemlockctl submit` to create it".to_owned(),
        StoreError::Invalid(_) => "docs/RECORDS.md lists the fields of both versions".to_owned(),
        StoreError::Dangling { kind, name } => format!("submit the {kind} `{name}` first"),
        StoreError::Name => "choose a shorter, plain name".to_owned(),
    }
    .into()
}

/// Creates an operation id that no other process uses.
fn new_op() -> String {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = elapsed.map_or(0, |elapsed| elapsed.as_nanos());
    let count = NEXT_OP.fetch_add(1, Ordering::Relaxed);
    format!("{nanos:x}-{:x}-{count:x}", std::process::id())
}
