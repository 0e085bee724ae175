//! A TCP proxy in front of one member, which can block, stall and reset connections. Bytes that it
//! holds are lost if their sender resets the connection meanwhile.

use std::{
    collections::BTreeSet,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Interval between two checks whether a connection is still blocked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Connections that are stalled or closed, by the order in which they were opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Disruption {
    /// Connections with a lower number pass no more bytes.
    stalled_below: u64,
    /// Connections with a lower number are closed.
    closed_below: u64,
}

#[derive(Debug)]
struct Inner {
    /// Hosts that are partitioned from the member.
    blocked: Mutex<BTreeSet<IpAddr>>,
    /// Number of connections opened so far.
    opened: Mutex<u64>,
    disruption: watch::Sender<Disruption>,
}

/// The proxy. It identifies a host by the IP address that the host connects from.
#[derive(Clone, Debug)]
pub(crate) struct Proxy(Arc<Inner>);

impl Proxy {
    /// Starts a proxy in front of `target` and returns it with its listen address.
    pub(crate) async fn start(target: SocketAddr) -> (Self, SocketAddr) {
        let proxy = Self(Arc::new(Inner {
            blocked: Mutex::default(),
            opened: Mutex::default(),
            disruption: watch::Sender::default(),
        }));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let acceptor = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                tokio::spawn(acceptor.clone().forward(client, from.ip(), target));
            }
        });
        (proxy, address)
    }

    /// Partitions these hosts from the member.
    pub(crate) fn partition<I>(&self, hosts: I)
    where
        I: IntoIterator<Item = IpAddr>,
    {
        self.0.blocked.lock().expect("blocked").extend(hosts);
    }

    /// Ends the partition of a host.
    pub(crate) fn reconnect(&self, host: IpAddr) {
        self.0.blocked.lock().expect("blocked").remove(&host);
    }

    /// Ends all partitions.
    pub(crate) fn heal(&self) {
        self.0.blocked.lock().expect("blocked").clear();
    }

    /// Permanently stalls all connections that are open now.
    pub(crate) fn stall(&self) {
        let opened = *self.0.opened.lock().expect("count");
        self.0
            .disruption
            .send_modify(|disruption| disruption.stalled_below = opened);
    }

    /// Closes all connections that are open now.
    pub(crate) fn reset(&self) {
        let opened = *self.0.opened.lock().expect("count");
        self.0
            .disruption
            .send_modify(|disruption| disruption.closed_below = opened);
    }

    async fn forward(self, client: TcpStream, host: IpAddr, target: SocketAddr) {
        let number = {
            let mut opened = self.0.opened.lock().expect("count");
            *opened += 1;
            *opened - 1
        };
        let (client_read, client_write) = client.into_split();
        let mut from_client = Held::new(client_read);
        let unblocked = self.wait_unblocked(host, number);
        if from_client.keep_until(unblocked).await.is_err() {
            return;
        }
        let Ok(member) = TcpStream::connect(target).await else {
            return;
        };
        let (member_read, member_write) = member.into_split();
        let from_member = Held::new(member_read);
        let mut disruption = self.0.disruption.subscribe();
        tokio::select! {
            () = self.copy(number, host, from_client, member_write) => {}
            () = self.copy(number, host, from_member, client_write) => {}
            _ = disruption.wait_for(|disruption| number < disruption.closed_below) => {}
        }
    }

    /// Passes on what one end sends until it closes or resets the connection. What is held at the
    /// moment of a reset is lost.
    async fn copy(&self, number: u64, host: IpAddr, mut from: Held, mut to: OwnedWriteHalf) {
        loop {
            if !from.has_ended && from.read().await.is_err() {
                return;
            }
            let unblocked = self.wait_unblocked(host, number);
            if from.keep_until(unblocked).await.is_err()
                || to.write_all(&from.bytes).await.is_err()
                || from.has_ended
            {
                return;
            }
            from.bytes.clear();
        }
    }

    /// Waits while the host is partitioned, or for ever if the connection is stalled.
    async fn wait_unblocked(&self, host: IpAddr, number: u64) {
        loop {
            let stalled = number < self.0.disruption.borrow().stalled_below;
            if !stalled && !self.0.blocked.lock().expect("blocked").contains(&host) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// What one end has sent and the proxy has not passed on.
struct Held {
    from: OwnedReadHalf,
    bytes: Vec<u8>,
    /// Whether the end has closed the connection.
    has_ended: bool,
}

impl Held {
    fn new(from: OwnedReadHalf) -> Self {
        Self {
            from,
            bytes: Vec::new(),
            has_ended: false,
        }
    }

    /// Waits for more bytes, the end of the stream, or, after that, a reset, which is an error.
    async fn read(&mut self) -> io::Result<()> {
        if self.has_ended {
            self.from.ready(Interest::ERROR).await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.has_ended = self.from.read_buf(&mut self.bytes).await? == 0;
        Ok(())
    }

    /// Keeps what arrives until `unblocked`.
    async fn keep_until<F>(&mut self, unblocked: F) -> io::Result<()>
    where
        F: Future<Output = ()>,
    {
        tokio::pin!(unblocked);
        loop {
            tokio::select! {
                biased;
                () = &mut unblocked => return Ok(()),
                read = self.read() => read?,
            }
        }
    }
}
