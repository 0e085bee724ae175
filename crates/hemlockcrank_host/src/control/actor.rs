//! The control actor: messages, and the order in which a turn does its work.

mod ask;
mod events;
mod form;
mod lead;
mod oversee;
mod serve;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use hemlockcrank_core::{
    Name,
    consensus::{Config, Envelope, Input, Role, Timing},
    failover::Report,
    membership::Host,
    state::{Command, Reply, State},
    succession::{Order, Promoted, Said},
};
use hemlockcrank_wire::{Follow, Formation, News, ProposeReply, Request, Response, Update};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::sync::watch;

use super::{
    HostState, Status,
    follow::Following,
    formation::Founding,
    group::{Group, Work, command_of, reply, state_of},
    leader::Duties,
    steward::{Callbacks, Steward},
};
use crate::{
    clock::now_ms,
    engine::Board,
    event::{Event, Timeline},
    journal::{Journal, JournalError},
    peers::{CALL_LIMIT, Peers},
    settings::Settings,
};

/// Interval between two ticks of a host with a control disk.
const VOTER_TICK: Duration = Duration::from_millis(25);
/// Interval between two ticks of any other host.
const HOST_TICK: Duration = Duration::from_millis(50);
/// Interval between two questions of a fresh disk, in milliseconds.
const FORM_MS: u64 = 200;
/// Interval between two requests to join, in milliseconds.
const JOIN_MS: u64 = 1_000;
/// Applied entries kept for followers, also after the log is compacted; one further behind gets the whole
/// state.
const RECENT_KEPT: usize = 4_096;
/// Whole configurations among them.
const CATALOGS_KEPT: usize = 4;
/// Longest random addition to an election timeout on a platform of its own, in milliseconds.
const SITE_SPREAD_MS: u64 = 300;
/// Silence after which a voter is replaced on a platform of its own, in milliseconds.
const SITE_SILENT_MS: u64 = 2_500;

/// What the actor is told.
#[derive(Debug)]
pub(crate) enum Message {
    /// Time has passed.
    Tick,
    /// A peer's call.
    Call(Request, RpcReplyPort<Response>),
    /// A host answered how the group was formed.
    Formed(Name, Formation),
    /// A parent answered, or did not.
    News { asked_at: u64, news: Option<News> },
    /// This host's watches speak.
    Reports(Vec<Report>),
    /// This host's sights have changed and cannot wait.
    Sights,
    /// A member answered an order about itself, or did not in time.
    Answered {
        service: Name,
        order: Order,
        said: Said,
    },
    /// A promotion was answered.
    Promoted {
        service: Name,
        member: Name,
        outcome: Promoted,
    },
    /// This host shuts down.
    Drain,
    /// This host is about to be taken out of the view.
    Leave,
    /// Asks what this host knows.
    Status(RpcReplyPort<Status>),
}

/// What the actor begins with.
pub(crate) struct Arguments {
    pub(crate) settings: Arc<Settings>,
    pub(crate) host: Host,
    pub(crate) peers: Arc<Peers>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) journal: Option<Journal>,
    pub(crate) board: Arc<Board>,
    pub(crate) overseer: Option<Callbacks>,
    pub(crate) publish: watch::Sender<Arc<HostState>>,
    pub(crate) note_change: watch::Sender<u64>,
}

struct Held {
    follow: Follow,
    until: u64,
    port: RpcReplyPort<Response>,
}

pub(crate) struct ControlActor;

/// Everything the actor keeps.
pub(crate) struct Control {
    settings: Arc<Settings>,
    host: Host,
    peers: Arc<Peers>,
    timeline: Arc<Timeline>,
    publish: watch::Sender<Arc<HostState>>,
    note_change: watch::Sender<u64>,
    myself: ActorRef<Message>,
    random: ChaCha8Rng,
    group: Option<Group>,
    founding: Founding,
    form_at: u64,
    join_at: u64,
    state: State,
    /// The last applied entries, oldest first, without gaps.
    recent: VecDeque<Update>,
    following: Following,
    held: Vec<Held>,
    duties: Option<Duties>,
    role: Option<Role>,
    members: Config,
    reports: Vec<Report>,
    board: Arc<Board>,
    overseer: Option<Callbacks>,
    steward: Option<Steward>,
    had_lease: bool,
    draining: bool,
    left: bool,
    published: Option<(u64, u64, bool)>,
}

