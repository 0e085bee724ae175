//! One member of a database group.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicI32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use hemlockcrank_core::{Name, directory::Role, session::Position};
use sqlparser::ast::Statement;
use tokio::sync::{Semaphore, watch};

use crate::{
    Fault, GroupSettings, Point,
    engine::{Cell, Rows, SqlError, Tables},
};

/// A statement with its parameters, as replicated.
pub(crate) type BoundStatement = (Arc<Statement>, Vec<Cell>);

/// One committed transaction.
#[derive(Clone, Debug)]
pub(crate) struct LogEntry {
    pub(crate) term: u64,
    pub(crate) statements: Vec<BoundStatement>,
    pub(crate) committed_at: Instant,
}

/// Replicated state of a member: its log, the tables built from it, and its role.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Highest term that this member has accepted; it refuses older ones.
    pub(crate) adopted_term: u64,
    pub(crate) role: Role,
    /// Member whose log this one copies; `None` for a primary, and for a replica that follows none.
    pub(crate) source: Option<Name>,
    pub(crate) log: Vec<LogEntry>,
    pub(crate) tables: Tables,
}

impl MemberState {
    /// Term and index of the last log entry.
    pub fn last(&self) -> Position {
        let term = self.log.last().map_or(0, |entry| entry.term);
        Position::new(term, self.log.len() as u64)
    }

    pub(crate) fn append(&mut self, entry: LogEntry) {
        for (statement, params) in &entry.statements {
            let _ = self.tables.run(statement, params);
        }
        self.log.push(entry);
    }

    /// Drops the entries from index `len` on and rebuilds the tables.
    pub(crate) fn truncate(&mut self, len: usize) {
        if len >= self.log.len() {
            return;
        }
        let kept: Vec<LogEntry> = self.log.drain(..len).collect();
        self.log.clear();
        self.tables = Tables::default();
        for entry in kept {
            self.append(entry);
        }
    }
}

/// One member of a group, with switches that simulate failures.
#[derive(Debug)]
pub struct Member {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    pub(crate) settings: GroupSettings,
    pub(crate) state: Mutex<MemberState>,
    pub(crate) slots: Semaphore,
    pub(crate) open_connections: AtomicUsize,
    pub(crate) next_pid: AtomicI32,
    pub(crate) down: watch::Sender<bool>,
    pub(crate) frozen: watch::Sender<bool>,
    /// Whether the member is unreachable for all callers and for replication; and the addresses of
    /// callers for which it is unreachable even when it is not partitioned from all.
    pub(crate) partitioned: watch::Sender<(bool, BTreeSet<IpAddr>)>,
    /// Connections opened under a lower generation than this are silent.
    pub(crate) silence_generation: watch::Sender<u64>,
    pub(crate) faults: Mutex<Vec<Fault>>,
    /// Number of entries appended as primary.
    pub(crate) commits: watch::Sender<u64>,
    pub(crate) lag_ms: AtomicU64,
    pub(crate) statement_count: AtomicU64,
    pub(crate) passwords: Mutex<BTreeSet<String>>,
    /// Process ids of the connections that are running a statement.
    pub(crate) active_pids: Mutex<BTreeSet<i32>>,
    /// Process id of the last cancel request.
    pub(crate) canceled_pid: watch::Sender<i32>,
    pub(crate) records_statements: AtomicBool,
    pub(crate) recorded_statements: Mutex<Vec<String>>,
}

