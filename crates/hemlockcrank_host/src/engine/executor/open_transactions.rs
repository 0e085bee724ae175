//! Transactions of other hosts that are open at this host.

use std::collections::HashMap;

use hemlockcrank_wire::TransactionId;

use crate::engine::transaction::Transaction;

/// Transactions that may be open. Each has a connection to a member.
const MAX_OPEN: usize = 256;
/// Transactions that may be remembered, open or ended.
const MAX_REMEMBERED: usize = 1_024;
/// Time for which the end of a transaction is remembered, in milliseconds. A statement that arrives
/// after it is told why the transaction has ended.
const REMEMBERED_MS: u64 = 2_000;
/// Why a statement of a transaction is refused that this host does not have.
const UNKNOWN: &str = "the executor does not have the transaction";
/// Why a statement is refused that arrives after the end of its transaction.
const ENDED: &str = "the transaction has ended";

/// State of one transaction.
#[derive(Debug)]
enum Slot {
    /// No statement runs.
    Idle {
        transaction: Box<Transaction>,
        /// Local time since when, in milliseconds.
        since: u64,
    },
    /// A statement runs, which has the transaction.
    Running {
        /// Whether the transaction is rolled back after it.
        ends: bool,
    },
    /// It was rolled back.
    Ended {
        reason: &'static str,
        /// Local time, in milliseconds.
        at: u64,
    },
}

/// A transaction for a statement that is to run.
#[derive(Debug)]
pub(super) enum Taken {
    /// It is open.
    Transaction(Box<Transaction>),
    /// Another statement of it runs.
    Running,
    /// It has ended, or is not known.
    Ended(&'static str),
}

/// All transactions of other hosts.
#[derive(Debug, Default)]
pub(super) struct OpenTransactions {
    slots: HashMap<TransactionId, Slot>,
}

impl OpenTransactions {
    /// Opens a transaction, whose first statement runs; returns whether there is room for it and it
    /// has not ended already.
    pub(super) fn open(&mut self, id: &TransactionId) -> bool {
        let is_open = |slot: &&Slot| !matches!(slot, Slot::Ended { .. });
        if self.slots.contains_key(id) || self.slots.values().filter(is_open).count() >= MAX_OPEN {
            return false;
        }
        self.slots.insert(id.clone(), Slot::Running { ends: false });
        true
    }

    /// Takes a transaction for its next statement.
    pub(super) fn take(&mut self, id: &TransactionId) -> Taken {
        let Some(slot) = self.slots.get_mut(id) else {
            return Taken::Ended(UNKNOWN);
        };
        match slot {
            Slot::Running { .. } => Taken::Running,
            Slot::Ended { reason, .. } => Taken::Ended(reason),
            Slot::Idle { .. } => match std::mem::replace(slot, Slot::Running { ends: false }) {
                Slot::Idle { transaction, .. } => Taken::Transaction(transaction),
                _ => Taken::Ended(UNKNOWN),
            },
        }
    }

    /// Ends a statement; `transaction` is `None` if its transaction has ended, too. A transaction
    /// that was to end with the statement is dropped, and with that rolled back.
    pub(super) fn put_back(
        &mut self,
        id: &TransactionId,
        transaction: Option<Transaction>,
        now: u64,
    ) {
        let ends = !matches!(self.slots.get(id), Some(Slot::Running { ends: false }));
        match transaction.filter(|_| !ends) {
            Some(transaction) => {
                let slot = Slot::Idle {
                    transaction: Box::new(transaction),
                    since: now,
                };
                self.slots.insert(id.clone(), slot);
            }
            None => {
                self.slots.remove(id);
            }
        }
    }

    /// Ends a transaction, now or after the statement that runs. One that is not known yet will not be
    /// opened: its first statement may arrive later than the request to end it.
    pub(super) fn end(&mut self, id: TransactionId, now: u64) -> Option<Box<Transaction>> {
        let ended = Slot::Ended {
            reason: ENDED,
            at: now,
        };
        if let Some(Slot::Running { ends }) = self.slots.get_mut(&id) {
            *ends = true;
            return None;
        }
        let previous = self.slots.remove(&id);
        if self.slots.len() < MAX_REMEMBERED {
            self.slots.insert(id, ended);
        }
        match previous {
            Some(Slot::Idle { transaction, .. }) => Some(transaction),
            _ => None,
        }
    }

    /// Number of transactions of which no statement runs.
    pub(super) fn idle_count(&self) -> usize {
        let idle = |slot: &&Slot| matches!(slot, Slot::Idle { .. });
        self.slots.values().filter(idle).count()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Ends the transactions for which `reason` returns one, given the time since which no statement
    /// runs. Returns them, to be rolled back.
    pub(super) fn expire<F>(
        &mut self,
        now: u64,
        reason: F,
    ) -> Vec<(TransactionId, &'static str, Box<Transaction>)>
    where
        F: Fn(&mut Transaction, u64) -> Option<&'static str>,
    {
        self.slots.retain(
            |_, slot| !matches!(slot, Slot::Ended { at, .. } if now >= *at + REMEMBERED_MS),
        );
        let mut expired = Vec::new();
        for (id, slot) in &mut self.slots {
            let Slot::Idle { transaction, since } = slot else {
                continue;
            };
            let Some(reason) = reason(transaction, *since) else {
                continue;
            };
            let ended = Slot::Ended { reason, at: now };
            if let Slot::Idle { transaction, .. } = std::mem::replace(slot, ended) {
                expired.push((id.clone(), reason, transaction));
            }
        }
        expired
    }
}
