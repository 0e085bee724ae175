//! Accepts callers.

use std::sync::{Arc, atomic::Ordering};

use hemlockcrank_core::budget::Port;
use tokio::net::TcpListener;

use super::{Proxy, session::Session};
use crate::{budget::ACCEPT_PAUSE, event::Event};

/// Accepts callers and runs their sessions, until dropped.
pub(crate) async fn serve(proxy: Arc<Proxy>, listener: TcpListener) {
    loop {
        let (stream, caller) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                proxy.budget.report_unaccepted(Port::Callers, &error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let open_sessions = proxy.sessions.fetch_add(1, Ordering::Relaxed);
        if open_sessions >= proxy.budget.callers() {
            proxy.sessions.fetch_sub(1, Ordering::Relaxed);
            proxy
                .timeline
                .emit_bounded(Event::CallerRefused, &[("reason", &"too many sessions")]);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let proxy = Arc::clone(&proxy);
        let account = proxy.budget.open(Port::Callers);
        tokio::spawn(async move {
            let count = SessionCount(Arc::clone(&proxy));
            Session::new(proxy, stream, account).run(caller).await;
            drop(count);
        });
    }
}

/// Counts an open session until dropped.
struct SessionCount(Arc<Proxy>);

impl Drop for SessionCount {
    fn drop(&mut self) {
        self.0.sessions.fetch_sub(1, Ordering::Relaxed);
    }
}
