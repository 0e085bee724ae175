//! The control actor: its messages, and the order of the work that follows each of them.

mod applying;
mod bootstrap;
mod disk;
mod events;
mod leadership;
mod polling;
mod relaying;
mod responses;
mod succession;
mod usage;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use hemlockcrank_core::{
    Name,
    consensus::{Config, Envelope, Input, Role},
    failover::Report,
    membership::{Host, HostId},
    metering,
    relay::Followers,
    state::State,
    succession::{Order, OrderReply, PromotionReply},
    updates::Updates,
};
use hemlockcrank_wire::{Division, Fetch, FetchReply, Formation, ProposeReply, Request, Response};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::sync::watch;

use disk::FailedDisk;

use super::{
    HostState, Observed, Status,
    bootstrap::Bootstrap,
    coordinator::{Callbacks, Coordinator},
    group::{Group, Proposal, reply},
    poller::Poller,
    supervisor::Supervisor,
};
use crate::{
    clock::now_ms,
    engine::Primaries,
    event::{Event, Timeline},
    journal::JournalError,
    metering::Meter,
    peers::{CALL_TIMEOUT, Peers},
    settings::Settings,
};

/// Interval between two ticks of a host with a control disk.
const VOTER_TICK: Duration = Duration::from_millis(25);
/// Interval between two ticks of any other host.
const HOST_TICK: Duration = Duration::from_millis(50);
/// Interval at which a fresh disk asks its peers for a group, in milliseconds.
const FORM_INTERVAL_MS: u64 = 200;
/// Interval between two requests to join, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 1_000;

/// Messages to the actor.
#[derive(Debug)]
pub(crate) enum Message {
    /// The tick interval has passed.
    Tick,
    /// All proposals that arrived before this message are to be written.
    Flush,
    /// A call from a peer.
    Call(Request, RpcReplyPort<Response>),
    /// A host answered whether it has a group, and which.
    FormationAnswered(Name, Formation),
    /// The polled host answered, or the poll failed or timed out.
    PollAnswered {
        asked_at: u64,
        /// Followers that the poll listed.
        listed: BTreeSet<HostId>,
        answer: Option<FetchReply>,
    },
    /// Reports of this host's health checks.
    Reports(Vec<Report>),
    /// This host's observations of primaries have changed; the leader needs them before the next
    /// poll.
    NotifyLeader,
    /// A member answered an order, or the order failed or timed out.
    OrderAnswered {
        ticket: Ticket,
        order: Order,
        reply: OrderReply,
    },
    /// The platform answered a request for a promotion.
    PromotionAnswered {
        ticket: Ticket,
        member: Name,
        number: u64,
        reply: PromotionReply,
    },
    /// The platform answered the report of a window's usage.
    UsageAnswered {
        /// Leadership that made the call.
        leadership: u64,
        number: u64,
        answer: metering::Answer,
    },
    /// This host is shutting down.
    Drain,
    /// This host is about to be removed from the view.
    Leave,
    /// Request for this host's status.
    Status(RpcReplyPort<Status>),
}

/// What an order or a promotion call belongs to. Its answer may arrive in a later change of primary
/// or in a later leadership of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    service: Name,
    /// Term of the leadership.
    leadership: u64,
    /// Change of primary in progress.
    change: Option<u64>,
}

/// Start arguments of the actor.
pub(crate) struct Arguments {
    pub(crate) settings: Arc<Settings>,
    pub(crate) host: Host,
    pub(crate) peers: Arc<Peers>,
    pub(crate) timeline: Arc<Timeline>,
    /// This host's part in the control group and the state to start from; `None` without a disk.
    pub(crate) group: Option<(Group, State)>,
    pub(crate) observed: Observed,
    pub(crate) callbacks: Option<Callbacks>,
    pub(crate) publish: watch::Sender<Arc<HostState>>,
    pub(crate) change_count: watch::Sender<u64>,
}

/// A poll that is answered when there are new entries, or at its deadline.
struct LongPoll {
    fetch: Fetch,
    received_at: u64,
    deadline: u64,
    port: RpcReplyPort<Response>,
}

pub(crate) struct ControlActor;

