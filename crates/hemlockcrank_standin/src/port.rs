//! Ports for listeners that are started later.

use std::{
    io::ErrorKind,
    net::{IpAddr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First of the ports that are handed out. None of them is one that the system chooses for outgoing
/// connections, or for a listener that leaves the choice to it.
const FIRST_PORT: u32 = 10_000;
/// Number of ports that are handed out before the first one comes again.
const PORTS: u32 = 20_000;
/// Distance between the first ports of two processes that start one after the other.
const PROCESS_STEP: u32 = 101;

/// Number of ports handed out by this process.
static HANDED_OUT: AtomicU32 = AtomicU32::new(0);

/// An address with a free port that no other call returns for a long time: the port stays free until
/// its listener is started.
///
/// # Errors
///
/// When the address is none of this machine, or all ports are in use.
pub fn free_address(ip: IpAddr) -> std::io::Result<SocketAddr> {
    for _ in 0..PORTS {
        let number = HANDED_OUT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id()
            .wrapping_mul(PROCESS_STEP)
            .wrapping_add(number)
            % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
        let address = SocketAddr::new(ip, port);
        match TcpListener::bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {}
            bound => return bound.map(|_| address),
        }
    }
    Err(ErrorKind::AddrInUse.into())
}
