//! Clients that send a great deal at once and keep their connections open.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::timeout,
};

/// Longest wait of a client until what it sends is accepted.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait of a client for an answer to its opening message.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of small pieces, in bytes.
pub(crate) const SMALL_PIECE: usize = 4_000;
/// Receive buffer of a client, in bytes: what it does not read stays at the host.
const RECEIVE_BYTES: u32 = 4_096;

/// What every client of a crowd does.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    /// Message that is answered before the rest is sent; may be empty.
    pub(crate) opening: Vec<u8>,
    /// What is sent next, without reading.
    pub(crate) message: Vec<u8>,
    /// Bytes in one write.
    pub(crate) piece: usize,
}

impl Script {
    /// Sends a message in one piece.
    pub(crate) fn new(opening: &str, message: Vec<u8>) -> Self {
        Self {
            opening: opening.into(),
            piece: message.len().max(1),
            message,
        }
    }

    /// Sends the same message in small pieces.
    pub(crate) fn in_small_pieces(self) -> Self {
        Self {
            piece: SMALL_PIECE,
            ..self
        }
    }
}

/// Connections of a crowd; closed when dropped.
#[derive(Debug, Default)]
pub(crate) struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Opens `count` connections that follow the script at the same time.
    pub(crate) async fn run(address: SocketAddr, count: usize, script: Script) -> Self {
        let script = Arc::new(script);
        let mut clients = JoinSet::new();
        for _ in 0..count {
            clients.spawn(follow(address, Arc::clone(&script)));
        }
        let clients = clients.join_all().await;
        Self(clients.into_iter().flatten().collect())
    }

    /// Number of clients whose connection the host accepted.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// Follows the script as far as the host allows; `None` if it accepts no connection.
async fn follow(address: SocketAddr, script: Arc<Script>) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .set_recv_buffer_size(RECEIVE_BYTES)
        .expect("receive buffer");
    let mut stream = socket.connect(address).await.ok()?;
    if !script.opening.is_empty() {
        let _ = stream.write_all(&script.opening).await;
        let _ = timeout(OPEN_TIMEOUT, stream.read(&mut [0; 128])).await;
    }
    let sent = async {
        for piece in script.message.chunks(script.piece) {
            if stream.write_all(piece).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let _ = timeout(SEND_TIMEOUT, sent).await;
    Some(stream)
}
