//! Transactions, and sessions that are pinned to one connection.

use std::{sync::Arc, time::Instant};

use hemlockcrank_core::{
    Name,
    request::{Outcome, Stage},
    session::Position,
    statement::Class,
};
use pgwire::messages::response::TransactionStatus;

use super::{
    claim::Claim,
    failure::Failure,
    relay::{BufferedAnswer, IDLE, RelayError},
    session::{Session, UnitResult},
    unit::Unit,
    write::Acknowledgement,
};
use crate::{
    pg::PgError,
    upstream::{PooledConnection, Upstream},
};

/// Status byte of a failed transaction.
const FAILED: u8 = b'E';

/// A connection reserved for the session, for a transaction or because the session is pinned.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) pooled: PooledConnection,
    pub(crate) upstream: Arc<Upstream>,
    read_only: bool,
    /// The connection is reserved until the session ends, also between transactions.
    pinned: bool,
    /// Transaction status byte that the database reported last.
    status: u8,
    /// Whether a statement of the transaction may have written.
    pub(crate) wrote: bool,
}

impl Transaction {
    /// Transaction status to report to the caller.
    pub(crate) fn status(&self) -> TransactionStatus {
        match self.status {
            IDLE => TransactionStatus::Idle,
            FAILED => TransactionStatus::Error,
            _ => TransactionStatus::Transaction,
        }
    }

    /// Closes the connection, so that the database rolls back.
    pub(crate) fn abandon(self) {
        drop(self.pooled);
    }
}