impl Actor for ControlActor {
    type Msg = Message;
    type State = Control;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<Control, ActorProcessingErr> {
        let tick = if arguments.journal.is_some() {
            VOTER_TICK
        } else {
            HOST_TICK
        };
        myself.send_interval(tick, || Message::Tick);
        Ok(Control::new(arguments, myself))
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        control: &mut Control,
    ) -> Result<(), ActorProcessingErr> {
        let turn = control.turn(message);
        if let Err(error) = &turn {
            let what = "the control journal failed; this host stops its control part";
            control
                .timeline
                .emit(Event::Fault, &[("what", &what), ("error", error)]);
        }
        Ok(turn?)
    }
}

impl Control {
    fn new(arguments: Arguments, myself: ActorRef<Message>) -> Self {
        let host = arguments.host;
        let timing = timing(&arguments.settings);
        let group = arguments.journal.map(|j| Group::new(&host.name, j, timing));
        let snapshot = group.as_ref().and_then(Group::node);
        let state = snapshot.and_then(|node| state_of(node.log().snapshot()));
        let seed = host.incarnation ^ u64::from(std::process::id()) ^ name_seed(&host.name);
        Self {
            settings: arguments.settings,
            host,
            peers: arguments.peers,
            timeline: arguments.timeline,
            publish: arguments.publish,
            note_change: arguments.note_change,
            myself,
            random: ChaCha8Rng::seed_from_u64(seed),
            group,
            founding: Founding::default(),
            form_at: 0,
            join_at: 0,
            state: state.unwrap_or_default(),
            recent: VecDeque::new(),
            following: Following::default(),
            held: Vec::new(),
            duties: None,
            role: None,
            members: Config::default(),
            reports: Vec::new(),
            board: arguments.board,
            overseer: arguments.overseer,
            steward: None,
            had_lease: false,
            draining: false,
            left: false,
            published: None,
        }
    }

    /// One message, then everything that follows from it.
    fn turn(&mut self, message: Message) -> Result<(), JournalError> {
        match message {
            Message::Tick => self.tick()?,
            Message::Call(request, port) => self.call(request, port)?,
            Message::Formed(from, formation) => self.formed(&from, formation)?,
            Message::News { asked_at, news } => self.news(asked_at, news),
            Message::Reports(reports) => self.own_reports(reports),
            Message::Sights => self.follow(now_ms(), true),
            Message::Answered {
                service,
                order,
                said,
            } => self.answered(&service, &order, said)?,
            Message::Promoted {
                service,
                member,
                outcome,
            } => self.promoted(&service, &member, outcome)?,
            Message::Drain => self.draining = true,
            Message::Leave => self.left = true,
            Message::Status(port) => reply(port, self.status()),
        }
        self.note_role();
        self.following.reached(self.state.index);
        self.answer_held();
        self.publish();
        Ok(())
    }

    // ---------------------------------------------------------------------------------------------
    // Time