/// State of the actor.
pub(crate) struct ActorState {
    settings: Arc<Settings>,
    host: Host,
    peers: Arc<Peers>,
    timeline: Arc<Timeline>,
    publish: watch::Sender<Arc<HostState>>,
    change_count: watch::Sender<u64>,
    myself: ActorRef<Message>,
    random: ChaCha8Rng,
    /// `None` on a host without a disk, and while the disk fails.
    group: Option<Group>,
    failed_disk: Option<FailedDisk>,
    bootstrap: Bootstrap,
    next_form_at: u64,
    next_join_at: u64,
    state: State,
    updates: Updates,
    poller: Poller,
    /// Hosts that follow the log through this host while it does not lead.
    followers: Followers,
    /// Division of connections between them.
    division: Division,
    /// Commands to write with the next [`Message::Flush`].
    proposals: Vec<Proposal>,
    /// Hosts to add to the view, at the leader.
    pending_up: BTreeMap<Name, Host>,
    long_polls: Vec<LongPoll>,
    /// Present while this host leads the control group.
    supervisor: Option<Supervisor>,
    role: Option<Role>,
    config: Config,
    reports: Vec<Report>,
    primaries: Arc<Primaries>,
    meter: Arc<Meter>,
    callbacks: Option<Callbacks>,
    /// Present while this host leads the control group and has callbacks.
    coordinator: Option<Coordinator>,
    had_lease: bool,
    draining: bool,
    leaving: bool,
    /// Index, end of the lease and `draining` of the last published state.
    published: Option<(u64, u64, bool)>,
}

impl Actor for ControlActor {
    type Msg = Message;
    type State = ActorState;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<ActorState, ActorProcessingErr> {
        let tick = if arguments.group.is_some() {
            VOTER_TICK
        } else {
            HOST_TICK
        };
        myself.send_interval(tick, || Message::Tick);
        Ok(ActorState::new(arguments, myself))
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut ActorState,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(error) = state.handle_message(message) {
            state.leave_group(&error);
        }
        state.finish_message();
        Ok(())
    }
}

impl ActorState {
    fn new(arguments: Arguments, myself: ActorRef<Message>) -> Self {
        let host = arguments.host;
        let (group, state) = arguments.group.unzip();
        let seed = host.incarnation ^ u64::from(std::process::id()) ^ name_seed(&host.name);
        Self {
            settings: arguments.settings,
            host,
            peers: arguments.peers,
            timeline: arguments.timeline,
            publish: arguments.publish,
            change_count: arguments.change_count,
            myself,
            random: ChaCha8Rng::seed_from_u64(seed),
            group,
            failed_disk: None,
            bootstrap: Bootstrap::default(),
            next_form_at: 0,
            next_join_at: 0,
            state: state.unwrap_or_default(),
            updates: Updates::default(),
            poller: Poller::default(),
            followers: Followers::default(),
            division: Division::default(),
            proposals: Vec::new(),
            pending_up: BTreeMap::new(),
            long_polls: Vec::new(),
            supervisor: None,
            role: None,
            config: Config::default(),
            reports: Vec::new(),
            primaries: arguments.observed.primaries,
            meter: arguments.observed.meter,
            callbacks: arguments.callbacks,
            coordinator: None,
            had_lease: false,
            draining: false,
            leaving: false,
            published: None,
        }
    }

    /// Handles one message. After an error this host must leave the group.
    fn handle_message(&mut self, message: Message) -> Result<(), JournalError> {
        let groups = Arc::clone(&self.state.groups);
        match message {
            Message::Tick => self.tick()?,
            Message::Flush => self.flush_proposals()?,
            Message::Call(request, port) => self.handle_call(request, port)?,
            Message::FormationAnswered(from, formation) => self.note_formation(&from, formation)?,
            Message::PollAnswered {
                asked_at,
                listed,
                answer,
            } => self.apply_poll_answer(asked_at, listed, answer),
            Message::Reports(reports) => self.set_reports(reports),
            Message::NotifyLeader => self.poll(now_ms(), true),
            Message::OrderAnswered {
                ticket,
                order,
                reply,
            } => self.note_order_reply(&ticket, &order, reply)?,
            Message::PromotionAnswered {
                ticket,
                member,
                number,
                reply,
            } => self.note_promotion_reply(&ticket, &member, number, reply)?,
            Message::UsageAnswered {
                leadership,
                number,
                answer,
            } => self.note_usage_answer(leadership, number, answer),
            Message::Drain => self.draining = true,
            Message::Leave => {
                // Sends the last totals of usage, because no poll follows.
                if self.settings.windows().is_some() {
                    self.poll(now_ms(), true);
                }
                self.leaving = true;
            }
            Message::Status(port) => reply(port, self.status()),
        }
        self.note_role();
        if !self.state.groups.has_nominees_of(&groups) {
            // The call for a nominated member follows its nomination at once.
            self.run_successions(now_ms())?;
        }
        Ok(())
    }

