//! Outgoing connections from this host's own address.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use rustix::net::sockopt;
use tokio::net::{TcpSocket, TcpStream};

/// Connects to `address` from the local IP address `from`.
///
/// # Errors
///
/// The errors of the socket calls.
pub async fn dial(from: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if from.is_ipv4() == address.is_ipv4() && !from.is_unspecified() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    socket.set_keepalive(true)?;
    socket.connect(address).await
}

/// Makes the end of the connection a reset: what the peer has not received by then is lost. After a
/// plain close the kernel sends it again for minutes, and a cut link delivers it when it is mended. Set
/// before the first byte, this also applies to a process that is killed.
///
/// # Errors
///
/// The error of the socket call.
pub fn reset_on_drop(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}

/// Takes [`reset_on_drop`] back: the end of the connection is a plain close.
///
/// # Errors
///
/// The error of the socket call.
pub fn close_on_drop(stream: &TcpStream) -> io::Result<()> {
    Ok(sockopt::set_socket_linger(stream, None)?)
}

/// Limits how long sent bytes may remain without the acknowledgement of the peer's kernel. The kernel
/// drops them after that, also while this process is stopped.
///
/// # Errors
///
/// The error of the socket call.
pub fn limit_unacknowledged(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    // Zero stands for the default of the system, and the kernel takes a positive `int`.
    let limit_ms = i32::try_from(limit.as_millis()).unwrap_or(i32::MAX);
    let limit_ms = limit_ms.max(1).unsigned_abs();
    Ok(sockopt::set_tcp_user_timeout(stream, limit_ms)?)
}
