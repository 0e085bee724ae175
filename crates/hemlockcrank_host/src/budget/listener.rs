//! Accepts connections of HTTP clients, each with an account.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hemlockcrank_core::budget::Port;
use tokio::{net::TcpListener, time::sleep};

use super::{Budget, Metered};

/// Pause after a connection could not be accepted, for want of descriptors as a rule.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections to a port.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    budget: Arc<Budget>,
    port: Port,
}

impl Listener {
    /// Opens an account for each connection to `port`.
    pub fn new(socket: TcpListener, budget: Arc<Budget>, port: Port) -> Self {
        Self {
            socket,
            budget,
            port,
        }
    }
}

impl axum::serve::Listener for Listener {
    type Io = Metered;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Metered, SocketAddr) {
        loop {
            match self.socket.accept().await {
                Ok((stream, client)) => {
                    let account = Arc::new(self.budget.open(self.port));
                    return (Metered::new(stream, account), client);
                }
                Err(error) => {
                    self.budget.report_unaccepted(self.port, &error);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}
