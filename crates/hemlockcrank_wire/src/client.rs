//! Client for calls to one peer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use h2::{RecvStream, client::SendRequest};
use hemlockcrank_core::{Name, clock::Stamp};
use http::{Request as HttpRequest, StatusCode};
use thiserror::Error;
use tokio::{net::TcpStream, sync::Mutex, time::timeout};

use crate::{
    CodecError, Frame, PROOF_HEADER, Request, Response, VERSION, VERSION_HEADER, decode, encode,
    server::read_body,
};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause between two parts of a body.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Flow-control window of each stream and of the connection, in bytes.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The peer could not be reached and has not received the call.
    #[error("peer {peer} was not reached")]
    Unreached {
        /// Peer address.
        peer: SocketAddr,
    },
    /// The call was sent but no answer arrived; the peer may have executed it.
    #[error("no answer from peer {peer}")]
    Lost {
        /// Peer address.
        peer: SocketAddr,
    },
    /// The peer refused the call, for example because of its protocol version or peer secret.
    #[error("peer {peer} refused the call with status {status}")]
    Refused {
        /// Peer address.
        peer: SocketAddr,
        /// HTTP status.
        status: StatusCode,
    },
    /// The request cannot be encoded or the answer cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

impl CallError {
    /// Whether the peer has certainly not executed the call. The status 500 and an answer that cannot
    /// be decoded come after it has.
    pub fn is_unexecuted(&self) -> bool {
        match self {
            Self::Unreached { .. } => true,
            Self::Lost { .. } => false,
            Self::Refused { status, .. } => *status != StatusCode::INTERNAL_SERVER_ERROR,
            Self::Codec(error) => matches!(error, CodecError::Encode(_)),
        }
    }
}

/// Connection to one peer, opened on first use and reopened when it breaks.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    proof: Name,
    sender: Mutex<Option<SendRequest<Bytes>>>,
}

impl Client {
    /// Creates a client without connecting. `proof` shows the peer that this host knows the peer
    /// secret.
    pub fn new(peer: SocketAddr, proof: Name) -> Self {
        Self {
            peer,
            proof,
            sender: Mutex::new(None),
        }
    }

    /// Address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// [`CallError`]; [`CallError::Lost`] leaves open whether the peer executed the call. `time_limit`
    /// is the longest wait for the start of the answer.
    pub async fn call(
        &self,
        stamp: Stamp,
        request: &Request,
        time_limit: Duration,
    ) -> Result<Frame<Response>, CallError> {
        self.call_within(stamp, request, CONNECT_TIMEOUT * 2, time_limit)
            .await
    }

    /// Makes one call; `open_limit` is the longest wait for the connection.
    ///
    /// # Errors
    ///
    /// As for [`Client::call`].
    pub async fn call_within(
        &self,
        stamp: Stamp,
        request: &Request,
        open_limit: Duration,
        time_limit: Duration,
    ) -> Result<Frame<Response>, CallError> {
        let peer = self.peer;
        let body = encode(&Frame {
            stamp,
            body: request,
        })?;
        let sender = timeout(open_limit, self.ready_sender()).await;
        let sender = sender.map_err(|_| CallError::Unreached { peer })??;
        let answer = match timeout(time_limit, self.send(sender, body)).await {
            Ok(Ok(stream)) => self.receive(stream).await,
            Ok(Err(error)) => Err(error),
            Err(_) => Err(CallError::Lost { peer }),
        };
        if matches!(answer, Err(CallError::Lost { .. })) {
            self.disconnect().await;
        }
        answer
    }

    async fn ready_sender(&self) -> Result<SendRequest<Bytes>, CallError> {
        let mut current = self.sender.lock().await;
        if let Some(sender) = current.clone()
            && let Ok(Ok(ready)) = timeout(CONNECT_TIMEOUT, sender.ready()).await
        {
            return Ok(ready);
        }
        *current = None;
        let connected = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let Ok(Ok(sender)) = connected else {
            return Err(CallError::Unreached { peer: self.peer });
        };
        *current = Some(sender.clone());
        sender
            .ready()
            .await
            .map_err(|_| CallError::Unreached { peer: self.peer })
    }

    async fn connect(&self) -> Result<SendRequest<Bytes>, h2::Error> {
        let stream = TcpStream::connect(self.peer)
            .await
            .map_err(|_| h2::Error::from(h2::Reason::CONNECT_ERROR))?;
        let _ = stream.set_nodelay(true);
        // The connection ends when no call is open, or when one was given up. A reset then recalls what
        // the peer has not received; after a plain close a cut link would deliver it later.
        let _ = stream.set_zero_linger();
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(stream)
            .await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "peer connection ended");
            }
        });
        Ok(sender)
    }

    /// Sends a request and waits for the head of the answer.
    async fn send(
        &self,
        mut sender: SendRequest<Bytes>,
        body: Vec<u8>,
    ) -> Result<RecvStream, CallError> {
        let peer = self.peer;
        let lost_error = |_| CallError::Lost { peer };
        let head = HttpRequest::post(format!("http://{peer}/call"))
            .header(VERSION_HEADER, VERSION)
            .header(PROOF_HEADER, &*self.proof)
            .body(())
            .map_err(|_| CallError::Unreached { peer })?;
        let (answer, mut stream) = sender
            .send_request(head, false)
            .map_err(|_| CallError::Unreached { peer })?;
        stream.send_data(body.into(), true).map_err(lost_error)?;
        let answer = answer.await.map_err(lost_error)?;
        let status = answer.status();
        if status != StatusCode::OK {
            return Err(CallError::Refused { peer, status });
        }
        Ok(answer.into_body())
    }

    /// Reads the body of an answer. A slow link may take longer than the time limit of the call, so
    /// only a pause of [`READ_TIMEOUT`] ends the call.
    async fn receive(&self, stream: RecvStream) -> Result<Frame<Response>, CallError> {
        let peer = self.peer;
        let bytes = read_body(stream, READ_TIMEOUT)
            .await
            .map_err(|_| CallError::Lost { peer })?;
        Ok(decode(&bytes)?)
    }

    async fn disconnect(&self) {
        *self.sender.lock().await = None;
    }
}