    /// Answers polls and publishes the state that a message has led to.
    fn finish_message(&mut self) {
        self.note_role();
        self.poller.note_applied(self.state.index);
        self.forget_usage();
        self.answer_long_polls();
        self.publish();
    }

    // ---------------------------------------------------------------------------------------------
    // Ticks

    fn tick(&mut self) -> Result<(), JournalError> {
        let random = self.random.next_u64();
        self.rejoin_group(now_ms());
        self.step_group(Input::Tick { random })?;
        // Read after the step, which may have waited long for the disk.
        let now = now_ms();
        self.join_group(now)?;
        self.lead(now)?;
        self.relay_urgent(now);
        self.poll(now, false);
        if let Some(group) = &mut self.group
            && group.compact(&self.state)?
        {
            let index = self.state.index;
            self.timeline.emit(Event::Snapshot, &[("index", &index)]);
        }
        Ok(())
    }

    // ---------------------------------------------------------------------------------------------
    // Calls

    fn handle_call(
        &mut self,
        request: Request,
        port: RpcReplyPort<Response>,
    ) -> Result<(), JournalError> {
        match request {
            Request::Consensus(envelope) => {
                reply(port, Response::Received);
                self.step_group(Input::Receive(envelope))?;
            }
            Request::Join(id) => {
                reply(port, Response::Received);
                self.step_group(Input::Join(id))?;
            }
            Request::Formation => reply(port, Response::Formation(self.formation())),
            Request::Fetch(fetch) => self.receive_poll(fetch, port),
            Request::Propose(command) => {
                let (answer, committed) = ractor::concurrency::oneshot();
                self.propose(command, Some(answer.into()));
                tokio::spawn(async move {
                    let answer = committed.await.unwrap_or(ProposeReply::Unknown);
                    reply(port, Response::Proposed(answer));
                });
            }
            Request::Progress => {
                let hosts = self.supervisor.as_ref().map(|s| s.progress(&self.state));
                reply(port, Response::Progress(hosts));
            }
            Request::SwitchOver {
                database,
                member,
                term,
            } => {
                let state = &self.state;
                let accepted = self.supervisor.as_mut().map(|supervisor| {
                    supervisor.request_switchover(state, &database, member, term)
                });
                let answer = match accepted {
                    Some(true) => Response::Received,
                    Some(false) => Response::Stale,
                    None => Response::Unavailable,
                };
                reply(port, answer);
            }
            Request::ReadIndex => {
                let newest = self.leads(now_ms()).then_some(self.state.index);
                reply(port, Response::ReadIndex(newest));
            }
            Request::Borrow { .. }
            | Request::Portions { .. }
            | Request::HandOver { .. }
            | Request::Events
            | Request::Execute(_)
            | Request::EndTransaction(_) => {
                reply(port, Response::Unavailable);
            }
        }
        Ok(())
    }

    fn step_group(&mut self, input: Input) -> Result<(), JournalError> {
        let Some(group) = &mut self.group else {
            return Ok(());
        };
        let effects = group.step(input)?;
        self.apply_effects(effects);
        Ok(())
    }

    // ---------------------------------------------------------------------------------------------
    // Sending

    fn send_envelope(&self, envelope: Envelope) {
        if let Some(address) = self.address_of(&envelope.to.host) {
            self.send(address, Request::Consensus(envelope));
        }
    }

    fn send(&self, address: SocketAddr, request: Request) {
        let peers = Arc::clone(&self.peers);
        tokio::spawn(async move {
            let _ = peers.call(address, &request, CALL_TIMEOUT).await;
        });
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        match self.redirect() {
            FetchReply::NotLeader { address, .. } => address,
            FetchReply::Updates { .. } | FetchReply::State { .. } => None,
        }
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.peers.address_of(name, &self.state.view)
    }
}

fn name_seed(name: &str) -> u64 {
    name.bytes()
        .fold(0, |seed: u64, byte| seed.wrapping_mul(31) + u64::from(byte))
}
