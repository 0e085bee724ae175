//! A TCP proxy for the connections that one host opens to another; it can be partitioned.
//!
//! The first host's settings list the link's address as the second host's peer address. While the
//! link is partitioned, connections stay open and forward nothing, as when a firewall drops packets.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task::JoinSet,
};

/// Bytes forwarded per read.
const CHUNK_BYTES: usize = 64 * 1024;

/// A running link; stops when dropped.
#[derive(Debug)]
pub struct Link {
    /// Address on which the link listens.
    pub address: SocketAddr,
    partitioned: Arc<watch::Sender<bool>>,
    _task: JoinSet<()>,
}

impl Link {
    /// Forwards every connection accepted by `listener` to `target`, in both directions.
    ///
    /// # Errors
    ///
    /// When the listener cannot be registered with the runtime or has no address.
    pub fn start(listener: std::net::TcpListener, target: SocketAddr) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let partitioned = Arc::new(watch::Sender::new(false));
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target, Arc::clone(&partitioned)));
        Ok(Self {
            address,
            partitioned,
            _task: task,
        })
    }

    /// Stops forwarding in both directions, or resumes it.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.send_replace(partitioned);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, partitioned: Arc<watch::Sender<bool>>) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let partitioned = partitioned.subscribe();
        connections.spawn(async move {
            wait_until_healed(&mut partitioned.clone()).await;
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::join!(
                forward(client_read, server_write, partitioned.clone()),
                forward(server_read, client_write, partitioned)
            );
        });
    }
}

async fn forward(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut partitioned: watch::Receiver<bool>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read) = from.read(&mut chunk).await {
        wait_until_healed(&mut partitioned).await;
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

async fn wait_until_healed(partitioned: &mut watch::Receiver<bool>) {
    let _ = partitioned.wait_for(|partitioned| !partitioned).await;
}
