//! A one-way road between two hosts that can be cut, silently.
//!
//! The first host's settings list the link's address as the second host's peer address. While the link is
//! cut, connections stay open and carry nothing, as when a firewall drops packets.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task::JoinSet,
};

/// Bytes that are carried at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// A running link; ends when dropped.
#[derive(Debug)]
pub struct Link {
    /// Where to connect.
    pub address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
    _task: JoinSet<()>,
}

impl Link {
    /// Carries everything that arrives at `listener` to `target`.
    ///
    /// # Errors
    ///
    /// When the listener has no address.
    pub fn start(listener: std::net::TcpListener, target: SocketAddr) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let cut = Arc::new(watch::Sender::new(false));
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target, Arc::clone(&cut)));
        Ok(Self {
            address,
            cut,
            _task: task,
        })
    }

    /// Cuts the link, or heals it.
    pub fn set_partitioned(&self, on: bool) {
        self.cut.send_replace(on);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, cut: Arc<watch::Sender<bool>>) {
    let mut roads = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let cut = cut.subscribe();
        roads.spawn(async move {
            healed(&mut cut.clone()).await;
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::join!(
                carry(near_in, far_out, cut.clone()),
                carry(far_in, near_out, cut)
            );
        });
    }
}

async fn carry(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut cut: watch::Receiver<bool>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read) = from.read(&mut chunk).await {
        healed(&mut cut).await;
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

async fn healed(cut: &mut watch::Receiver<bool>) {
    let _ = cut.wait_for(|cut| !cut).await;
}
