//! Connections to callers: what was sent last arrives, also when the caller has sent more meanwhile.

use bytes::Bytes;
use hemlockcrank_host::pg::{Frame, Stream};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Bytes of a message that the host does not read any more.
const UNREAD_BYTES: usize = 4 * 1024;
const LAST_MESSAGE: &[u8] = b"E\0\0\0\x08last";

/// A caller whose key is withdrawn while its next statement waits on the connection: it gets the error,
/// not a reset connection.
#[tokio::test]
async fn the_last_message_arrives_although_input_was_left_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    let mut caller = TcpStream::connect(address).await.expect("connection");
    let (socket, _) = listener.accept().await.expect("caller");
    caller.write_all(&[b'Q'; UNREAD_BYTES]).await.expect("sent");
    socket.readable().await.expect("the statement has arrived");

    let closing = tokio::spawn(async move {
        let mut stream = Stream::new(socket, 1024);
        stream.queue_frame(&Frame {
            tag: b'E',
            bytes: Bytes::from_static(LAST_MESSAGE),
        });
        stream.close().await;
    });
    let mut received = Vec::new();
    let ended = caller.read_to_end(&mut received).await;
    drop(caller);
    closing.await.expect("closed");

    assert_eq!(received, LAST_MESSAGE);
    assert!(ended.is_ok(), "{ended:?}");
}
