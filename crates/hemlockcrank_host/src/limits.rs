//! Fleet-wide rate limits, for hosts as borrowers and as owners.
//!
//! [`Limits::admit`] spends a token of a workspace; if there is none, it borrows some from the
//! owner. Peers call the owner's [`Limits::lend`] and [`Limits::hand_over`]. Both run on traffic
//! threads, without the control thread.

mod ownership;
mod portions;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hemlockcrank_core::{
    Name, lease,
    quota::{
        Answer, Bucket, Handover, LOAN_MARGIN_MS, LOAN_MS, Loans, Settlement, Take, has_many_hosts,
        lendable,
    },
    record::Rate,
};
use hemlockcrank_wire::{Request, Response};
use thiserror::Error;
use tokio::sync::Notify;

use crate::{
    clock::now_ms,
    control::{Control, HostState},
    peers::Peers,
    sync::lock,
};
use ownership::{Cause, OwnershipHistory};
pub use portions::Portions;

/// Pause before the next request to an owner that did not answer or may not lend yet.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time limit for a call to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two checks for unused tokens, while this host holds tokens.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two such checks while this host holds no tokens. The sum of both intervals is
/// less than the lifetime of a loan, so that no loan expires before it was checked.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a view change for which the previous owner and all its loans may still be in use, in
/// milliseconds.
const PREVIOUS_OWNER_MS: u64 = lease::DURATION_MS + LOAN_MS + LOAN_MARGIN_MS;

/// Why a statement got no token. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The workspace has reached its rate.
    #[error("the workspace is over its rate")]
    OverRate,
    /// The owner of the rate was not reached in time.
    #[error("the owner of the workspace's rate was not reached")]
    OwnerUnreachable,
}

/// What this host has borrowed for one workspace.
#[derive(Debug, Default)]
struct Borrower {
    loans: Mutex<Loans>,
    /// Number of statements that wait for an answer to another statement's request.
    waiting: AtomicU64,
    /// Notified after each answer of the owner.
    answered: Notify,
}

/// The loans of this host, and the buckets that it owns.
#[derive(Debug)]
pub struct Limits {
    control: Control,
    peers: Arc<Peers>,
    borrowers: Mutex<HashMap<Name, Arc<Borrower>>>,
    buckets: Mutex<HashMap<Name, Bucket>>,
    ownership: Mutex<OwnershipHistory>,
    portions: Arc<Portions>,
}

impl Limits {
    /// Creates the state without any loan or bucket.
    pub fn new(control: Control, peers: Arc<Peers>, portions: Arc<Portions>) -> Arc<Self> {
        Arc::new(Self {
            portions,
            control,
            peers,
            borrowers: Mutex::default(),
            buckets: Mutex::default(),
            ownership: Mutex::default(),
        })
    }

    /// Records views, opens the buckets that this host comes to own and returns unused tokens,
    /// until the control thread ends.
    pub async fn run(self: Arc<Self>) {
        let mut watch = self.control.watch();
        let mut last_opened = HostState::default();
        loop {
            let host_state = watch.borrow_and_update().clone();
            let host = &self.control.host().name;
            lock(&self.ownership).record(
                now_ms(),
                host_state.state.index,
                &host_state.state.view,
                host,
            );
            let same_view = Arc::ptr_eq(&last_opened.state.view, &host_state.state.view);
            if !same_view || !Arc::ptr_eq(&last_opened.state.catalog, &host_state.state.catalog) {
                self.open_owned_buckets(&host_state);
                last_opened = HostState::clone(&host_state);
            }
            let interval = if self.return_unused(&host_state) {
                SWEEP_INTERVAL
            } else {
                IDLE_SWEEP_INTERVAL
            };
            tokio::select! {
                changed = watch.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(interval) => {}
            }
        }
    }

