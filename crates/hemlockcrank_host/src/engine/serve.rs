//! Accepts callers.

use std::sync::{Arc, atomic::Ordering};

use tokio::net::TcpListener;

use super::{Proxy, session::Session};
use crate::event::Event;

/// Accepts callers and runs their sessions, until dropped.
pub(crate) async fn serve(proxy: Arc<Proxy>, listener: TcpListener) {
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let open_sessions = proxy.sessions.fetch_add(1, Ordering::Relaxed);
        if open_sessions >= proxy.settings.limits.callers {
            proxy.sessions.fetch_sub(1, Ordering::Relaxed);
            proxy
                .timeline
                .emit(Event::CallerRefused, &[("reason", &"too many sessions")]);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let proxy = Arc::clone(&proxy);
        tokio::spawn(async move {
            let count = SessionCount(Arc::clone(&proxy));
            Session::new(proxy, stream).run(caller).await;
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
