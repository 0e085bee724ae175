//! The control actor, which applies the committed log and publishes the resulting state.
//!
//! `start` runs a `ractor` actor on its own thread. The rest of the process sends it messages
//! through [`Control`] and reads the state that it publishes as an immutable [`HostState`];
//! requests of callers never wait for the actor.
//!
//! - `actor`: the messages and the order of the work that follows each of them.
//! - `group`: this host's membership in the control group, with its journal.
//! - `bootstrap`: how a disk that is in no group finds or forms one.
//! - `supervisor`: the leader's detection of dead hosts and failed primaries.
//! - `coordinator`: the leader's part in changes of primary in databases that replicate on their
//!   own.
//! - `promotion`: the leader's call that changes a primary; `submission`: the one that reports the usage of
//!   a window; `authority`: the right to make them; `call_report`: how they went.
//! - `reporting`: the leader's part in reports of usage.
//! - `orders`: operators' and members' orders that have no number of their own.
//! - `poller`: polling the leader, or a relay, for updates and a lease.

mod actor;
mod authority;
mod bootstrap;
mod call_report;
mod coordinator;
mod group;
mod orders;
mod poller;
mod promotion;
mod reporting;
mod submission;
mod supervisor;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hemlockcrank_core::{
    Name,
    consensus::Timing,
    failover::Report,
    lease::Lease,
    membership::Host,
    placement::PlacementKey,
    state::{Command, State},
};
use hemlockcrank_wire::{HostProgress, ProposeReply, Request, Response};
use miette::Diagnostic;
use ractor::{Actor, ActorRef};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::watch;

use crate::{
    clock::now_ms,
    engine::Primaries,
    event::Timeline,
    journal::{Journal, JournalError},
    metering::Meter,
    peers::{CALL_TIMEOUT, Peers},
    settings::Settings,
};

use actor::{Arguments, ControlActor, Message};
use group::Group;

pub use authority::Authority;
pub use call_report::{CallEnd, CallReport};
pub use coordinator::{Callbacks, Dispatch, RequestPromotion, SendOrder, SubmitUsage};
pub use orders::OrderError;
pub use promotion::Promotion;
pub use submission::Submission;

/// Attempts to propose a command before giving up when no leader answers.
const PROPOSE_ATTEMPTS: u32 = 20;
/// Pause between two attempts.
const PROPOSE_PAUSE: Duration = Duration::from_millis(150);
/// Longest random addition to an election timeout on a host with a platform, in milliseconds.
const PLATFORM_SPREAD_MS: u64 = 300;
/// Silence after which a voter is replaced on a host with a platform, in milliseconds.
const PLATFORM_SILENT_MS: u64 = 2_500;

/// State of this host at one moment: the replicated state as applied here, and this host's lease.
#[derive(Clone, Debug, Default)]
pub struct HostState {
    /// Replicated state as applied on this host.
    pub state: State,
    /// Lease under which this host serves requests with a key.
    pub lease: Lease,
    /// Set while this host shuts down.
    pub draining: bool,
    /// Number of hosts in the view that serve callers.
    pub serving_hosts: u64,
}

impl HostState {
    /// Whether this host may serve requests with a key now.
    pub fn has_lease(&self) -> bool {
        self.lease.is_valid(now_ms())
    }
}

/// What traffic has observed, which goes to the leader with each poll.
#[derive(Clone, Debug)]
pub(crate) struct Observed {
    pub(crate) primaries: Arc<Primaries>,
    pub(crate) meter: Arc<Meter>,
}

/// Why a command has no result.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// No leader was reachable; the command was not written.
    #[error("no control leader is reachable; the command was not run")]
    #[diagnostic(
        code(control::no_leader),
        help("a majority of the control hosts must be up and connected; try again")
    )]
    NoLeader,
    /// The answer was lost; the command may have been committed.
    #[error("the answer was lost; the command may have run")]
    #[diagnostic(
        code(control::unknown),
        help("send it again with the same operation id: it takes effect once")
    )]
    Unknown,
}

/// Why the control actor cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// The data folder cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Journal(#[from] JournalError),
    /// The thread or its runtime cannot be started.
    #[error("the control thread cannot be started")]
    #[diagnostic(code(control::thread))]
    Thread,
}

/// Status of the control group as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This host.
    pub host: Name,
    /// Role in the control group: `none`, `fresh`, `joining`, `learner`, or a role of the consensus
    /// protocol.
    pub role: Name,
    /// Term of the consensus protocol.
    pub term: u64,
    /// Leader, if known.
    pub leader: Option<Name>,
    /// Voters.
    pub voters: Vec<Name>,
    /// Last log index applied on this host.
    pub applied: u64,
    /// Remaining time of the lease, in milliseconds.
    pub lease_ms: u64,
    /// All hosts in the view; only the leader fills in their progress.
    pub hosts: Vec<HostProgress>,
}

