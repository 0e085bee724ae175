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
pub(crate) type Work = (Arc<Statement>, Vec<Cell>);

/// One committed transaction.
#[derive(Clone, Debug)]
pub(crate) struct LogEntry {
    pub(crate) term: u64,
    pub(crate) work: Vec<Work>,
    pub(crate) committed_at: Instant,
}

/// Log, tables and role.
#[derive(Clone, Debug)]
pub struct MemberState {
    pub(crate) adopted: u64,
    pub(crate) role: Role,
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
        for (statement, params) in &entry.work {
            let _ = self.tables.run(statement, params);
        }
        self.log.push(entry);
    }

    /// Drops entries from `len` on and builds the tables again.
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

/// One member with its switches.
#[derive(Debug)]
pub struct Member {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    pub(crate) settings: GroupSettings,
    pub(crate) state: Mutex<MemberState>,
    pub(crate) slots: Semaphore,
    pub(crate) connections: AtomicUsize,
    pub(crate) next_pid: AtomicI32,
    pub(crate) down: watch::Sender<bool>,
    pub(crate) frozen: watch::Sender<bool>,
    /// Peers that cannot reach this member; the flag cuts everyone, replication included.
    pub(crate) cut: watch::Sender<(bool, BTreeSet<IpAddr>)>,
    pub(crate) silenced: watch::Sender<u64>,
    pub(crate) faults: Mutex<Vec<Fault>>,
    pub(crate) committed: watch::Sender<u64>,
    pub(crate) lag_ms: AtomicU64,
    pub(crate) statements: AtomicU64,
    pub(crate) passwords: Mutex<BTreeSet<String>>,
    pub(crate) active: Mutex<BTreeSet<i32>>,
    pub(crate) canceled: watch::Sender<i32>,
    pub(crate) recording: AtomicBool,
    pub(crate) texts: Mutex<Vec<String>>,
}