    fn tick(&mut self) -> Result<(), JournalError> {
        let now = now_ms();
        let random = self.random.next_u64();
        if let Some(group) = &mut self.group {
            let work = group.step(Input::Tick { random })?;
            self.work(work);
        }
        self.form(now)?;
        self.lead(now)?;
        self.follow(now, false);
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

    fn call(&mut self, request: Request, port: RpcReplyPort<Response>) -> Result<(), JournalError> {
        match request {
            Request::Consensus(envelope) => {
                reply(port, Response::Noted);
                self.receive(Input::Receive(envelope))?;
            }
            Request::Join(id) => {
                reply(port, Response::Noted);
                self.receive(Input::Join(id))?;
            }
            Request::Form => reply(port, Response::Formation(self.formation())),
            Request::Follow(follow) => self.followed(follow, port)?,
            Request::Propose(command) => {
                let (answer, applied) = ractor::concurrency::oneshot();
                self.propose(&command, Some(answer.into()))?;
                tokio::spawn(async move {
                    let answer = applied.await.unwrap_or(ProposeReply::Unknown);
                    reply(port, Response::Proposed(answer));
                });
            }
            Request::Progress => {
                let hosts = self.duties.as_ref().map(|d| d.progress(&self.state));
                reply(port, Response::Progress(hosts));
            }
            Request::SwitchOver { database, member } => {
                let answer = match &mut self.duties {
                    Some(duties) => {
                        duties.want(database, member);
                        Response::Noted
                    }
                    None => Response::Unavailable,
                };
                reply(port, answer);
            }
            Request::Newest => {
                let newest = self.leads(now_ms()).then_some(self.state.index);
                reply(port, Response::Newest(newest));
            }
            Request::Borrow { .. }
            | Request::Portions { .. }
            | Request::HandOver { .. }
            | Request::Events => {
                reply(port, Response::Unavailable);
            }
        }
        Ok(())
    }

    fn receive(&mut self, input: Input) -> Result<(), JournalError> {
        let Some(group) = &mut self.group else {
            return Ok(());
        };
        let work = group.step(input)?;
        self.work(work);
        Ok(())
    }

    // ---------------------------------------------------------------------------------------------
    // State

    fn work(&mut self, work: Work) {
        for envelope in work.sends {
            self.send_envelope(envelope);
        }
        if let Some(snapshot) = work.restored
            && let Some(state) = state_of(&snapshot)
        {
            self.replace_state(state);
        }
        for entry in work.applied {
            let command = command_of(&entry);
            let outcome = if entry.index > self.state.index {
                self.apply(entry.index, command.as_ref())
            } else {
                Reply::Stale
            };
            if let Some(group) = &mut self.group {
                group.settle(&entry, outcome);
            }
        }
    }

    fn replace_state(&mut self, state: State) {
        if state.index > self.state.index {
            self.state = state;
            self.recent.clear();
        }
    }

    fn apply(&mut self, index: u64, command: Option<&Command>) -> Reply {
        let outcome = self.state.apply(index, command);
        if self.recent.len() == RECENT_KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(Update {
            index,
            command: command.cloned(),
        });
        if matches!(command, Some(Command::Catalog(_))) {
            self.forget_old_catalogs();
        }
        if let Some(command) = command {
            self.log_command(index, command, &outcome);
        }
        outcome
    }

    /// Keeps few of the long commands; a follower further behind gets the whole state.
    fn forget_old_catalogs(&mut self) {
        let is_catalog = |update: &Update| matches!(update.command, Some(Command::Catalog(_)));
        let mut kept = self
            .recent
            .iter()
            .filter(|update| is_catalog(update))
            .count();
        while kept > CATALOGS_KEPT {
            kept -= usize::from(
                self.recent
                    .pop_front()
                    .is_some_and(|update| is_catalog(&update)),
            );
        }
    }

    fn publish(&mut self) {
        let lease = self.following.lease();
        let key = (self.state.index, lease.until(), self.draining);
        let holds = lease.is_valid(now_ms());
        if holds != self.had_lease {
            self.had_lease = holds;
            let event = if holds {
                Event::LeaseHeld
            } else {
                Event::LeaseLost
            };
            let index = self.state.index;
            self.timeline.emit(event, &[("index", &index)]);
        }
        if self.published == Some(key) {
            return;
        }
        self.published = Some(key);
        let old = self.publish.send_replace(Arc::new(HostState {
            state: self.state.clone(),
            lease,
            draining: self.draining,
            serving_hosts: self.state.view.serving().count() as u64,
        }));
        let same_records = Arc::ptr_eq(&old.state.records, &self.state.records)
            && Arc::ptr_eq(&old.state.catalog, &self.state.catalog)
            && Arc::ptr_eq(&old.state.groups, &self.state.groups);
        if !same_records || old.draining != self.draining {
            self.note_change.send_modify(|count| *count += 1);
        }
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
            let _ = peers.call(address, &request, CALL_LIMIT).await;
        });
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        match self.redirect() {
            News::NotLeader { address, .. } => address,
            News::Updates { .. } | News::State { .. } => None,
        }
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.peers.address_of(name, &self.state.view)
    }
}

/// Time limits of the control group: where hosts come and go by themselves, a silent voter is replaced
/// within the time in which a second one may be lost.
fn timing(settings: &Settings) -> Timing {
    let mut timing = Timing::default();
    if settings.platform.is_some() {
        timing.silent_ms = SITE_SILENT_MS;
        timing.election_spread_ms = SITE_SPREAD_MS;
    }
    timing
}

fn name_seed(name: &str) -> u64 {
    name.bytes()
        .fold(0, |seed: u64, byte| seed.wrapping_mul(31) + u64::from(byte))
}
