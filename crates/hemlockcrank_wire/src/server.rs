//! Server for calls from peers.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, server::SendResponse};
use hemlockcrank_core::Name;
use http::{Request as HttpRequest, Response as HttpResponse, StatusCode};
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    Frame, MAX_BODY_BYTES, PROOF_HEADER, Request, Response, VERSION, VERSION_HEADER, decode, encode,
};

/// Longest pause between two parts of a request's body.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent calls on one peer connection.
const MAX_STREAMS: u32 = 10_000;
/// Maximum size of a request's headers, in bytes; those of a call have less than 1 KB.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Pause after a connection could not be accepted, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Flow-control window of each stream and of the connection, in bytes.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// A received call.
pub type Incoming = Frame<Request>;

/// Why a body could not be received.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The stream failed.
    #[error(transparent)]
    Stream(#[from] h2::Error),
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[error("body is over the limit")]
    Oversized,
    /// The next part of the body did not arrive in time.
    #[error("body stalled")]
    Stalled,
}

/// Accepts connections from peers and answers each call with `handle`, until the future is dropped.
pub async fn serve<F, R>(listener: TcpListener, proof: Name, handle: F)
where
    F: Fn(Incoming) -> R + Send + Sync + 'static,
    R: Future<Output = Frame<Response>> + Send + 'static,
{
    serve_gated(listener, proof, |stream| (stream, || ()), handle).await;
}

/// The same, with connections that `gate` wraps. What it returns with each is called once the client has
/// proved that it knows the peer secret.
pub async fn serve_gated<G, S, T, F, R>(listener: TcpListener, proof: Name, gate: G, handle: F)
where
    G: Fn(TcpStream) -> (S, T) + Send,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    T: Fn() + Send + Sync + 'static,
    F: Fn(Incoming) -> R + Send + Sync + 'static,
    R: Future<Output = Frame<Response>> + Send + 'static,
{
    let handle = Arc::new(handle);
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let (stream, trust) = gate(stream);
                let trust = Arc::new(trust);
                tasks.spawn(serve_peer(stream, proof.clone(), trust, Arc::clone(&handle)));
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}

async fn serve_peer<S, T, F, R>(stream: S, proof: Name, trust: Arc<T>, handle: Arc<F>)
where
    S: AsyncRead + AsyncWrite + Unpin,
    T: Fn() + Send + Sync + 'static,
    F: Fn(Incoming) -> R + Send + Sync + 'static,
    R: Future<Output = Frame<Response>> + Send + 'static,
{
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake(stream);
    let Ok(Ok(mut connection)) = timeout(READ_TIMEOUT, handshake).await else {
        return;
    };
    let mut calls = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            next = connection.accept() => {
                let Some(Ok((request, reply))) = next else {
                    return;
                };
                let (proof, trust) = (proof.clone(), Arc::clone(&trust));
                calls.spawn(answer(request, reply, proof, trust, Arc::clone(&handle)));
            }
            Some(_) = calls.join_next() => {}
        }
    }
}

async fn answer<T, F, R>(
    request: HttpRequest<RecvStream>,
    mut reply: SendResponse<Bytes>,
    proof: Name,
    trust: Arc<T>,
    handle: Arc<F>,
) where
    T: Fn(),
    F: Fn(Incoming) -> R,
    R: Future<Output = Frame<Response>>,
{
    let accepted = accept_call(request, &proof, &*trust).await;
    let body = match accepted {
        Ok(call) => encode(&handle(call).await).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR),
        Err(status) => Err(status),
    };
    let mut head = HttpResponse::new(());
    *head.status_mut() = *body.as_ref().err().unwrap_or(&StatusCode::OK);
    let bytes: Bytes = body.unwrap_or_default().into();
    if let Ok(mut stream) = reply.send_response(head, false) {
        let _ = stream.send_data(bytes, true);
    }
}

/// Checks the protocol version and the proof, then reads the call.
async fn accept_call<T>(
    request: HttpRequest<RecvStream>,
    proof: &str,
    trust: &T,
) -> Result<Incoming, StatusCode>
where
    T: Fn(),
{
    let header = |name: &str| request.headers().get(name).map(http::HeaderValue::as_bytes);
    if header(VERSION_HEADER) != Some(VERSION.to_string().as_bytes()) {
        return Err(StatusCode::UPGRADE_REQUIRED);
    }
    let received_proof = header(PROOF_HEADER).unwrap_or_default();
    if !bool::from(received_proof.ct_eq(proof.as_bytes())) {
        return Err(StatusCode::FORBIDDEN);
    }
    trust();
    let bytes = read_body(request.into_body(), READ_TIMEOUT)
        .await
        .map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
    decode(&bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Reads a whole body, releasing flow-control capacity after each chunk. `pause` is the longest wait
/// for the next chunk.
pub(crate) async fn read_body(mut stream: RecvStream, pause: Duration) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = timeout(pause, stream.data())
        .await
        .map_err(|_| BodyError::Stalled)?
    {
        let chunk = chunk?;
        stream.flow_control().release_capacity(chunk.len())?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(BodyError::Oversized);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
