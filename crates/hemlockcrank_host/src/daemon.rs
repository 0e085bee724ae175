//! Starts and stops all components of one host.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hemlockcrank_core::{membership::Host, state::Command};
use hemlockcrank_wire::{Frame, Request, Response};
use miette::Diagnostic;
use thiserror::Error;
use tokio::{net::TcpListener, sync::watch, time::sleep};

use crate::{
    caller,
    clock::wall_ms,
    context::Context,
    control::{self, Callbacks, Observed, StartError},
    engine::{self, Dependencies, Primaries, Protocol, Proxy},
    event::{Event, Timeline},
    http,
    limits::{Limits, Portions},
    metering::Meter,
    metrics::{Metrics, MetricsError},
    peers::Peers,
    phase::Phase,
    settings::Settings,
    tasks::Tasks,
    upstream::{ConnectOptions, Upstreams},
    watcher::Watcher,
};

/// Interval between two checks for sessions that are still open during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the answer to a query of the proxy itself, as a multiple of
/// `limits.silence_ms`.
const ANSWER_LIMIT_FACTOR: u32 = 2;
/// Time for which a host keeps running after it left the view, so that it can hand over the token
/// buckets that it owned.
const HANDOVER_DURATION: Duration = Duration::from_millis(700);

/// Time for the last answers to statements that still run when the process ends.
const LAST_ANSWERS_DURATION: Duration = Duration::from_millis(200);

/// Why the daemon could not start, or cannot go on.
#[derive(Debug, Error, Diagnostic)]
pub enum DaemonError {
    /// The daemon cannot listen on an address.
    #[error("cannot listen on {address} for {clients}: {source}")]
    #[diagnostic(code(daemon::listen), help("is another process using the address?"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Clients of the address.
        clients: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// The control actor could not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] StartError),
    /// A part that the host cannot do without has ended by itself.
    #[error("a part of the host has ended by itself ({part}): {cause}")]
    #[diagnostic(code(daemon::ended), help("please report it, with the log"))]
    Ended {
        /// Task or thread.
        part: &'static str,
        /// Why it ended.
        cause: String,
    },
    /// The metrics could not be set up.
    #[error(transparent)]
    #[diagnostic(code(daemon::metrics))]
    Metrics(#[from] MetricsError),
}

/// Time for which a host that serves the callers of a platform still accepts new sessions during a
/// shutdown: the load balancer needs it to notice the shutdown.
const DRAIN_NOTICE_DURATION: Duration = Duration::from_millis(2_200);

/// Adapts the host to a platform that replaces PostgreSQL.
#[derive(Debug)]
pub struct Adapter {
    /// Protocol of callers and members.
    pub protocol: Protocol,
    /// Calls of the control leader to members and to the platform.
    pub callbacks: Callbacks,
}

/// A running host. Dropping it stops the host immediately.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    tasks: Tasks,
    phase: watch::Sender<Phase>,
}