/// Handle to the control actor.
#[derive(Clone, Debug)]
pub struct Control {
    actor: ActorRef<Message>,
    host_state: watch::Receiver<Arc<HostState>>,
    changes: watch::Receiver<u64>,
    peers: Arc<Peers>,
    host: Host,
}

/// Starts the control thread.
///
/// # Errors
///
/// [`StartError`] when the data folder or the thread cannot be used.
pub(crate) async fn start(
    settings: Arc<Settings>,
    host: Host,
    peers: Arc<Peers>,
    timeline: Arc<Timeline>,
    observed: Observed,
    callbacks: Option<Callbacks>,
) -> Result<Control, StartError> {
    let group = match &settings.data_dir {
        Some(folder) => {
            let journal = Journal::open(folder, host.incarnation)?;
            Some(Group::new(&host.name, journal, timing(&settings))?)
        }
        None => None,
    };
    let (publish, host_state) = watch::channel(Arc::new(HostState::default()));
    let (change_count, changes) = watch::channel(0);
    let arguments = Arguments {
        settings,
        host: host.clone(),
        peers: Arc::clone(&peers),
        timeline,
        group,
        observed,
        callbacks,
        publish,
        change_count,
    };
    let (ready, started) = tokio::sync::oneshot::channel();
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_thread(arguments, ready))
        .map_err(|_| StartError::Thread)?;
    let actor = started.await.map_err(|_| StartError::Thread)?;
    Ok(Control {
        actor,
        host_state,
        changes,
        peers,
        host,
    })
}

/// Time limits of the control group. A platform starts and stops hosts on its own, so there a
/// silent voter is replaced before a second one is likely to be lost.
fn timing(settings: &Settings) -> Timing {
    let mut timing = Timing {
        target_voters: 2 * settings.disk_losses + 1,
        ..Timing::default()
    };
    if settings.platform.is_some() {
        timing.voter_timeout_ms = PLATFORM_SILENT_MS;
        timing.election_spread_ms = PLATFORM_SPREAD_MS;
    }
    timing
}

fn run_thread(arguments: Arguments, ready: tokio::sync::oneshot::Sender<ActorRef<Message>>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return;
    };
    runtime.block_on(async move {
        if let Ok((actor, handle)) = Actor::spawn(None, ControlActor, arguments).await {
            let _ = ready.send(actor);
            let _ = handle.await;
        }
    });
}

impl Control {
    /// Current state of this host.
    pub fn host_state(&self) -> Arc<HostState> {
        self.host_state.borrow().clone()
    }

    /// A receiver that is notified of later states.
    pub fn watch(&self) -> watch::Receiver<Arc<HostState>> {
        self.host_state.clone()
    }

    /// A receiver that changes only when records, the catalog or the groups change and when a
    /// shutdown begins. A lease renewal does not wake it, so every idle caller may have one.
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Name and addresses of this host.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Answers a call from a peer.
    pub async fn answer(&self, request: Request) -> Response {
        let answer = self
            .actor
            .call(|reply| Message::Call(request, reply), None)
            .await;
        match answer {
            Ok(ractor::rpc::CallResult::Success(response)) => response,
            _ => Response::Unavailable,
        }
    }

    /// Commits a command through the current leader. Commands are idempotent, so attempts are
    /// repeated.
    ///
    /// # Errors
    ///
    /// [`CommandError`] states whether the command may have run.
    pub async fn propose(&self, command: Command) -> Result<ProposeReply, CommandError> {
        let mut unknown = false;
        let mut leader: Option<Name> = None;
        for _ in 0..PROPOSE_ATTEMPTS {
            let reply = match leader.take().and_then(|name| self.address_of(&name)) {
                Some(address) => self.propose_at(address, &command).await,
                None => match self.answer(Request::Propose(command.clone())).await {
                    Response::Proposed(reply) => Some(reply),
                    // The actor has ended and may have written the command before.
                    _ => Some(ProposeReply::Unknown),
                },
            };
            match reply {
                Some(ProposeReply::NotLeader { leader: hint }) if hint.is_some() => {
                    leader = hint.filter(|name| *name != self.host.name);
                    if leader.is_some() {
                        continue;
                    }
                }
                Some(ProposeReply::Unknown) => unknown = true,
                Some(ProposeReply::NotLeader { .. }) | None => {}
                Some(applied) => return Ok(applied),
            }
            tokio::time::sleep(PROPOSE_PAUSE).await;
        }
        if unknown {
            Err(CommandError::Unknown)
        } else {
            Err(CommandError::NoLeader)
        }
    }

