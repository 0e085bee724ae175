//! All parts of one host, started and stopped together.

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
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    caller,
    clock::wall_ms,
    context::Context,
    control::{self, Callbacks, StartError},
    engine::{self, Board, Dialect, Parts, Site},
    event::{Event, Timeline},
    http,
    limits::{Limits, Portions},
    metrics::{Metrics, MetricsError},
    peers::Peers,
    settings::Settings,
    upstream::{Source, Upstreams},
    watcher::Watcher,
};

/// Interval between two looks at the sessions that remain.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Silences that a query of the proxy's own is waited for.
const ANSWER_SILENCES: u32 = 2;
/// Time that a host stays after it left the view, to hand over what it owned.
const LINGER: Duration = Duration::from_millis(700);

/// A daemon that does not start.
#[derive(Debug, Error, Diagnostic)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {clients}: {source}")]
    #[diagnostic(code(daemon::listen), help("is another process using the address?"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Which face.
        clients: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// Control state does not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Control(#[from] StartError),
    /// Metrics do not start.
    #[error(transparent)]
    #[diagnostic(code(daemon::metrics))]
    Metrics(#[from] MetricsError),
}

/// Time for which a host that shuts down still serves newcomers: the balancer needs it to notice.
const NEWCOMERS: Duration = Duration::from_millis(2_200);

/// What a platform of its own brings along.
#[derive(Debug)]
pub struct Adapter {
    /// Protocol of callers and members.
    pub dialect: Dialect,
    /// How the control leader reaches members and changes primaries.
    pub callbacks: Callbacks,
}

/// A running host; stops at once when dropped.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Starts all parts on the present runtime, with the PostgreSQL face.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] when an address or the data folder cannot be used.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        Self::launch(settings, None).await
    }

    /// Starts all parts on the present runtime, with a platform's faces in place of PostgreSQL.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] when an address or the data folder cannot be used.
    pub async fn start_with(settings: Settings, faces: Adapter) -> Result<Self, DaemonError> {
        Self::launch(settings, Some(faces)).await
    }

    async fn launch(settings: Settings, faces: Option<Adapter>) -> Result<Self, DaemonError> {
        let settings = Arc::new(settings);
        let callers = match settings.listen.caller {
            Some(address) => Some(listen(address, "callers").await?),
            None => None,
        };
        let peer_listener = listen(settings.listen.peer, "peers").await?;
        let operators = listen(settings.listen.operator, "operators").await?;
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
        let board = Arc::new(Board::default());
        let (dialect, overseer) = match faces {
            Some(faces) => (Some(faces.dialect), Some(faces.callbacks)),
            None => (None, None),
        };
        let control = control::start(
            Arc::clone(&settings),
            host,
            Arc::clone(&peers),
            Arc::clone(&timeline),
            Arc::clone(&board),
            overseer,
        )
        .await?;
        let portions = Portions::new(control.clone(), Arc::clone(&peers));
        let limits = Limits::new(control.clone(), Arc::clone(&peers), Arc::clone(&portions));
        let source = Source {
            from: settings.listen.peer.ip(),
            credential: settings.upstream.clone(),
            message_bytes: settings.limits.message_bytes,
            answer_limit: Duration::from_millis(settings.limits.silence_ms) * ANSWER_SILENCES,
        };
        let metrics = Arc::new(Metrics::new()?);
        let site = dialect.filter(|_| callers.is_some()).map(|dialect| {
            let parts = Parts {
                settings: Arc::clone(&settings),
                control: control.clone(),
                limits: Arc::clone(&limits),
                portions: Arc::clone(&portions),
                board,
                timeline: Arc::clone(&timeline),
                metrics: Arc::clone(&metrics),
            };
            Site::new(dialect, parts)
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
            site: site.clone(),
            next_session: AtomicU64::new(0),
            sessions: AtomicUsize::new(0),
            cancels: Mutex::new(HashMap::new()),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_peers(Arc::clone(&context), peer_listener));
        tasks.spawn(http::serve(Arc::clone(&context), operators));
        if dialect.is_some() {
            tasks.spawn(portions.run());
        } else {
            tasks.spawn(Watcher::default().run(Arc::clone(&context)));
        }
        match (site, callers) {
            (Some(site), Some(callers)) => {
                tasks.spawn(Arc::clone(&site).run());
                tasks.spawn(engine::serve(site, callers));
            }
            (None, Some(callers)) => {
                tasks.spawn(caller::serve(Arc::clone(&context), callers));
            }
            (_, None) => {}
        }
        tasks.spawn(limits.run());
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
        Ok(Self { context, tasks })
    }

    /// What the parts share.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Runs one more part as long as the host runs.
    pub fn spawn<F>(&mut self, part: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(part);
    }

    /// Stops gracefully: no new caller, open transactions finish, answers leave whole, then the host
    /// leaves the view.
    pub async fn shut_down(mut self) {
        let context = Arc::clone(&self.context);
        context.timeline.emit(Event::Draining, &[]);
        context.control.drain();
        let limit = Duration::from_millis(context.settings.limits.drain_ms);
        let drained = async {
            if let Some(site) = &context.site {
                tokio::time::sleep(NEWCOMERS).await;
                site.close();
            }
            while open_sessions(&context) > 0 {
                tokio::time::sleep(DRAIN_LOOK).await;
            }
        };
        let _ = tokio::time::timeout(limit, drained).await;
        context.control.leave();
        let host = context.control.host();
        let command = Command::HostDown {
            name: host.name.clone(),
            incarnation: host.incarnation,
        };
        let _ = context.control.propose(command).await;
        tokio::time::sleep(LINGER).await;
        context.timeline.emit(Event::Stopped, &[]);
        self.tasks.shutdown().await;
        context.control.stop().await;
    }

    /// Stops at once, as a crash would, and waits until the control thread has let go of its files.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.context.control.stop().await;
    }
}

fn open_sessions(context: &Context) -> usize {
    let site = context
        .site
        .as_ref()
        .map_or(0, |site| site.sessions.load(Ordering::Relaxed));
    site + context.sessions.load(Ordering::Relaxed)
}

async fn listen(address: SocketAddr, face: &'static str) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| DaemonError::Listen {
        address,
        clients: face,
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
            tokens: want,
            max_wait_ms: patience_ms,
            settlements: settled,
        } => {
            let limits = &context.limits;
            let answer = limits.lend(&workspace, want, patience_ms, &settled);
            Response::Borrowed(answer.await)
        }
        Request::Portions { host, index, asks } => {
            Response::Portions(context.portions.answer(&host, index, &asks).await)
        }
        Request::HandOver { workspace, index } => {
            Response::HandOver(context.limits.hand_over(&workspace, index).await)
        }
        Request::Events => Response::Events(context.timeline.records()),
        other => context.control.answer(other).await,
    }
}
