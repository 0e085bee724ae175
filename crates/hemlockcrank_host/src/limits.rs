//! Fleet-wide rates: this host as borrower and as owner.
//!
//! [`Limits::admit`] spends a token of a workspace, asking its owner for more where there is none.
//! [`Limits::lend`] and [`Limits::hand_over`] are the owner's side, called by peers; both run on traffic
//! threads, the control thread is not involved.

mod portions;
mod tenure;

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
    quota::{Answer, Bucket, Handover, LOAN_MARGIN_MS, LOAN_MS, Loans, Settlement, Take, lendable},
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
pub use portions::Portions;
use tenure::{Cause, Tenures};

/// Pause after an owner that did not answer or may not lend yet.
const CLOSED_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an owner's answer.
const BORROW_LIMIT: Duration = Duration::from_millis(300);
/// Interval at which unused tokens are looked for.
const SWEEP: Duration = Duration::from_millis(100);
/// The same while no tokens are held. Shorter than a loan less a sweep, so none ends unseen.
const IDLE_SWEEP: Duration = Duration::from_millis(200);
/// Time until which an old owner and all its loans may act after a view change, in milliseconds.
const OLD_OWNER_MS: u64 = lease::DURATION_MS + LOAN_MS + LOAN_MARGIN_MS;

/// Why a statement gets no token. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The workspace is at its rate.
    #[error("the workspace is over its rate")]
    OverRate,
    /// The owner of the rate was not reached in time.
    #[error("the owner of the workspace's rate was not reached")]
    OwnerUnreachable,
}

#[derive(Debug, Default)]
struct Borrower {
    purse: Mutex<Loans>,
    waiting: AtomicU64,
    answered: Notify,
}

/// All purses and all buckets of this host.
#[derive(Debug)]
pub struct Limits {
    control: Control,
    peers: Arc<Peers>,
    borrowers: Mutex<HashMap<Name, Arc<Borrower>>>,
    buckets: Mutex<HashMap<Name, Bucket>>,
    tenures: Mutex<Tenures>,
    portions: Arc<Portions>,
}

impl Limits {
    /// No token yet.
    pub fn new(control: Control, peers: Arc<Peers>, portions: Arc<Portions>) -> Arc<Self> {
        Arc::new(Self {
            portions,
            control,
            peers,
            borrowers: Mutex::default(),
            buckets: Mutex::default(),
            tenures: Mutex::default(),
        })
    }

    /// Keeps tenures and unused tokens in order, until dropped.
    pub async fn run(self: Arc<Self>) {
        let mut watch = self.control.watch();
        let mut opened = HostState::default();
        loop {
            let world = watch.borrow_and_update().clone();
            let host = &self.control.host().name;
            lock(&self.tenures).note(now_ms(), world.state.index, &world.state.view, host);
            let same_view = Arc::ptr_eq(&opened.state.view, &world.state.view);
            if !same_view || !Arc::ptr_eq(&opened.state.catalog, &world.state.catalog) {
                self.open_owned(&world);
                opened = HostState::clone(&world);
            }
            let sweep = if self.give_back_unused(&world) {
                SWEEP
            } else {
                IDLE_SWEEP
            };
            tokio::select! {
                changed = watch.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(sweep) => {}
            }
        }
    }

