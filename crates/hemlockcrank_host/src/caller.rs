//! The caller-facing side: accepts PostgreSQL connections and serves their statements.
//!
//! [`serve`] accepts connections. Each connection becomes a [`Session`](session::Session), which
//! reads one [`Unit`](unit::Unit) of work at a time (a simple query, or the messages of an extended
//! query up to its Sync) and answers it before it reads the next. A unit passes through these
//! modules:
//!
//! 1. `session` answers statements that concern only the proxy (its own settings, session state).
//! 2. `admission` checks lease, key, zone and rate. A unit that is refused here was not run.
//! 3. `read`, `write` or `transaction` runs the statement on a database.
//!
//! All errors reported to callers are built by [`failure::Failure`], which distinguishes the
//! outcomes *not run*, *ran* and *unknown*.

mod admission;
mod claim;
mod failure;
mod handshake;
mod prepared;
mod proxy_settings;
mod read;
mod relay;
mod session;
mod transaction;
mod unit;
mod write;

use std::sync::{Arc, atomic::Ordering};

use hemlockcrank_core::budget::Port;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

use crate::{
    budget::ACCEPT_PAUSE,
    context::Context,
    event::Event,
    pg::{Severity, Stream, error_response},
};
use failure::Failure;

/// Accepts callers until the host drains, then returns once all sessions have ended.
pub(crate) async fn serve(context: Arc<Context>, listener: TcpListener) {
    let mut sessions = JoinSet::new();
    let mut watch = context.control.watch();
    while !watch.borrow_and_update().draining {
        tokio::select! {
            accepted = listener.accept() => {
                match accepted {
                    Ok((socket, _)) => {
                        sessions.spawn(accept(Arc::clone(&context), socket));
                    }
                    Err(error) => {
                        context.budget.report_unaccepted(Port::Callers, &error);
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
            Some(ended) = sessions.join_next() => emit_fault(&context, ended),
            changed = watch.changed() => {
                if changed.is_err() {
                    break;
                }
            }
        }
    }
    drop(listener);
    while let Some(ended) = sessions.join_next().await {
        emit_fault(&context, ended);
    }
}

fn emit_fault(context: &Context, result: Result<(), tokio::task::JoinError>) {
    if let Err(error) = result {
        context.timeline.emit(
            Event::Fault,
            &[("what", &"caller session"), ("error", &error)],
        );
    }
}

/// Decrements the number of open sessions when dropped.
struct SessionGuard(Arc<Context>);

impl Drop for SessionGuard {
    fn drop(&mut self) {
        self.0.sessions.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept(context: Arc<Context>, socket: TcpStream) {
    let open = context.sessions.fetch_add(1, Ordering::Relaxed) + 1;
    let guard = SessionGuard(Arc::clone(&context));
    let limits = &context.settings.limits;
    let account = context.budget.open(Port::Callers);
    let mut stream = Stream::with_account(socket, limits.message_bytes, account);
    if open > context.budget.callers() {
        let failure = Failure::too_many_callers();
        let error = error_response(
            Severity::Fatal,
            failure.sqlstate,
            &failure.message,
            failure.detail(),
        );
        let _ = stream.queue(&error);
        stream.close().await;
        return;
    }
    if let Some(mut session) = handshake::open_session(Arc::clone(&context), stream).await {
        session.run().await;
    }
    drop(guard);
}
