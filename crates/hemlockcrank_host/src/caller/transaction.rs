//! Transactions, and sessions pinned to one connection.

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
    relay::{Collected, IDLE, RelayError},
    session::{Ended, Session},
    unit::Unit,
    write::Held,
};
use crate::{
    pg::PgError,
    upstream::{PooledConnection, Upstream},
};

/// Status byte of a failed transaction.
const FAILED: u8 = b'E';

/// A connection that the caller holds.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) turn: PooledConnection,
    pub(crate) upstream: Arc<Upstream>,
    read_only: bool,
    /// Held until the session ends, also between transactions.
    pinned: bool,
    status: u8,
    pub(crate) wrote: bool,
}

impl Transaction {
    /// Status for the caller.
    pub(crate) fn status(&self) -> TransactionStatus {
        match self.status {
            IDLE => TransactionStatus::Idle,
            FAILED => TransactionStatus::Error,
            _ => TransactionStatus::Transaction,
        }
    }

    /// Drops the connection; the database rolls back.
    pub(crate) fn abandon(self) {
        drop(self.turn);
    }
}

impl Session {
    /// Opens a transaction, or pins the session.
    pub(crate) async fn begin(&mut self, unit: &Unit, read_only: bool) -> Result<Ended, PgError> {
        let (mut turn, upstream) = match self.holder(read_only).await {
            Ok(held) => held,
            Err(failure) => return Ok(Err(failure)),
        };
        if let Err(failure) = self.check_permission(&self.context.control.host_state(), unit) {
            turn.release();
            return Ok(Err(failure));
        }
        let pinned = unit.class == Class::Pin;
        let sent = self.send_unit(&mut turn.connection, unit).await;
        let collected = match sent {
            Ok(skip) => self.collect(&mut turn, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        match collected {
            Ok(collected) => {
                turn.connection.dirty |= pinned;
                self.queue_collected(&collected);
                if pinned || collected.status != IDLE {
                    self.transaction = Some(Transaction {
                        turn,
                        upstream,
                        read_only,
                        pinned,
                        status: collected.status,
                        wrote: pinned,
                    });
                } else {
                    turn.release();
                }
                self.ready().await?;
                Ok(Ok(()))
            }
            Err(RelayError::Caller(error)) => Err(error),
            Err(RelayError::Database { .. }) => Ok(Err(Failure::transaction_lost())),
        }
    }

    /// Takes up a transaction that a unit of work left open.
    pub(crate) fn hold(&mut self, turn: PooledConnection, upstream: Arc<Upstream>, status: u8) {
        self.transaction = Some(Transaction {
            turn,
            upstream,
            read_only: false,
            pinned: false,
            status,
            wrote: true,
        });
    }

    async fn holder(
        &mut self,
        read_only: bool,
    ) -> Result<(PooledConnection, Arc<Upstream>), Failure> {
        let arrived = Instant::now();
        let deadline = self.deadline_ms();
        let world = self.context.control.host_state();
        let upstream = self.database(&world).await?;
        if !read_only {
            return self.writer(&upstream.name, deadline).await;
        }
        let floor = self.floor(&world, &upstream, arrived).await?;
        let turn = self.reader(&upstream, floor, &[], deadline).await?;
        Ok((turn, upstream))
    }

    /// Runs a unit on the held connection.
    pub(crate) async fn run_in_transaction(&mut self, unit: Unit) -> Result<Ended, PgError> {
        let Some(mut transaction) = self.transaction.take() else {
            return Ok(Ok(()));
        };
        let commits = may_commit(&unit) && !transaction.read_only;
        transaction.wrote |= !matches!(unit.class, Class::Read | Class::Set { .. } | Class::Commit);
        let mut marker = None;
        if unit.class == Class::Commit && transaction.wrote {
            match self.claim_in_transaction(&mut transaction.turn).await {
                Ok(claimed) => marker = claimed,
                Err(failure) => {
                    transaction.abandon();
                    return Ok(Err(failure));
                }
            }
        }
        let key = self.cancel_key;
        let target = transaction.turn.cancel_target();
        self.context.set_cancel(key, Some(target));
        let sent = self
            .send_unit(&mut transaction.turn.connection, &unit)
            .await;
        let collected = match sent {
            Ok(skip) => self.collect(&mut transaction.turn, skip).await,
            Err(_) => Err(RelayError::Database { relayed: false }),
        };
        self.context.set_cancel(key, None);
        match collected {
            Ok(collected) => {
                self.after_unit(transaction, collected, marker.as_ref())
                    .await
            }
            Err(RelayError::Caller(error)) => Err(error),
            Err(RelayError::Database { .. }) => {
                let stage = if commits {
                    Stage::CommitSent
                } else {
                    Stage::InTransaction
                };
                let database = transaction.upstream.name.clone();
                transaction.abandon();
                let failure = self.explain(stage, &database, marker.as_ref()).await;
                self.failed = !commits;
                Ok(Err(failure))
            }
        }
    }

    async fn after_unit(
        &mut self,
        mut transaction: Transaction,
        collected: Collected,
        marker: Option<&Claim>,
    ) -> Result<Ended, PgError> {
        transaction.status = collected.status;
        let ended = collected.status == IDLE;
        let worked = collected.committed || (transaction.pinned && collected.error.is_none());
        if ended && worked && transaction.wrote && !transaction.read_only {
            let upstream = Arc::clone(&transaction.upstream);
            let held = self.acknowledge(&mut transaction.turn, &upstream).await;
            if let Held::Unknown(write) = held {
                transaction.abandon();
                return self
                    .finish_unknown(&upstream.name, &collected, marker, write)
                    .await;
            }
            self.context.metrics.write();
        }
        self.queue_collected(&collected);
        if !ended || transaction.pinned {
            self.transaction = Some(transaction);
        } else {
            transaction.turn.release();
        }
        if ended {
            self.queue_token()?;
        }
        self.ready().await?;
        Ok(Ok(()))
    }

    /// Ends a transaction that committed and is not known to be held by a majority.
    async fn finish_unknown(
        &mut self,
        database: &Name,
        collected: &Collected,
        marker: Option<&Claim>,
        write: Option<Position>,
    ) -> Result<Ended, PgError> {
        let outcome = match marker {
            Some(claim) => self.resolve(database, claim).await,
            None => self.follow_commit(database, write).await,
        };
        match outcome {
            Outcome::NotRun => return Ok(Err(Failure::transaction_lost())),
            Outcome::Unknown => return Ok(Err(Failure::unknown())),
            Outcome::Ran => {}
        }
        self.context.metrics.write();
        self.queue_collected(collected);
        self.queue_token()?;
        self.ready().await?;
        Ok(Ok(()))
    }

    /// Drops an open transaction because its next statement is refused; it rolls back.
    pub(crate) async fn roll_back(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            self.failed = transaction.status != IDLE;
            transaction.abandon();
        }
    }
}

/// Whether a unit inside a transaction may end it with a commit.
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