impl Session {
    /// Opens a transaction, or pins the session to a connection.
    pub(crate) async fn begin(
        &mut self,
        unit: &Unit,
        read_only: bool,
    ) -> Result<UnitResult, PgError> {
        let (mut pooled, upstream) = match self.acquire_for_transaction(read_only).await {
            Ok(acquired) => acquired,
            Err(failure) => return Ok(Err(failure)),
        };
        if let Err(failure) = self.check_permission(&self.context.control.host_state(), unit) {
            pooled.release();
            return Ok(Err(failure));
        }
        let pinned = unit.class == Class::Pin;
        let sent = self.send_unit(&mut pooled.connection, unit).await;
        let answer = match sent {
            Ok(skip) => self.buffer_answer(&mut pooled, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        match answer {
            Ok(answer) => {
                pooled.connection.dirty |= pinned;
                self.queue_answer(&answer);
                if pinned || answer.status != IDLE {
                    self.transaction = Some(Transaction {
                        pooled,
                        upstream,
                        read_only,
                        pinned,
                        status: answer.status,
                        wrote: pinned,
                    });
                } else {
                    pooled.release();
                }
                self.send_ready().await?;
                Ok(Ok(()))
            }
            Err(RelayError::Caller(error)) => Err(error),
            Err(RelayError::Database { .. }) => Ok(Err(Failure::transaction_lost())),
        }
    }

    /// Keeps the connection of a unit that left a transaction open.
    pub(crate) fn keep_transaction(
        &mut self,
        pooled: PooledConnection,
        upstream: Arc<Upstream>,
        status: u8,
    ) {
        self.transaction = Some(Transaction {
            pooled,
            upstream,
            read_only: false,
            pinned: false,
            status,
            wrote: true,
        });
    }

    /// Acquires a connection to a fresh enough member for a read-only transaction, else to the
    /// primary.
    async fn acquire_for_transaction(
        &mut self,
        read_only: bool,
    ) -> Result<(PooledConnection, Arc<Upstream>), Failure> {
        let arrived = Instant::now();
        let deadline = self.deadline_ms();
        let host_state = self.context.control.host_state();
        let upstream = self.database(&host_state).await?;
        if !read_only {
            return self.acquire_writer(&upstream.name, deadline).await;
        }
        let floor = self.floor(&host_state, &upstream, arrived).await?;
        let pooled = self.acquire_reader(&upstream, floor, &[], deadline).await?;
        Ok((pooled, upstream))
    }

    /// Runs a unit on the reserved connection.
    pub(crate) async fn run_in_transaction(&mut self, unit: Unit) -> Result<UnitResult, PgError> {
        let Some(mut transaction) = self.transaction.take() else {
            return Ok(Ok(()));
        };
        let may_commit = may_commit(&unit) && !transaction.read_only;
        transaction.wrote |= !matches!(unit.class, Class::Read | Class::Set { .. } | Class::Commit);
        let mut claim = None;
        if unit.class == Class::Commit && transaction.wrote {
            match self.claim_in_transaction(&mut transaction.pooled).await {
                Ok(new_claim) => claim = new_claim,
                Err(failure) => {
                    transaction.abandon();
                    return Ok(Err(failure));
                }
            }
        }
        let key = self.cancel_key;
        let target = transaction.pooled.cancel_target();
        self.context.set_cancel_target(key, Some(target));
        let sent = self
            .send_unit(&mut transaction.pooled.connection, &unit)
            .await;
        let answer = match sent {
            Ok(skip) => self.buffer_answer(&mut transaction.pooled, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        self.context.set_cancel_target(key, None);
        match answer {
            Ok(answer) => self.finish_unit(transaction, answer, claim.as_ref()).await,
            Err(RelayError::Caller(error)) => Err(error),
            Err(RelayError::Database { .. }) => {
                let stage = if may_commit {
                    Stage::CommitSent
                } else {
                    Stage::InTransaction
                };
                let database = transaction.upstream.name.clone();
                transaction.abandon();
                let failure = self.failure_after(stage, &database, claim.as_ref()).await;
                self.transaction_failed = !may_commit;
                Ok(Err(failure))
            }
        }
    }

    /// Sends the answer of a unit to the caller. If the unit committed a write, waits first until a
    /// majority has the commit.
    async fn finish_unit(
        &mut self,
        mut transaction: Transaction,
        answer: BufferedAnswer,
        claim: Option<&Claim>,
    ) -> Result<UnitResult, PgError> {
        transaction.status = answer.status;
        let is_over = answer.status == IDLE;
        let succeeded = answer.committed || (transaction.pinned && answer.error.is_none());
        if is_over && succeeded && transaction.wrote && !transaction.read_only {
            let upstream = Arc::clone(&transaction.upstream);
            let acknowledgement = self.acknowledge(&mut transaction.pooled, &upstream).await;
            if let Acknowledgement::Unknown(write) = acknowledgement {
                transaction.abandon();
                return self
                    .finish_unknown(&upstream.name, &answer, claim, write)
                    .await;
            }
            self.context.metrics.count_write();
        }
        self.queue_answer(&answer);
        if !is_over || transaction.pinned {
            self.transaction = Some(transaction);
        } else {
            transaction.pooled.release();
        }
        if is_over {
            self.queue_token()?;
        }
        self.send_ready().await?;
        Ok(Ok(()))
    }

    /// Ends a transaction that committed, but whose commit is not known to have reached a majority.
    async fn finish_unknown(
        &mut self,
        database: &Name,
        answer: &BufferedAnswer,
        claim: Option<&Claim>,
        write: Option<Position>,
    ) -> Result<UnitResult, PgError> {
        let outcome = match claim {
            Some(claim) => self.resolve_claim(database, claim).await,
            None => self.resolve_commit(database, write).await,
        };
        match outcome {
            Outcome::NotRun => return Ok(Err(Failure::transaction_lost())),
            Outcome::Unknown => return Ok(Err(Failure::outcome_unknown())),
            Outcome::Ran => {}
        }
        self.context.metrics.count_write();
        self.queue_answer(answer);
        self.queue_token()?;
        self.send_ready().await?;
        Ok(Ok(()))
    }

    /// Rolls an open transaction back because its next statement is refused.
    pub(crate) async fn roll_back(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            self.transaction_failed = transaction.status != IDLE;
            transaction.abandon();
        }
    }
}

/// Whether a unit inside a transaction may commit it.
///
/// A unit may consist of several statements, so its text is searched for keywords. A false match
/// is safe: the outcome of a lost connection then counts as unknown.
fn may_commit(unit: &Unit) -> bool {
    match unit.class {
        Class::Commit => true,
        Class::Read | Class::Rollback | Class::Set { .. } => false,
        _ => {
            let text = unit.text.to_lowercase();
            text.is_empty() || text.contains("commit") || text.contains("end")
        }
    }
}