impl Member {
    pub(crate) fn new(
        name: Name,
        zone: Name,
        address: SocketAddr,
        settings: GroupSettings,
        primary: bool,
    ) -> Self {
        let state = MemberState {
            adopted: 1,
            role: if primary {
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
            connections: AtomicUsize::new(0),
            next_pid: AtomicI32::new(1),
            down: watch::Sender::new(false),
            frozen: watch::Sender::new(false),
            cut: watch::Sender::new((false, BTreeSet::new())),
            silenced: watch::Sender::new(0),
            faults: Mutex::new(Vec::new()),
            committed: watch::Sender::new(0),
            statements: AtomicU64::new(0),
            passwords: Mutex::new(BTreeSet::new()),
            active: Mutex::new(BTreeSet::new()),
            canceled: watch::Sender::new(0),
            recording: AtomicBool::new(false),
            texts: Mutex::new(Vec::new()),
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Switches

    /// Ends all connections and accepts none, until [`Member::start`].
    pub fn kill(&self) {
        self.down.send_replace(true);
    }

    /// Accepts connections again.
    pub fn start(&self) {
        self.down.send_replace(false);
    }

    /// Stops answering and replicating, without closing anything.
    pub fn set_frozen(&self, on: bool) {
        self.frozen.send_replace(on);
    }

    /// Cuts the member off from everyone, or heals that.
    pub fn set_partitioned(&self, on: bool) {
        self.cut.send_modify(|cut| cut.0 = on);
    }

    /// Cuts the member off from callers at these addresses only.
    pub fn partition_from<I>(&self, peers: I)
    where
        I: IntoIterator<Item = IpAddr>,
    {
        self.cut
            .send_modify(|cut| cut.1 = peers.into_iter().collect());
    }

    /// Makes every connection that is open now go silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.silenced.send_modify(|generation| *generation += 1);
    }

    /// Arms a fault.
    pub fn inject_fault(&self, fault: Fault) {
        lock(&self.faults).push(fault);
    }

    /// Faults that have not struck.
    pub fn pending_faults(&self) -> usize {
        lock(&self.faults).len()
    }

    /// Sets the replication lag.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Keeps the text of every statement from now on.
    pub fn record_statements(&self) {
        self.recording.store(true, Ordering::Relaxed);
    }

    // ---------------------------------------------------------------------------------------------
    // Observations

    /// Statements that arrived from callers' sessions, status queries left out.
    pub fn statement_count(&self) -> u64 {
        self.statements.load(Ordering::Relaxed)
    }

    /// Open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Every password that was ever presented.
    pub fn passwords(&self) -> BTreeSet<String> {
        lock(&self.passwords).clone()
    }

    /// Texts of the recorded statements.
    pub fn recorded_statements(&self) -> Vec<String> {
        lock(&self.texts).clone()
    }

    /// Role and adopted term.
    pub fn role(&self) -> (Role, u64) {
        let state = lock(&self.state);
        (state.role, state.adopted)
    }

    /// Last log position.
    pub fn last(&self) -> Position {
        lock(&self.state).last()
    }

    /// Runs a read on the committed tables, past every switch.
    ///
    /// # Errors
    ///
    /// [`SqlError`] as for any statement.
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
    // Work

    /// Commits a transaction's work if this is a primary that nobody has superseded.
    pub(crate) fn commit(&self, work: Vec<Work>) -> Result<(), SqlError> {
        let mut state = lock(&self.state);
        if state.role != Role::Primary {
            return Err(read_only());
        }
        let mut tables = state.tables.clone();
        for (statement, params) in &work {
            tables.run(statement, params)?;
        }
        let entry = LogEntry {
            term: state.adopted,
            work,
            committed_at: Instant::now(),
        };
        state.log.push(entry);
        state.tables = tables;
        drop(state);
        self.committed.send_modify(|count| *count += 1);
        Ok(())
    }

    /// Raises the adopted term; a primary of an older term steps down.
    pub(crate) fn adopt(&self, term: u64) -> Result<(), SqlError> {
        let mut state = lock(&self.state);
        if term < state.adopted {
            return Err(superseded(state.adopted));
        }
        if term > state.adopted {
            state.adopted = term;
            state.role = Role::Replica;
            state.source = None;
        }
        Ok(())
    }

    /// Becomes primary of exactly the adopted term.
    pub(crate) fn promote(&self, term: u64) -> Result<(), SqlError> {
        let mut state = lock(&self.state);
        if term != state.adopted {
            return Err(superseded(state.adopted));
        }
        if state.role != Role::Primary {
            state.role = Role::Primary;
            state.source = None;
            state.log.push(LogEntry {
                term,
                work: Vec::new(),
                committed_at: Instant::now(),
            });
            self.committed.send_modify(|count| *count += 1);
        }
        Ok(())
    }

    /// Follows the primary of `term`.
    pub(crate) fn follow(&self, term: u64, source: &str) -> Result<(), SqlError> {
        self.adopt(term)?;
        let mut state = lock(&self.state);
        if state.role == Role::Replica {
            state.source = Some(source.into());
        }
        Ok(())
    }

    pub(crate) fn take_fault(&self, text: &str, point: Point) -> Option<Fault> {
        let mut faults = lock(&self.faults);
        let found = faults
            .iter()
            .position(|fault| fault.point == point && text.contains(&fault.needle))?;
        Some(faults.remove(found))
    }

    pub(crate) fn is_reachable_from(&self, peer: IpAddr) -> bool {
        let cut = self.cut.borrow();
        !cut.0 && !cut.1.contains(&peer)
    }

    pub(crate) fn replicates(&self) -> bool {
        !*self.down.borrow() && !*self.frozen.borrow() && !self.cut.borrow().0
    }
}

pub(crate) fn read_only() -> SqlError {
    SqlError::new("25006", "this member is no primary")
}

fn superseded(adopted: u64) -> SqlError {
    SqlError::new("55000", format!("term {adopted} is adopted here"))
}

/// Locks, also after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
