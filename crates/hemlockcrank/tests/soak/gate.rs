//! A proxy in front of one member, which cuts, silences and resets connections.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Pause between two looks at a cut.
const LOOK: Duration = Duration::from_millis(10);

/// What happens to connections that are open now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Strike {
    /// Connections opened before this number are silent.
    silent_below: u64,
    /// Connections opened before this number are closed.
    closed_below: u64,
}

#[derive(Debug)]
struct Inner {
    cut: Mutex<BTreeSet<IpAddr>>,
    opened: Mutex<u64>,
    strike: watch::Sender<Strike>,
}

/// The proxy; each host is known by the address that it dials from.
#[derive(Clone, Debug)]
pub(crate) struct Gate(Arc<Inner>);

impl Gate {
    /// Starts one before `target`; returns it with its address.
    pub(crate) async fn start(target: SocketAddr) -> (Self, SocketAddr) {
        let gate = Self(Arc::new(Inner {
            cut: Mutex::default(),
            opened: Mutex::default(),
            strike: watch::Sender::default(),
        }));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let accepting = gate.clone();
        tokio::spawn(async move {
            while let Ok((near, from)) = listener.accept().await {
                tokio::spawn(accepting.clone().carry(near, from.ip(), target));
            }
        });
        (gate, address)
    }

    /// Has these hosts and the member not hear each other.
    pub(crate) fn cut<I>(&self, hosts: I)
    where
        I: IntoIterator<Item = IpAddr>,
    {
        self.0.cut.lock().expect("cut").extend(hosts);
    }

    /// Ends all cuts.
    pub(crate) fn join(&self) {
        self.0.cut.lock().expect("cut").clear();
    }

    /// Silences all connections that are open now, for good.
    pub(crate) fn silence(&self) {
        let opened = *self.0.opened.lock().expect("count");
        self.0
            .strike
            .send_modify(|strike| strike.silent_below = opened);
    }

    /// Closes all connections that are open now.
    pub(crate) fn reset(&self) {
        let opened = *self.0.opened.lock().expect("count");
        self.0
            .strike
            .send_modify(|strike| strike.closed_below = opened);
    }

    async fn carry(self, near: TcpStream, host: IpAddr, target: SocketAddr) {
        let number = {
            let mut opened = self.0.opened.lock().expect("count");
            *opened += 1;
            *opened - 1
        };
        self.passed(host, number).await;
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let mut strike = self.0.strike.subscribe();
        tokio::select! {
            () = self.pump(number, host, near_read, far_write) => {}
            () = self.pump(number, host, far_read, near_write) => {}
            _ = strike.wait_for(|strike| number < strike.closed_below) => {}
        }
    }

    async fn pump(
        &self,
        number: u64,
        host: IpAddr,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes).await.unwrap_or(0);
            self.passed(host, number).await;
            if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
                return;
            }
        }
    }

    /// Waits while the host is cut off; for ever on a connection that has gone silent.
    async fn passed(&self, host: IpAddr, number: u64) {
        loop {
            let silent = number < self.0.strike.borrow().silent_below;
            if !silent && !self.0.cut.lock().expect("cut").contains(&host) {
                return;
            }
            sleep(LOOK).await;
        }
    }
}
