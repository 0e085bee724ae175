//! Control state: one thread, one actor, everything that the committed log decides.
//!
//! [`start`] runs a `ractor` actor on a thread of its own. The rest of the process talks to it through
//! [`Control`] and reads what it publishes as an immutable [`HostState`]; traffic never waits for it.
//!
//! - `actor`: the messages and the order in which a turn does its work.
//! - `group`: this host's part in the control group, with its journal.
//! - `formation`: how a disk that knows no group finds or forms one.
//! - `leader`: duties of the control leader: live hosts, primaries.
//! - `steward`: changes of primary in groups that replicate by themselves.
//! - `follow`: asking a parent for news and a lease.

mod actor;
mod follow;
mod formation;
mod group;
mod leader;
mod steward;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hemlockcrank_core::{
    Name,
    failover::Report,
    lease::Lease,
    membership::Host,
    placement::Place,
    state::{Command, State},
};
use hemlockcrank_wire::{Progress, ProposeReply, Request, Response};
use miette::Diagnostic;
use ractor::{Actor, ActorRef};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::watch;

use crate::{
    clock::now_ms,
    engine::Board,
    event::Timeline,
    journal::{Journal, JournalError},
    peers::{CALL_LIMIT, Peers},
    settings::Settings,
};

use actor::{Arguments, ControlActor, Message};

pub use steward::{Callbacks, Dispatch, Promotion, RequestPromotion, SendOrder};

/// Tries of a command that found no leader, before it is given up.
const PROPOSE_TRIES: u32 = 20;
/// Pause between two tries.
const PROPOSE_PAUSE: Duration = Duration::from_millis(150);

/// What this host knows, as of one moment.
#[derive(Clone, Debug, Default)]
pub struct HostState {
    /// Committed state.
    pub state: State,
    /// Authority to serve keyed requests.
    pub lease: Lease,
    /// Set while this host shuts down.
    pub draining: bool,
    /// Number of hosts in view that serve callers.
    pub serving_hosts: u64,
}

impl HostState {
    /// Whether keyed requests may be served now.
    pub fn has_lease(&self) -> bool {
        self.lease.is_valid(now_ms())
    }
}

/// How a command ended.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// No leader was found; nothing was written.
    #[error("no control leader is reachable; the command was not run")]
    #[diagnostic(
        code(control::no_leader),
        help("a majority of the control hosts must be up and connected; try again")
    )]
    NoLeader,
    /// The answer was lost.
    #[error("the answer was lost; the command may have run")]
    #[diagnostic(
        code(control::unknown),
        help("send it again with the same operation id: it takes effect once")
    )]
    Unknown,
}

/// Control state that cannot start.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// The data folder is unusable.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Journal(#[from] JournalError),
    /// The thread or its runtime cannot be started.
    #[error("the control thread cannot be started")]
    #[diagnostic(code(control::thread))]
    Thread,
}

/// What this host knows of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This host.
    pub host: Name,
    /// Role in the control group: `none`, `fresh`, `joining`, `learner`, or a role of the
    /// protocol.
    pub role: Name,
    /// Term.
    pub term: u64,
    /// Leader, if known.
    pub leader: Option<Name>,
    /// Voters.
    pub voters: Vec<Name>,
    /// Last log index in force here.
    pub applied: u64,
    /// Time left of the lease, in milliseconds.
    pub lease_ms: u64,
    /// All live hosts; progress only from the leader.
    pub hosts: Vec<Progress>,
}

/// The rest of the process's handle on the control actor.
#[derive(Clone, Debug)]
pub struct Control {
    actor: ActorRef<Message>,
    world: watch::Receiver<Arc<HostState>>,
    changes: watch::Receiver<u64>,
    peers: Arc<Peers>,
    host: Host,
}

