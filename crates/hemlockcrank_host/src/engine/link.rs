//! One connection to a member.

use std::{
    collections::{BTreeMap, HashSet},
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use hemlockcrank_core::{Name, session::Position};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::protocol::{
    Code, MemberMessage, PreparedStatement, Protocol, ProxyStatement, Query, Startup, Status,
};
use crate::dial::dial;

/// Longest message of a member, in bytes.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;
/// Room made for each read, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// Values of a session by name.
pub(crate) type Values = BTreeMap<Name, Name>;

/// A member's whole answer to one statement.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) rows: Vec<Bytes>,
    pub(crate) outcome: Result<Bytes, (Code, Bytes)>,
    pub(crate) status: Status,
    pub(crate) position: Option<Position>,
}

/// Why a connection was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// The member refused.
    Refused(Code),
    /// The member was not reached, or did not answer.
    Unreached,
}

/// The connection broke, went silent or spoke another protocol. What was sent may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Broken;

/// Where a connection goes, and for whom.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) from: IpAddr,
    pub(crate) service: Name,
    pub(crate) member: Name,
}

/// One connection with what the member knows of its session.
#[derive(Debug)]
pub(crate) struct Link {
    stream: TcpStream,
    input: BytesMut,
    dialect: Protocol,
    pub(crate) values: Values,
    prepared: HashSet<Name>,
    /// Statement outside a transaction left the session in one that failed.
    spoilt: bool,
}

impl Link {
    /// Opens a session for `workspace`.
    pub(crate) async fn open(
        dialect: Protocol,
        target: &Target,
        workspace: &Name,
        limit: Duration,
    ) -> Result<Self, OpenError> {
        let opened = timeout(limit, Self::connect(dialect, target, workspace));
        let mut link = opened
            .await
            .map_err(|_| OpenError::Unreached)?
            .map_err(|_| OpenError::Unreached)?;
        match timeout(limit, link.event()).await {
            Ok(Ok(MemberMessage::Ready { .. })) => Ok(link),
            Ok(Ok(MemberMessage::Failed(code, _))) => Err(OpenError::Refused(code)),
            _ => Err(OpenError::Unreached),
        }
    }

    async fn connect(dialect: Protocol, target: &Target, workspace: &Name) -> io::Result<Self> {
        let mut stream = dial(target.from, target.address).await?;
        stream.set_nodelay(true)?;
        let mut hello = BytesMut::new();
        let greeting = Startup {
            service: &target.service,
            workspace,
            member: &target.member,
        };
        (dialect.write_startup)(&mut hello, &greeting);
        stream.write_all(&hello).await?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            dialect,
            values: Values::new(),
            prepared: HashSet::new(),
            spoilt: false,
        })
    }

    /// Whether the member has neither closed the connection nor sent anything unasked.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let quiet = matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock
        );
        quiet && self.input.is_empty()
    }

    /// Statements that give the session these values and this prepared statement.
    pub(crate) fn setup(
        &self,
        values: &Values,
        shape: Option<(&Name, &PreparedStatement)>,
    ) -> Vec<ProxyStatement> {
        let mut own = Vec::new();
        if self.spoilt {
            own.push(ProxyStatement::Rollback);
        }
        let stale = self.values.keys().any(|name| !values.contains_key(name));
        if stale {
            own.push(ProxyStatement::Reset);
        }
        for (name, value) in values {
            if stale || self.values.get(name) != Some(value) {
                own.push(ProxyStatement::Set(name.clone(), value.clone()));
            }
        }
        if let Some((name, shape)) = shape
            && (stale || !self.prepared.contains(name))
        {
            own.push(ProxyStatement::Prepare(name.clone(), shape.clone()));
        }
        own
    }

    /// Runs statements of the proxy's own, all in one write; an error of any is the last answer's.
    pub(crate) async fn run_own(
        &mut self,
        statements: &[ProxyStatement],
    ) -> Result<Option<Answer>, Broken> {
        let mut output = BytesMut::new();
        for statement in statements {
            (self.dialect.write_proxy_statement)(&mut output, statement);
        }
        self.send(&output).await?;
        let mut last = None;
        let mut failed = None;
        for statement in statements {
            let answer = self.answer().await?;
            match &answer.outcome {
                Ok(_) => self.learn(statement),
                Err(_) => failed = Some(answer.clone()),
            }
            last = Some(answer);
        }
        Ok(failed.or(last))
    }

    /// Runs a caller's statement.
    pub(crate) async fn run(&mut self, query: &Query) -> Result<Answer, Broken> {
        let mut output = BytesMut::new();
        (self.dialect.write_query)(&mut output, query);
        self.send(&output).await?;
        self.answer().await
    }

    /// Notes that a statement outside a transaction has ended in this status.
    pub(crate) fn settle(&mut self, status: Status) {
        self.spoilt = status != Status::Idle;
    }

    fn learn(&mut self, statement: &ProxyStatement) {
        match statement {
            ProxyStatement::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            ProxyStatement::Set(name, value) => {
                self.values.insert(name.clone(), value.clone());
            }
            ProxyStatement::Prepare(name, _) => {
                self.prepared.insert(name.clone());
            }
            ProxyStatement::Rollback => self.spoilt = false,
            _ => {}
        }
    }

    async fn send(&mut self, output: &[u8]) -> Result<(), Broken> {
        self.stream.write_all(output).await.map_err(|_| Broken)
    }

    async fn answer(&mut self) -> Result<Answer, Broken> {
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            match self.event().await? {
                MemberMessage::Row(row) => rows.push(row),
                MemberMessage::Done(signature) => outcome = Some(Ok(signature)),
                MemberMessage::Failed(code, text) => outcome = Some(Err((code, text))),
                MemberMessage::Ready { status, position } => {
                    let outcome = outcome.ok_or(Broken)?;
                    return Ok(Answer {
                        rows,
                        outcome,
                        status,
                        position,
                    });
                }
            }
        }
    }

    async fn event(&mut self) -> Result<MemberMessage, Broken> {
        loop {
            let event = (self.dialect.read_member)(&mut self.input);
            if let Some(event) = event.map_err(|_| Broken)? {
                return Ok(event);
            }
            if self.input.len() > MAX_MESSAGE_BYTES {
                return Err(Broken);
            }
            self.input.reserve(READ_BYTES);
            let read = self.stream.read_buf(&mut self.input).await;
            if read.map_err(|_| Broken)? == 0 {
                return Err(Broken);
            }
        }
    }
}