impl Daemon {
    /// Starts all components on the current runtime, with the PostgreSQL protocol.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] when an address or the data folder cannot be used.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        Self::launch(settings, None).await
    }

    /// Starts all components on the current runtime, with the adapter of a platform in place of
    /// PostgreSQL.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] when an address or the data folder cannot be used.
    pub async fn start_with(settings: Settings, adapter: Adapter) -> Result<Self, DaemonError> {
        Self::launch(settings, Some(adapter)).await
    }

    async fn launch(settings: Settings, adapter: Option<Adapter>) -> Result<Self, DaemonError> {
        let settings = Arc::new(settings);
        let caller_listener = match settings.listen.caller {
            Some(address) => Some(listen(address, "callers").await?),
            None => None,
        };
        let peer_listener = listen(settings.listen.peer, "peers").await?;
        let operator_listener = listen(settings.listen.operator, "operators").await?;
        let timeline = Arc::new(Timeline::new(settings.host.clone()));
        let peers = Arc::new(Peers::new(Arc::clone(&timeline), &settings));
        let host = Host {
            name: settings.host.clone(),
            incarnation: wall_ms(),
            zone: settings.zone.clone(),
            peer: settings.peer_address(),
            operator: settings.listen.operator,
            control: settings
                .platform
                .as_ref()
                .and_then(|platform| platform.control),
        };
        let primaries = Arc::new(Primaries::default());
        let meter = Arc::new(Meter::new(settings.windows()));
        let (protocol, callbacks) = match adapter {
            Some(adapter) => (Some(adapter.protocol), Some(adapter.callbacks)),
            None => (None, None),
        };
        let control = control::start(
            Arc::clone(&settings),
            host,
            Arc::clone(&peers),
            Arc::clone(&timeline),
            Observed {
                primaries: Arc::clone(&primaries),
                meter: Arc::clone(&meter),
            },
            callbacks,
        )
        .await?;
        let portions = Portions::new(control.clone(), Arc::clone(&peers));
        let limits = Limits::new(control.clone(), Arc::clone(&peers), Arc::clone(&portions));
        let source = ConnectOptions {
            local_address: settings.listen.peer.ip(),
            credential: settings.upstream.clone(),
            message_bytes: settings.limits.message_bytes,
            answer_limit: Duration::from_millis(settings.limits.silence_ms) * ANSWER_LIMIT_FACTOR,
        };
        let metrics = Arc::new(Metrics::new()?);
        let (phase, phases) = watch::channel(Phase::default());
        let proxy = protocol
            .filter(|_| caller_listener.is_some())
            .map(|protocol| {
                let dependencies = Dependencies {
                    settings: Arc::clone(&settings),
                    control: control.clone(),
                    peers: Arc::clone(&peers),
                    limits: Arc::clone(&limits),
                    portions: Arc::clone(&portions),
                    primaries,
                    meter,
                    timeline: Arc::clone(&timeline),
                    metrics: Arc::clone(&metrics),
                    phase: phases.clone(),
                };
                Proxy::new(protocol, dependencies)
            });
        let context = Arc::new(Context {
            settings,
            control,
            timeline,
            peers,
            upstreams: Upstreams::new(source),
            limits: Arc::clone(&limits),
            portions: Arc::clone(&portions),
            metrics,
            proxy: proxy.clone(),
            phase: phases,
            next_session: AtomicU64::new(0),
            sessions: AtomicUsize::new(0),
            cancel_targets: Mutex::new(HashMap::new()),
        });
        let mut tasks = Tasks::default();
        tasks.spawn("peers", serve_peers(Arc::clone(&context), peer_listener));
        tasks.spawn(
            "operators",
            http::serve(Arc::clone(&context), operator_listener),
        );
        if protocol.is_some() {
            tasks.spawn("portions", portions.run());
        } else {
            tasks.spawn("watcher", Watcher::default().run(Arc::clone(&context)));
        }
        match (proxy, caller_listener) {
            (Some(proxy), Some(listener)) => {
                tasks.spawn("primaries", Arc::clone(&proxy).run());
                tasks.spawn("executor", Arc::clone(&proxy).expire_transactions());
                tasks.spawn("callers", engine::serve(proxy, listener));
            }
            (None, Some(listener)) => {
                tasks.spawn("callers", caller::serve(Arc::clone(&context), listener));
            }
            (_, None) => {}
        }
        tasks.spawn("limits", limits.run());
        let listen = &context.settings.listen;
        let fields: [(&str, &dyn std::fmt::Display); 3] = [
            (
                "caller",
                &listen
                    .caller
                    .map_or_else(String::new, |caller| caller.to_string()),
            ),
            ("peer", &listen.peer),
            ("operator", &listen.operator),
        ];
        context.timeline.emit(Event::Started, &fields);
        Ok(Self {
            context,
            tasks,
            phase,
        })
    }

    /// State that the components share.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Runs another task until the host stops.
    pub fn spawn<F>(&mut self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(name, task);
    }

    /// Waits until a part that the host cannot do without has ended by itself, and gives statements
    /// that run their last answers. The process must then end too, so that it is started again:
    /// without that part it would stay up and serve nothing.
    pub async fn failed(&mut self) -> DaemonError {
        let (part, cause) = tokio::select! {
            ended = self.tasks.ended() => ended,
            () = self.context.control.ended() => ("control", "its thread ended".to_owned()),
        };
        let what = format!("{part}: {cause}");
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("what", &"a part of the host has ended"), ("error", &what)];
        self.context.timeline.emit(Event::Fault, &fields);
        self.give_last_answers().await;
        DaemonError::Ended { part, cause }
    }

    /// Stops gracefully: accepts no new callers, lets open transactions and running statements
    /// finish, and then removes the host from the view. What has not finished by then gets a last
    /// answer that says whether it may have run.
    pub async fn shut_down(mut self) {
        let context = Arc::clone(&self.context);
        context.timeline.emit(Event::Draining, &[]);
        context.control.drain();
        let limit = Duration::from_millis(context.settings.limits.drain_ms);
        let _ = tokio::time::timeout(limit, self.drain()).await;
        self.phase.send_replace(Phase::Closing);
        context.control.leave();
        tokio::join!(self.leave_view(), sleep(HANDOVER_DURATION));
        self.give_last_answers().await;
        context.timeline.emit(Event::Stopped, &[]);
        self.tasks.stop().await;
        context.control.stop().await;
    }

    /// Ends the sessions step by step.
    async fn drain(&self) {
        let limits = &self.context.settings.limits;
        let notice = match self.context.proxy {
            Some(_) => DRAIN_NOTICE_DURATION,
            None => Duration::ZERO,
        };
        let transactions = Duration::from_millis(limits.transaction_drain_ms);
        sleep(notice).await;
        self.phase.send_replace(Phase::Draining);
        let ended =
            tokio::time::timeout(transactions.saturating_sub(notice), self.sessions_ended());
        if ended.await.is_err() {
            self.phase.send_replace(Phase::Closing);
            self.sessions_ended().await;
        }
    }

    /// Removes this host from the view, unless no leader answers in time.
    async fn leave_view(&self) {
        let control = &self.context.control;
        let host = control.host();
        let command = Command::HostDown {
            name: host.name.clone(),
            incarnation: host.incarnation,
        };
        let _ = tokio::time::timeout(HANDOVER_DURATION, control.propose(command)).await;
    }

    /// Lets every statement that still runs be answered before the process ends.
    async fn give_last_answers(&self) {
        self.phase.send_replace(Phase::Ending);
        let _ = tokio::time::timeout(LAST_ANSWERS_DURATION, self.sessions_ended()).await;
    }

    async fn sessions_ended(&self) {
        while open_sessions(&self.context) > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Stops immediately, like a crash, and waits until the control thread has closed its files.
    pub async fn kill(mut self) {
        self.tasks.stop().await;
        self.context.control.stop().await;
    }
}