impl Member {
    pub(crate) fn new(
        name: Name,
        zone: Name,
        address: SocketAddr,
        settings: GroupSettings,
        is_primary: bool,
    ) -> Self {
        let state = MemberState {
            adopted_term: 1,
            role: if is_primary {
                Role::Primary
            } else {
                Role::Replica
            },
            source: None,
            log: Vec::new(),
            tables: Tables::default(),
        };
        Self {
            name,
            zone,
            address,
            slots: Semaphore::new(settings.slots as usize),
            lag_ms: AtomicU64::new(settings.lag_ms),
            settings,
            state: Mutex::new(state),
            open_connections: AtomicUsize::new(0),
            next_pid: AtomicI32::new(1),
            down: watch::Sender::new(false),
            frozen: watch::Sender::new(false),
            partitioned: watch::Sender::new((false, BTreeSet::new())),
            silence_generation: watch::Sender::new(0),
            faults: Mutex::new(Vec::new()),
            commits: watch::Sender::new(0),
            statement_count: AtomicU64::new(0),
            passwords: Mutex::new(BTreeSet::new()),
            active_pids: Mutex::new(BTreeSet::new()),
            canceled_pid: watch::Sender::new(0),
            records_statements: AtomicBool::new(false),
            recorded_statements: Mutex::new(Vec::new()),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Simulated failures

    /// Closes all connections and accepts none until [`Member::start`].
    pub fn kill(&self) {
        self.down.send_replace(true);
    }

    /// Accepts connections again.
    pub fn start(&self) {
        self.down.send_replace(false);
    }

    /// Stops answering and replicating without closing connections, or resumes both.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Makes the member unreachable for all callers and members, or reachable again.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned
            .send_modify(|partition| partition.0 = partitioned);
    }

    /// Makes the member unreachable for callers at exactly these addresses; replication goes on.
    pub fn partition_from<I>(&self, peers: I)
    where
        I: IntoIterator<Item = IpAddr>,
    {
        self.partitioned
            .send_modify(|partition| partition.1 = peers.into_iter().collect());
    }

    /// Stops all traffic on the connections that are open now, without closing them; new ones work.
    pub fn silence_open_connections(&self) {
        self.silence_generation
            .send_modify(|generation| *generation += 1);
    }

    /// Adds a fault, which the next matching statement triggers.
    pub fn inject_fault(&self, fault: Fault) {
        lock(&self.faults).push(fault);
    }

    /// Number of faults that were not triggered yet.
    pub fn pending_faults(&self) -> usize {
        lock(&self.faults).len()
    }

    /// Sets the replication lag, in milliseconds.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Records the query string of every statement that is counted from now on.
    pub fn record_statements(&self) {
        self.records_statements.store(true, Ordering::Relaxed);
    }

    // ---------------------------------------------------------------------------------------------
    // Observations

    /// Number of statements from callers' sessions, without transaction control, `DISCARD`, queries
    /// to the built-in views and functions, and statements refused in an aborted transaction.
    pub fn statement_count(&self) -> u64 {
        self.statement_count.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Every password presented so far.
    pub fn passwords(&self) -> BTreeSet<String> {
        lock(&self.passwords).clone()
    }

    /// Query strings of the recorded statements.
    pub fn recorded_statements(&self) -> Vec<String> {
        lock(&self.recorded_statements).clone()
    }

    /// Role and adopted term.
    pub fn role(&self) -> (Role, u64) {
        let state = lock(&self.state);
        (state.role, state.adopted_term)
    }

    /// Position of the last log entry.
    pub fn last(&self) -> Position {
        lock(&self.state).last()
    }

    /// Runs statements on a copy of the committed tables, even while failures are simulated, and
    /// returns the result of the last one.
    ///
    /// # Errors
    ///
    /// [`SqlError`] when a statement is invalid or fails.
    pub fn inspect(&self, text: &str) -> Result<Rows, SqlError> {
        let statements = crate::engine::parse(text)?;
        let mut tables = lock(&self.state).tables.clone();
        let mut rows = Rows::default();
        for statement in &statements {
            rows = tables.run(statement, &[])?;
        }
        Ok(rows)
    }

    // ---------------------------------------------------------------------------------------------
    // Commits and replication

    /// Commits a transaction's writes; refuses unless this member is primary. Adopting a later term
    /// demotes a primary.
    pub(crate) fn commit(&self, statements: Vec<BoundStatement>) -> Result<(), SqlError> {
        let mut state = lock(&self.state);
        if state.role != Role::Primary {
            return Err(read_only());
        }
        let mut tables = state.tables.clone();
        for (statement, params) in &statements {
            tables.run(statement, params)?;
        }
        let entry = LogEntry {
            term: state.adopted_term,
            statements,
            committed_at: Instant::now(),
        };
        state.log.push(entry);
        state.tables = tables;
        drop(state);
        self.commits.send_modify(|count| *count += 1);
        Ok(())
    }

    /// Raises the adopted term to `term`; refuses a lower one. A higher term demotes a primary, and a
    /// replica stops replicating until [`Member::follow`].
    pub(crate) fn adopt(&self, term: u64) -> Result<(), SqlError> {
        let mut state = lock(&self.state);
        if term < state.adopted_term {
            return Err(superseded(state.adopted_term));
        }
        if term > state.adopted_term {
            state.adopted_term = term;
            state.role = Role::Replica;
            state.source = None;
        }
        Ok(())
    }

    /// Makes the member primary of `term`, which must be the adopted term.
    pub(crate) fn promote(&self, term: u64) -> Result<(), SqlError> {
        let mut state = lock(&self.state);
        if term != state.adopted_term {
            return Err(superseded(state.adopted_term));
        }
        if state.role != Role::Primary {
            state.role = Role::Primary;
            state.source = None;
            state.log.push(LogEntry {
                term,
                statements: Vec::new(),
                committed_at: Instant::now(),
            });
            self.commits.send_modify(|count| *count += 1);
        }
        Ok(())
    }

    /// Adopts `term`, and replicates from `source` unless this member is the primary of that term.
    pub(crate) fn follow(&self, term: u64, source: &str) -> Result<(), SqlError> {
        self.adopt(term)?;
        let mut state = lock(&self.state);
        if state.role == Role::Replica {
            state.source = Some(source.into());
        }
        Ok(())
    }

    /// Removes and returns the first fault that matches a statement at `point`.
    pub(crate) fn take_fault(&self, text: &str, point: Point) -> Option<Fault> {
        let mut faults = lock(&self.faults);
        let index = faults
            .iter()
            .position(|fault| fault.point == point && text.contains(&fault.needle))?;
        Some(faults.remove(index))
    }

    pub(crate) fn is_reachable_from(&self, peer: IpAddr) -> bool {
        let partition = self.partitioned.borrow();
        !partition.0 && !partition.1.contains(&peer)
    }

    pub(crate) fn can_replicate(&self) -> bool {
        !*self.down.borrow() && !*self.frozen.borrow() && !self.partitioned.borrow().0
    }
}

pub(crate) fn read_only() -> SqlError {
    SqlError::new("25006", "this member is no primary")
}

fn superseded(adopted_term: u64) -> SqlError {
    SqlError::new("55000", format!("term {adopted_term} is adopted here"))
}

/// Locks a mutex, even when a thread panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
