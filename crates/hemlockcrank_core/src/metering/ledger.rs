//! The replicated part: closed windows, and the leaders that may have sent them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Counts;
use crate::{Name, catalog::Catalog};

/// Largest number of closed windows that the platform has not confirmed. It bounds the state while the
/// platform is down; further windows are closed later.
const MAX_UNCONFIRMED: usize = 720;

/// A control leader that is about to send windows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// Name of the control host.
    pub host: Name,
    /// Its term as the leader of the control group.
    pub leadership: u64,
}

/// A replicated command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The counts of the window after the last closed one are final, and `caller` is about to send them.
    Close {
        /// Window.
        window: u64,
        /// Operations by workspace.
        counts: Counts,
        /// The leader.
        caller: Caller,
    },
    /// A leader is about to send windows that an earlier one has closed.
    Intend(Caller),
    /// The platform has a window.
    Confirm {
        /// Window.
        window: u64,
        /// Whether no other call of the leader may still reach the platform.
        settled: bool,
    },
}

/// Why an [`Entry`] changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The window is closed already.
    #[error("window {0} is closed already")]
    AlreadyClosed(u64),
    /// An earlier window has to be closed first.
    #[error("window {expected} has to be closed first")]
    OutOfOrder {
        /// The window to close next.
        expected: u64,
    },
    /// A count of a workspace that is not in the configuration.
    #[error("workspace `{0}` is not in the configuration")]
    UnknownWorkspace(Name),
    /// Too many windows are not confirmed.
    #[error("too many windows are not confirmed")]
    Full,
    /// The window is not closed, or is confirmed already.
    #[error("window {0} does not await its confirmation")]
    NotAwaited(u64),
    /// The leader's intent is known, or a later leader has sent windows.
    #[error("leadership {newest} is not older")]
    Superseded {
        /// The newest leadership with an intent.
        newest: u64,
    },
    /// There is nothing to send.
    #[error("there is no window to send")]
    NothingToSend,
}

/// Windows that are closed, and the leaders whose calls may still reach the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Last closed window.
    closed: Option<u64>,
    /// Closed windows that the platform has not confirmed.
    unconfirmed: BTreeMap<u64, Counts>,
    /// Leaders whose calls may still reach the platform.
    callers: Vec<Caller>,
    /// The leader that was the last one to send windows.
    last: Option<Caller>,
}

impl Ledger {
    /// Last closed window; `None` before the first one.
    pub fn closed(&self) -> Option<u64> {
        self.closed
    }

    /// Closed windows that the platform has not confirmed, oldest first.
    pub fn unconfirmed(&self) -> &BTreeMap<u64, Counts> {
        &self.unconfirmed
    }

    /// Leaders whose calls may still reach the platform.
    pub fn callers(&self) -> &[Caller] {
        &self.callers
    }

    /// The leader that was the last one to send windows.
    pub fn last(&self) -> Option<&Caller> {
        self.last.as_ref()
    }

    /// Whether another window may be closed.
    pub(super) fn has_room(&self) -> bool {
        self.unconfirmed.len() < MAX_UNCONFIRMED
    }

    /// Applies a committed entry.
    ///
    /// # Errors
    ///
    /// [`Refusal`]: the entry changes nothing.
    pub(crate) fn apply(&mut self, entry: &Entry, catalog: &Catalog) -> Result<(), Refusal> {
        match entry {
            Entry::Close {
                window,
                counts,
                caller,
            } => self.close(*window, counts, caller, catalog),
            Entry::Intend(caller) => self.intend(caller),
            Entry::Confirm { window, settled } => self.confirm(*window, *settled),
        }
    }

    fn close(
        &mut self,
        window: u64,
        counts: &Counts,
        caller: &Caller,
        catalog: &Catalog,
    ) -> Result<(), Refusal> {
        if let Some(closed) = self.closed {
            if window <= closed {
                return Err(Refusal::AlreadyClosed(window));
            }
            if window != closed + 1 {
                let expected = closed + 1;
                return Err(Refusal::OutOfOrder { expected });
            }
        }
        if let Some(last) = self.last.as_ref().filter(|last| *last != caller)
            && last.leadership >= caller.leadership
        {
            let newest = last.leadership;
            return Err(Refusal::Superseded { newest });
        }
        let unknown = counts.keys().find(|name| !catalog.has_workspace(name));
        if let Some(name) = unknown {
            return Err(Refusal::UnknownWorkspace(name.clone()));
        }
        if !self.has_room() {
            return Err(Refusal::Full);
        }
        self.closed = Some(window);
        self.unconfirmed.insert(window, counts.clone());
        self.add_caller(caller);
        Ok(())
    }

    fn intend(&mut self, caller: &Caller) -> Result<(), Refusal> {
        if let Some(last) = &self.last
            && last.leadership >= caller.leadership
        {
            let newest = last.leadership;
            return Err(Refusal::Superseded { newest });
        }
        if self.unconfirmed.is_empty() {
            return Err(Refusal::NothingToSend);
        }
        self.add_caller(caller);
        Ok(())
    }

    fn add_caller(&mut self, caller: &Caller) {
        if !self.callers.contains(caller) {
            self.callers.push(caller.clone());
        }
        self.last = Some(caller.clone());
    }

    /// A leader confirms only once the calls of earlier ones have landed, so its own are the last that
    /// have to be settled.
    fn confirm(&mut self, window: u64, settled: bool) -> Result<(), Refusal> {
        if self.unconfirmed.remove(&window).is_none() {
            return Err(Refusal::NotAwaited(window));
        }
        if settled && self.unconfirmed.is_empty() {
            self.callers.clear();
        }
        Ok(())
    }
}
