//! The face towards callers.
//!
//! [`serve`] accepts connections. Each is a [`Session`](session::Session) that reads one [`Unit`](unit::Unit)
//! of work after another (a simple query, or the messages of an extended query up to its Sync) and
//! answers it before it reads the next. The way of a unit:
//!
//! 1. `session`: what is the proxy's own (its settings, the session's state) is answered here.
//! 2. `admission`: lease, key, zone, rate. What is refused here was not run.
//! 3. `read`, `write` or `transaction`: the statement on a database.
//!
//! Everything that a caller is told in case of failure goes through [`failure::Failure`], which keeps
//! *not run*, *ran* and *unknown* apart.

mod admission;
mod claim;
mod failure;
mod greeting;
mod own;
mod prepared;
mod read;
mod relay;
mod session;
mod transaction;
mod unit;
mod write;

use std::sync::{Arc, atomic::Ordering};

use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::{
    context::Context,
    event::Event,
    pg::{Severity, Stream, error_response},
};
use failure::Failure;

/// Accepts callers until `context` drains and all sessions have ended.
pub(crate) async fn serve(context: Arc<Context>, listener: TcpListener) {
    let mut sessions = JoinSet::new();
    let mut watch = context.control.watch();
    while !watch.borrow_and_update().draining {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    sessions.spawn(accept(Arc::clone(&context), socket));
                }
            }
            Some(ended) = sessions.join_next() => note_fault(&context, ended),
            changed = watch.changed() => {
                if changed.is_err() {
                    break;
                }
            }
        }
    }
    drop(listener);
    while let Some(ended) = sessions.join_next().await {
        note_fault(&context, ended);
    }
}

fn note_fault(context: &Context, ended: Result<(), tokio::task::JoinError>) {
    if let Err(error) = ended {
        context.timeline.emit(
            Event::Fault,
            &[("what", &"caller session"), ("error", &error)],
        );
    }
}

/// Counts a session while it is open.
struct Counted(Arc<Context>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.sessions.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept(context: Arc<Context>, socket: TcpStream) {
    let open = context.sessions.fetch_add(1, Ordering::Relaxed) + 1;
    let counted = Counted(Arc::clone(&context));
    let limits = &context.settings.limits;
    let mut stream = Stream::new(socket, limits.message_bytes);
    if open > limits.callers {
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
    if let Some(mut session) = greeting::greet(Arc::clone(&context), stream).await {
        session.run().await;
    }
    drop(counted);
}