    /// Spends a token of `workspace`. Waits for one until `deadline` if there is none.
    ///
    /// # Errors
    ///
    /// [`Refusal`]; the statement is not run.
    pub async fn admit(self: &Arc<Self>, workspace: &Name, deadline: u64) -> Result<(), Refusal> {
        let borrower = self.borrower(workspace);
        let mut refusal = Refusal::OwnerUnreachable;
        loop {
            let answered = borrower.answered.notified();
            let now = now_ms();
            let request = {
                let mut loans = lock(&borrower.loans);
                if loans.take(now) == Take::Admitted {
                    return Ok(());
                }
                if let Some(pause) = loans.pause(now) {
                    return Err(match pause.answered {
                        true => Refusal::OverRate,
                        false => Refusal::OwnerUnreachable,
                    });
                }
                let waiting = borrower.waiting.load(Ordering::Relaxed);
                loans.request(now, waiting + 1)
            };
            if now >= deadline {
                if request.is_some() {
                    lock(&borrower.loans).receive(now, now, None);
                }
                return Err(refusal);
            }
            let time_left = Duration::from_millis(deadline - now);
            let Some(request) = request else {
                let _waiting = WaitingCount::new(&borrower.waiting);
                let _ = tokio::time::timeout(time_left, answered).await;
                continue;
            };
            let max_wait_ms = deadline - now;
            let answer = self
                .borrow(workspace, request.tokens, max_wait_ms, request.settled)
                .await;
            {
                let mut loans = lock(&borrower.loans);
                loans.receive(now_ms(), request.asked_at, answer);
                let has_token =
                    matches!(answer, Some(Answer::Granted(_) | Answer::Reserved { .. }));
                if !has_token && has_many_hosts(self.control.host_state().serving_hosts) {
                    loans.back_off(now_ms(), answer.is_some());
                }
            }
            borrower.answered.notify_waiters();
            match answer {
                Some(Answer::Granted(_)) => {}
                Some(Answer::Reserved { wait_ms, .. }) => {
                    refusal = Refusal::OverRate;
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                Some(Answer::Empty { .. }) => return Err(Refusal::OverRate),
                Some(Answer::Closed) | None => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Borrows tokens from the owner, which may be this host, and reports settled loans.
    async fn borrow(
        self: &Arc<Self>,
        workspace: &Name,
        tokens: u64,
        max_wait_ms: u64,
        settlements: Vec<Settlement>,
    ) -> Option<Answer> {
        let host_state = self.control.host_state();
        let owner = host_state.state.view.serving_owner(workspace)?.clone();
        if owner == self.control.host().name {
            return Some(
                self.lend(workspace, tokens, max_wait_ms, &settlements)
                    .await,
            );
        }
        let address = self.peers.address_of(&owner, &host_state.state.view)?;
        let request = Request::Borrow {
            workspace: workspace.clone(),
            tokens,
            max_wait_ms,
            settlements,
        };
        match self.peers.call(address, &request, CALL_TIMEOUT).await {
            Ok(Response::Borrowed(answer)) => Some(answer),
            _ => None,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Owner

    /// Rate that the owner lends: what is not in use as portions, or all of a rate from a record.
    fn lendable_rate(&self, host_state: &HostState, workspace: &str) -> Option<Rate> {
        match host_state.state.catalog.rate(workspace) {
            Some(rate) => Some(lendable(
                rate,
                self.portions.in_use(host_state, workspace, rate),
            )),
            None => host_state.state.records.rate(workspace),
        }
    }

    /// Lends tokens of a workspace that this host owns.
    pub async fn lend(
        self: &Arc<Self>,
        workspace: &Name,
        tokens: u64,
        max_wait_ms: u64,
        settlements: &[Settlement],
    ) -> Answer {
        let host_state = self.control.host_state();
        let owns =
            host_state.state.view.serving_owner(workspace) == Some(&self.control.host().name);
        let Some(rate) = self.lendable_rate(&host_state, workspace) else {
            return Answer::Closed;
        };
        if !owns || !host_state.has_lease() {
            return Answer::Closed;
        }
        if !lock(&self.buckets).contains_key(workspace) {
            self.open_bucket(&host_state, workspace, rate).await;
        }
        let mut buckets = lock(&self.buckets);
        let Some(bucket) = buckets.get_mut(workspace) else {
            return Answer::Closed;
        };
        let now = now_ms();
        bucket.set_rate(now, rate);
        let answer = bucket.lend(now, tokens, max_wait_ms, settlements);
        let over_rate = matches!(answer, Answer::Empty { .. } | Answer::Reserved { .. });
        if over_rate && tokens > 0 {
            self.portions.record_over_rate(workspace);
        }
        answer
    }

    /// Hands a bucket over to its new owner, once this host has applied the view in which it is no
    /// longer the owner.
    ///
    /// If there is no bucket, only earlier incarnations of the two hosts can have lent tokens. The
    /// answer then states for how long the loans of this host's earlier incarnations have been
    /// expired.
    pub async fn hand_over(&self, workspace: &Name, index: u64) -> Option<Handover> {
        let host_state = self.control.wait_for_index(index).await?;
        if host_state.state.view.serving_owner(workspace) == Some(&self.control.host().name) {
            return None;
        }
        let Some(mut bucket) = lock(&self.buckets).remove(workspace) else {
            return Some(Handover {
                available_milli: 0,
                outstanding: 0,
                quiet_ms: Some(quiet_ms()),
            });
        };
        Some(bucket.hand_over(now_ms()))
    }

    /// Opens the buckets that this host has come to own, before the first request for tokens.
    fn open_owned_buckets(self: &Arc<Self>, host_state: &Arc<HostState>) {
        let host = &self.control.host().name;
        for workspace in host_state.state.catalog.rate_limited_workspaces() {
            let owned = host_state.state.view.serving_owner(workspace) == Some(host);
            if !owned || lock(&self.buckets).contains_key(workspace) {
                continue;
            }
            let Some(rate) = self.lendable_rate(host_state, workspace) else {
                continue;
            };
            let (limits, host_state, workspace) =
                (Arc::clone(self), Arc::clone(host_state), workspace.clone());
            tokio::spawn(async move { limits.open_bucket(&host_state, &workspace, rate).await });
        }
    }

    /// Opens the bucket of a workspace: full for a new rate, continued from the previous owner's
    /// bucket if that owner can be reached, otherwise empty from the time at which no other host
    /// can lend any more.
    async fn open_bucket(&self, host_state: &HostState, workspace: &Name, rate: Rate) {
        let ownership = lock(&self.ownership).find(workspace, &self.control.host().name);
        let Some(ownership) = ownership else {
            return;
        };
        let id = hemlockcrank_core::record::Id::new(
            hemlockcrank_core::record::Kind::Rate,
            workspace.clone(),
        );
        let record_index = host_state
            .state
            .records
            .get(&id)
            .map_or(0, |record| record.index);
        let now = now_ms();
        let bucket = match ownership.cause {
            _ if record_index > ownership.index => Bucket::full(rate, now),
            Cause::OwnerLeft => Bucket::empty(rate, ownership.since, ownership.since),
            Cause::Joined { previous: None } => {
                Bucket::empty(rate, ownership.since, ownership.since)
            }
            Cause::Joined {
                previous: Some(previous),
            } => {
                let address = self.peers.address_of(&previous, &host_state.state.view);
                let request = Request::HandOver {
                    workspace: workspace.clone(),
                    index: ownership.index,
                };
                let answer = match address {
                    Some(address) => self.peers.call(address, &request, CALL_TIMEOUT).await.ok(),
                    None => None,
                };
                match answer {
                    Some(Response::HandOver(Some(handover))) => match handover.quiet_ms {
                        Some(previous_quiet_ms) => {
                            Bucket::after_quiet(rate, now, previous_quiet_ms.min(quiet_ms()))
                        }
                        None => Bucket::resume(rate, now, handover),
                    },
                    _ => Bucket::empty(rate, ownership.since, ownership.since + PREVIOUS_OWNER_MS),
                }
            }
        };
        lock(&self.buckets)
            .entry(workspace.clone())
            .or_insert(bucket);
    }

    // ---------------------------------------------------------------------------------------------
    // Borrower

    fn borrower(&self, workspace: &Name) -> Arc<Borrower> {
        let mut borrowers = lock(&self.borrowers);
        Arc::clone(borrowers.entry(workspace.clone()).or_default())
    }

    /// Returns to their owners the tokens that would otherwise expire unused, and drops buckets
    /// that this host no longer owns once their loans have expired. Returns whether this host holds
    /// tokens.
    fn return_unused(self: &Arc<Self>, host_state: &HostState) -> bool {
        let now = now_ms();
        let within_ms = u64::try_from(SWEEP_INTERVAL.as_millis()).unwrap_or(u64::MAX) * 2;
        let host = &self.control.host().name;
        let owned = |workspace: &Name| host_state.state.view.serving_owner(workspace) == Some(host);
        lock(&self.buckets)
            .retain(|workspace, bucket| owned(workspace) || bucket.has_active_loans(now));
        let borrowers: Vec<_> = lock(&self.borrowers).clone().into_iter().collect();
        let mut has_tokens = false;
        for (workspace, borrower) in borrowers {
            let mut loans = lock(&borrower.loans);
            has_tokens |= loans.has_tokens();
            if !loans.expires_within(now, within_ms) {
                continue;
            }
            let Some(settlements) = loans.return_unspent(now) else {
                continue;
            };
            drop(loans);
            let limits = Arc::clone(self);
            tokio::spawn(async move {
                limits.borrow(&workspace, 0, 0, settlements).await;
            });
        }
        has_tokens
    }
}

/// Time since all loans of earlier incarnations of this host have expired, in milliseconds.
fn quiet_ms() -> u64 {
    now_ms().saturating_sub(LOAN_MS + LOAN_MARGIN_MS)
}

/// Counts a waiting statement until dropped.
struct WaitingCount<'a>(&'a AtomicU64);

impl<'a> WaitingCount<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