    /// Spends a token of `workspace`, waiting for one until `deadline`.
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
            let ask = {
                let mut purse = lock(&borrower.purse);
                if purse.take(now) == Take::Admitted {
                    return Ok(());
                }
                let waiting = borrower.waiting.load(Ordering::Relaxed);
                purse.request(now, waiting + 1)
            };
            if now >= deadline {
                if ask.is_some() {
                    lock(&borrower.purse).receive(now, now, None);
                }
                return Err(refusal);
            }
            let left = Duration::from_millis(deadline - now);
            let Some(ask) = ask else {
                let _counted = Counted::new(&borrower.waiting);
                let _ = tokio::time::timeout(left, answered).await;
                continue;
            };
            let patience_ms = deadline - now;
            let answer = self
                .borrow(workspace, ask.tokens, patience_ms, ask.settled)
                .await;
            lock(&borrower.purse).receive(now_ms(), ask.asked_at, answer);
            borrower.answered.notify_waiters();
            match answer {
                Some(Answer::Granted(_)) => {}
                Some(Answer::Reserved { wait_ms, .. }) => {
                    refusal = Refusal::OverRate;
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                Some(Answer::Empty { .. }) => return Err(Refusal::OverRate),
                Some(Answer::Closed) | None => tokio::time::sleep(CLOSED_PAUSE).await,
            }
        }
    }

    /// Asks the owner, which may be this host.
    async fn borrow(
        self: &Arc<Self>,
        workspace: &Name,
        want: u64,
        patience_ms: u64,
        settled: Vec<Settlement>,
    ) -> Option<Answer> {
        let world = self.control.host_state();
        let owner = world.state.view.serving_owner(workspace)?.clone();
        if owner == self.control.host().name {
            return Some(self.lend(workspace, want, patience_ms, &settled).await);
        }
        let address = self.peers.address_of(&owner, &world.state.view)?;
        let request = Request::Borrow {
            workspace: workspace.clone(),
            tokens: want,
            max_wait_ms: patience_ms,
            settlements: settled,
        };
        match self.peers.call(address, &request, BORROW_LIMIT).await {
            Ok(Response::Borrowed(answer)) => Some(answer),
            _ => None,
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Owner

    /// Rate that the owner lends: all of it, where it comes from a record.
    fn lent_rate(&self, world: &HostState, workspace: &str) -> Option<Rate> {
        match world.state.catalog.rate(workspace) {
            Some(rate) => Some(lendable(rate, self.portions.in_use(world, workspace, rate))),
            None => world.state.records.rate(workspace),
        }
    }

    /// Lends tokens of a workspace that this host owns.
    pub async fn lend(
        self: &Arc<Self>,
        workspace: &Name,
        want: u64,
        patience_ms: u64,
        settled: &[Settlement],
    ) -> Answer {
        let world = self.control.host_state();
        let owns = world.state.view.serving_owner(workspace) == Some(&self.control.host().name);
        let Some(rate) = self.lent_rate(&world, workspace) else {
            return Answer::Closed;
        };
        if !owns || !world.has_lease() {
            return Answer::Closed;
        }
        if !lock(&self.buckets).contains_key(workspace) {
            self.open_bucket(&world, workspace, rate).await;
        }
        let mut buckets = lock(&self.buckets);
        let Some(bucket) = buckets.get_mut(workspace) else {
            return Answer::Closed;
        };
        let now = now_ms();
        bucket.set_rate(now, rate);
        let answer = bucket.lend(now, want, patience_ms, settled);
        let short = matches!(answer, Answer::Empty { .. } | Answer::Reserved { .. });
        if short && want > 0 {
            self.portions.note_over(workspace);
        }
        answer
    }

    /// Gives a bucket to its new owner, once this host knows that it is not the owner any more.
    ///
    /// Without a bucket only earlier incarnations of either host can have lent; the answer then says for
    /// how long such loans have ended here.
    pub async fn hand_over(&self, workspace: &Name, index: u64) -> Option<Handover> {
        let world = self.control.wait_for_index(index).await?;
        if world.state.view.serving_owner(workspace) == Some(&self.control.host().name) {
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

    /// Starts the buckets that this host has come to own, before anybody asks for tokens.
    fn open_owned(self: &Arc<Self>, world: &Arc<HostState>) {
        let host = &self.control.host().name;
        for workspace in world.state.catalog.rate_limited_workspaces() {
            let owned = world.state.view.serving_owner(workspace) == Some(host);
            if !owned || lock(&self.buckets).contains_key(workspace) {
                continue;
            }
            let Some(rate) = self.lent_rate(world, workspace) else {
                continue;
            };
            let (limits, world, workspace) =
                (Arc::clone(self), Arc::clone(world), workspace.clone());
            tokio::spawn(async move { limits.open_bucket(&world, &workspace, rate).await });
        }
    }

    /// Starts the bucket of a workspace: full for a new rate, from the old owner where there is one,
    /// else empty from the moment at which nobody else could lend any more.
    async fn open_bucket(&self, world: &HostState, workspace: &Name, rate: Rate) {
        let tenure = lock(&self.tenures).of(workspace, &self.control.host().name);
        let Some(tenure) = tenure else {
            return;
        };
        let id = hemlockcrank_core::record::Id::new(
            hemlockcrank_core::record::Kind::Rate,
            workspace.clone(),
        );
        let accepted_at = world
            .state
            .records
            .get(&id)
            .map_or(0, |record| record.index);
        let now = now_ms();
        let bucket = match tenure.cause {
            _ if accepted_at > tenure.index => Bucket::full(rate, now),
            Cause::OwnerLeft => Bucket::empty(rate, tenure.since, tenure.since),
            Cause::Joined { previous: None } => Bucket::empty(rate, tenure.since, tenure.since),
            Cause::Joined {
                previous: Some(previous),
            } => {
                let address = self.peers.address_of(&previous, &world.state.view);
                let request = Request::HandOver {
                    workspace: workspace.clone(),
                    index: tenure.index,
                };
                let answer = match address {
                    Some(address) => self.peers.call(address, &request, BORROW_LIMIT).await.ok(),
                    None => None,
                };
                match answer {
                    Some(Response::HandOver(Some(handover))) => match handover.quiet_ms {
                        Some(there) => Bucket::after_quiet(rate, now, there.min(quiet_ms())),
                        None => Bucket::resume(rate, now, handover),
                    },
                    _ => Bucket::empty(rate, tenure.since, tenure.since + OLD_OWNER_MS),
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

    /// Returns tokens that would end unused, and drops buckets that have another owner; whether tokens
    /// are held.
    fn give_back_unused(self: &Arc<Self>, world: &HostState) -> bool {
        let now = now_ms();
        let within = u64::try_from(SWEEP.as_millis()).unwrap_or(u64::MAX) * 2;
        let host = &self.control.host().name;
        let owned = |workspace: &Name| world.state.view.serving_owner(workspace) == Some(host);
        lock(&self.buckets)
            .retain(|workspace, bucket| owned(workspace) || bucket.has_active_loans(now));
        let borrowers: Vec<_> = lock(&self.borrowers).clone().into_iter().collect();
        let mut holds = false;
        for (workspace, borrower) in borrowers {
            let mut purse = lock(&borrower.purse);
            holds |= purse.has_tokens();
            if !purse.expires_within(now, within) {
                continue;
            }
            let Some(settled) = purse.return_unspent(now) else {
                continue;
            };
            drop(purse);
            let limits = Arc::clone(self);
            tokio::spawn(async move {
                limits.borrow(&workspace, 0, 0, settled).await;
            });
        }
        holds
    }
}

/// For how long all loans of an earlier incarnation of this host have ended, in milliseconds.
fn quiet_ms() -> u64 {
    now_ms().saturating_sub(LOAN_MS + LOAN_MARGIN_MS)
}

/// Counts a waiting task while it waits.
struct Counted<'a>(&'a AtomicU64);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