    async fn propose_at(&self, address: SocketAddr, command: &Command) -> Option<ProposeReply> {
        let request = Request::Propose(command.clone());
        match self.peers.call(address, &request, CALL_TIMEOUT).await {
            Ok(Response::Proposed(reply)) => Some(reply),
            Err(error) if !error.is_unexecuted() => Some(ProposeReply::Unknown),
            _ => None,
        }
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let host_state = self.host_state();
        self.peers.address_of(name, &host_state.state.view)
    }

    /// Returns the database of a workspace; chooses and commits one if there is none yet.
    pub async fn ensure_placement(&self, place: PlacementKey) -> Option<Name> {
        let host_state = self.host_state();
        if let Some(database) = host_state.state.placements.get(&place) {
            return Some(database.clone());
        }
        let state = &host_state.state;
        let database = state
            .placements
            .choose(&state.directory, &state.records, &place.service)?;
        let command = Command::Place {
            key: place.clone(),
            database,
        };
        let Ok(ProposeReply::Applied { index, .. }) = self.propose(command).await else {
            return None;
        };
        let host_state = self.wait_for_index(index).await?;
        host_state.state.placements.get(&place).cloned()
    }

    /// Waits until this host has applied `index`, or until the time limit of a call has passed.
    pub async fn wait_for_index(&self, index: u64) -> Option<Arc<HostState>> {
        let mut watch = self.watch();
        let applied = watch.wait_for(|host_state| host_state.state.index >= index);
        let host_state = tokio::time::timeout(CALL_TIMEOUT, applied)
            .await
            .ok()?
            .ok()?;
        Some(Arc::clone(&host_state))
    }

    /// Status of the control group as this host sees it.
    pub async fn status(&self) -> Option<Status> {
        match self.actor.call(Message::Status, None).await {
            Ok(ractor::rpc::CallResult::Success(status)) => Some(status),
            _ => None,
        }
    }

    /// Sets the reports of this host's health checks, which go to the leader.
    pub fn report(&self, reports: Vec<Report>) {
        let _ = self.actor.cast(Message::Reports(reports));
    }

    /// A linearizable read: state that is no older than this call; `None` when no leader confirms
    /// it.
    pub async fn read_latest(&self) -> Option<Arc<HostState>> {
        match self.call_leader(Request::ReadIndex).await? {
            Response::ReadIndex(Some(index)) => self.wait_for_index(index).await,
            _ => None,
        }
    }

    /// Address at which the platform's members and operators reach the leader, if it is known here.
    pub async fn leader_control_address(&self) -> Option<SocketAddr> {
        let leader = self.status().await?.leader?;
        self.host_state().state.view.get(&leader)?.control
    }

    /// Sends the leader this host's current reports and observations of primaries without waiting
    /// for the next poll.
    pub(crate) fn notify_leader(&self) {
        let _ = self.actor.cast(Message::NotifyLeader);
    }

    /// Calls the current leader, which may be this host; `None` when it does not answer.
    pub async fn call_leader(&self, request: Request) -> Option<Response> {
        self.order_leader(request).await.ok()
    }

    /// As [`Self::call_leader`], for a call that has an effect.
    ///
    /// # Errors
    ///
    /// [`CommandError`] states whether the call may have had it.
    pub async fn order_leader(&self, request: Request) -> Result<Response, CommandError> {
        let status = self.status().await;
        let leader = status.and_then(|status| status.leader);
        let leader = leader.ok_or(CommandError::NoLeader)?;
        if leader == self.host.name {
            return Ok(self.answer(request).await);
        }
        let address = self.address_of(&leader).ok_or(CommandError::NoLeader)?;
        let answer = self.peers.call(address, &request, CALL_TIMEOUT).await;
        answer.map_err(|error| match error.is_unexecuted() {
            true => CommandError::NoLeader,
            false => CommandError::Unknown,
        })
    }

    /// Marks this host as shutting down.
    pub fn drain(&self) {
        let _ = self.actor.cast(Message::Drain);
    }

    /// Stops polling the leader, so that this host can be removed from the view.
    pub fn leave(&self) {
        let _ = self.actor.cast(Message::Leave);
    }

    /// Waits until the control thread has ended.
    pub(crate) async fn ended(&self) {
        let mut changes = self.watch_changes();
        while changes.changed().await.is_ok() {}
    }

    /// Ends the control thread.
    pub async fn stop(&self) {
        let _ = self.actor.stop_and_wait(None, None).await;
    }
}
