//! Connections of callers whose orders have no number of their own, with what is known of when such
//! an order can have been sent at the earliest; see [`hemlockcrank_core::arrival`].
//!
//! A [`Listener`] asks the system for the next connection at least every 200 ms. A
//! connection that it accepts was opened after the last time at which none was waiting, however long
//! this process stood still meanwhile.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use axum::{extract::connect_info::Connected, serve::IncomingStream};
use hemlockcrank_core::{Name, arrival::Arrival, budget::Port, group::Groups};
use tokio::{
    io,
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    budget::{Budget, Metered},
    clock::now_ms,
    control::Control,
};

/// Longest interval between two looks at the connections that wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of connections that may wait.
const BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// A moment before a connection was opened, and what this host knew then.
#[derive(Clone, Debug)]
struct Moment {
    arrival: Arrival,
    groups: Arc<Groups>,
}

impl Moment {
    fn now(control: &Control) -> Self {
        let at = now_ms();
        let host = control.host_state();
        Self {
            arrival: Arrival {
                at,
                index: host.state.index,
            },
            groups: Arc::clone(&host.state.groups),
        }
    }
}

/// What is known of a connection and of its caller.
#[derive(Clone, Debug)]
pub struct Contact {
    opened_after: Moment,
    /// The member that has announced itself on this connection last, and the start of its process.
    member: Arc<Mutex<Option<(Name, u64)>>>,
}

impl Contact {
    /// A moment before any order on this connection was sent.
    pub fn arrival(&self) -> Arrival {
        self.opened_after.arrival
    }

    /// Notes that a member has announced itself on this connection.
    pub fn note_member(&self, member: &Name, born: u64) {
        let mut known = self.member.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some((member.clone(), born));
    }

    /// Start of the member's process that has announced itself on this connection.
    pub(crate) fn announced(&self, member: &Name) -> Option<u64> {
        let announced = self.member.lock().unwrap_or_else(PoisonError::into_inner);
        let known = announced.as_ref().filter(|(name, _)| name == member);
        known.map(|(_, born)| *born)
    }

    /// Start of the member's process that was known here before the connection was opened.
    pub(crate) fn known(&self, member: &Name) -> Option<u64> {
        let found = self.opened_after.groups.find(member);
        found.map(|(_, data)| data.age.born)
    }
}

/// Accepts connections, each with its [`Contact`].
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    /// The same socket, which says at once whether a connection waits.
    look: std::net::TcpListener,
    control: Control,
    budget: Arc<Budget>,
    /// The last moment after which no connection was waiting.
    idle: Moment,
}

impl Listener {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// The system's error if the address cannot be bound.
    pub fn bind(address: SocketAddr, control: Control, budget: Arc<Budget>) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let look = socket.listen(BACKLOG)?.into_std()?;
        Ok(Self {
            socket: TcpListener::from_std(look.try_clone()?)?,
            look,
            idle: Moment::now(&control),
            control,
            budget,
        })
    }

    /// The next connection, with no longer wait than until the next look is due.
    async fn next(&mut self) -> io::Result<Option<TcpStream>> {
        let moment = Moment::now(&self.control);
        match self.look.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                return TcpStream::from_std(stream).map(Some);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.idle = moment,
            Err(error) => return Err(error),
        }
        match timeout(LOOK_INTERVAL, self.socket.accept()).await {
            Ok(accepted) => accepted.map(|(stream, _)| Some(stream)),
            Err(_) => Ok(None),
        }
    }
}

impl axum::serve::Listener for Listener {
    type Io = Metered;
    type Addr = Contact;

    async fn accept(&mut self) -> (Metered, Contact) {
        loop {
            match self.next().await {
                Ok(Some(stream)) => {
                    let contact = Contact {
                        opened_after: self.idle.clone(),
                        member: Arc::default(),
                    };
                    let account = Arc::new(self.budget.open(Port::Control));
                    return (Metered::new(stream, account), contact);
                }
                Ok(None) => {}
                Err(error) => {
                    self.budget.report_unaccepted(Port::Control, &error);
                    sleep(ERROR_PAUSE).await;
                }
            }
        }
    }

    fn local_addr(&self) -> io::Result<Contact> {
        Ok(Contact {
            opened_after: self.idle.clone(),
            member: Arc::default(),
        })
    }
}

impl Connected<IncomingStream<'_, Listener>> for Contact {
    fn connect_info(stream: IncomingStream<'_, Listener>) -> Self {
        stream.remote_addr().clone()
    }
}
