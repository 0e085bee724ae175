//! Outgoing connections from this host's own address.

use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpSocket, TcpStream};

/// Connects to `address` from the local IP address `from`.
///
/// # Errors
///
/// The errors of the socket calls.
pub async fn dial(from: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
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