/// Starts the control thread.
///
/// # Errors
///
/// [`StartError`] when the data folder or the thread cannot be used.
pub async fn start(
    settings: Arc<Settings>,
    host: Host,
    peers: Arc<Peers>,
    timeline: Arc<Timeline>,
    board: Arc<Board>,
    overseer: Option<Callbacks>,
) -> Result<Control, StartError> {
    let journal = match &settings.data_dir {
        Some(folder) => Some(Journal::open(folder, host.incarnation)?),
        None => None,
    };
    let (publish, world) = watch::channel(Arc::new(HostState::default()));
    let (note_change, changes) = watch::channel(0);
    let arguments = Arguments {
        settings,
        host: host.clone(),
        peers: Arc::clone(&peers),
        timeline,
        journal,
        board,
        overseer,
        publish,
        note_change,
    };
    let (ready, started) = tokio::sync::oneshot::channel();
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_thread(arguments, ready))
        .map_err(|_| StartError::Thread)?;
    let actor = started.await.map_err(|_| StartError::Thread)?;
    Ok(Control {
        actor,
        world,
        changes,
        peers,
        host,
    })
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
    /// What this host knows now.
    pub fn host_state(&self) -> Arc<HostState> {
        self.world.borrow().clone()
    }

    /// A receiver that sees every later change.
    pub fn watch(&self) -> watch::Receiver<Arc<HostState>> {
        self.world.clone()
    }

    /// A receiver that sees only changes to records and the beginning of a shutdown. A lease renewal does
    /// not wake it, so every idle caller may hold one.
    pub fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.clone()
    }

    /// Name and addresses of this host.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Answers a peer's call.
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

    /// Has a command committed, wherever the leader is; commands are safe to send again.
    ///
    /// # Errors
    ///
    /// [`CommandError`] tells whether it may have run.
    pub async fn propose(&self, command: Command) -> Result<ProposeReply, CommandError> {
        let mut unknown = false;
        let mut leader: Option<Name> = None;
        for _ in 0..PROPOSE_TRIES {
            let reply = match leader.take().and_then(|name| self.address_of(&name)) {
                Some(address) => self.propose_at(address, &command).await,
                None => match self.answer(Request::Propose(command.clone())).await {
                    Response::Proposed(reply) => Some(reply),
                    _ => None,
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
        match self.peers.call(address, &request, CALL_LIMIT).await {
            Ok(Response::Proposed(reply)) => Some(reply),
            Err(error) if !error.is_unseen() => Some(ProposeReply::Unknown),
            _ => None,
        }
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let world = self.host_state();
        self.peers.address_of(name, &world.state.view)
    }

    /// Finds the database of a workspace, committing one if there is none yet.
    pub async fn ensure_placement(&self, place: Place) -> Option<Name> {
        let world = self.host_state();
        if let Some(found) = world.state.placements.get(&place) {
            return Some(found.clone());
        }
        let state = &world.state;
        let chosen = state
            .placements
            .choose(&state.directory, &state.records, &place.service)?;
        let command = Command::Place {
            place: place.clone(),
            database: chosen,
        };
        let Ok(ProposeReply::Applied { index, .. }) = self.propose(command).await else {
            return None;
        };
        let world = self.wait_for_index(index).await?;
        world.state.placements.get(&place).cloned()
    }

    /// Waits until this host has `index` in force.
    pub async fn wait_for_index(&self, index: u64) -> Option<Arc<HostState>> {
        let mut watch = self.watch();
        let reached = watch.wait_for(|world| world.state.index >= index);
        let world = tokio::time::timeout(CALL_LIMIT, reached).await.ok()?.ok()?;
        Some(Arc::clone(&world))
    }

    /// What this host knows of the control group.
    pub async fn status(&self) -> Option<Status> {
        match self.actor.call(Message::Status, None).await {
            Ok(ractor::rpc::CallResult::Success(status)) => Some(status),
            _ => None,
        }
    }

    /// Hands over what this host's watches say.
    pub fn report(&self, reports: Vec<Report>) {
        let _ = self.actor.cast(Message::Reports(reports));
    }

    /// What this host knows, surely no older than the question; `None` when no leader confirms it.
    pub async fn read_latest(&self) -> Option<Arc<HostState>> {
        match self.call_leader(Request::Newest).await? {
            Response::Newest(Some(index)) => self.wait_for_index(index).await,
            _ => None,
        }
    }

    /// Where a platform's members and operators reach the leader, as far as this host knows.
    pub async fn leader_control_address(&self) -> Option<SocketAddr> {
        let leader = self.status().await?.leader?;
        self.host_state().state.view.get(&leader)?.control
    }

    /// Tells the leader this host's sights at once.
    pub(crate) fn notify_leader(&self) {
        let _ = self.actor.cast(Message::Sights);
    }

    /// Asks the leader, wherever it is; `None` when none answers.
    pub async fn call_leader(&self, request: Request) -> Option<Response> {
        let leader = self.status().await?.leader?;
        if leader == self.host.name {
            return Some(self.answer(request).await);
        }
        let address = self.address_of(&leader)?;
        self.peers.call(address, &request, CALL_LIMIT).await.ok()
    }

    /// Marks this host as shutting down.
    pub fn drain(&self) {
        let _ = self.actor.cast(Message::Drain);
    }

    /// Stops asking for news, so that the host may be taken out of the view.
    pub fn leave(&self) {
        let _ = self.actor.cast(Message::Leave);
    }

    /// Ends the control thread.
    pub async fn stop(&self) {
        let _ = self.actor.stop_and_wait(None, None).await;
    }
}
