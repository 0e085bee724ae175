//! Accepting callers.

use std::sync::{Arc, atomic::Ordering};

use tokio::net::TcpListener;

use super::{Proxy, session::Session};
use crate::event::Event;

/// Serves callers until dropped.
pub(crate) async fn serve(site: Arc<Proxy>, listener: TcpListener) {
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let open = site.sessions.fetch_add(1, Ordering::Relaxed);
        if open >= site.settings.limits.callers {
            site.sessions.fetch_sub(1, Ordering::Relaxed);
            site.timeline
                .emit(Event::CallerRefused, &[("reason", &"too many sessions")]);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let site = Arc::clone(&site);
        tokio::spawn(async move {
            let counted = Counted(Arc::clone(&site));
            Session::new(site, stream).run(caller).await;
            drop(counted);
        });
    }
}

/// Counts a session until dropped.
struct Counted(Arc<Proxy>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.sessions.fetch_sub(1, Ordering::Relaxed);
    }
}