fn open_sessions(context: &Context) -> usize {
    let site_sessions = context.proxy.as_ref().map_or(0, |proxy| {
        proxy.sessions.load(Ordering::Relaxed) + proxy.executor.open()
    });
    site_sessions + context.sessions.load(Ordering::Relaxed)
}

async fn listen(address: SocketAddr, clients: &'static str) -> Result<TcpListener, DaemonError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| DaemonError::Listen {
        address,
        clients,
        source,
    })
}

async fn serve_peers(context: Arc<Context>, listener: TcpListener) {
    let proof = context.peers.proof();
    hemlockcrank_wire::serve(listener, proof, move |call| {
        let context = Arc::clone(&context);
        async move {
            context.timeline.observe(call.stamp);
            let body = answer(&context, call.body).await;
            Frame {
                stamp: context.timeline.stamp(),
                body,
            }
        }
    })
    .await;
}

async fn answer(context: &Context, request: Request) -> Response {
    match request {
        Request::Borrow {
            workspace,
            tokens,
            max_wait_ms,
            settlements,
        } => {
            let limits = &context.limits;
            let answer = limits.lend(&workspace, tokens, max_wait_ms, &settlements);
            Response::Borrowed(answer.await)
        }
        Request::Portions {
            host,
            index,
            requests,
        } => Response::Portions(context.portions.answer(&host, index, &requests).await),
        Request::HandOver { workspace, index } => {
            Response::HandOver(context.limits.hand_over(&workspace, index).await)
        }
        Request::Execute(request) => match &context.proxy {
            Some(proxy) => Response::Executed(Box::new(proxy.execute(*request).await)),
            None => Response::Unavailable,
        },
        Request::EndTransaction(transaction) => {
            if let Some(proxy) = &context.proxy {
                proxy.executor.end(transaction);
            }
            Response::Received
        }
        Request::Events => Response::Events(context.timeline.records()),
        other => context.control.answer(other).await,
    }
}
