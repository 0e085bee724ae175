//! Calls to other hosts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hemlockcrank_core::{Name, membership::View, record::Digest};
use hemlockcrank_wire::{CallError, Client, Request, Response};

use crate::{event::Timeline, settings::Settings};

/// Default timeout of a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Clients for calls to other hosts, one per peer address.
#[derive(Debug)]
pub struct Peers {
    /// Addresses from the settings.
    configured: HashMap<Name, SocketAddr>,
    /// Peer port of all hosts, if hosts are named by their IP addresses.
    port: Option<u16>,
    timeline: Arc<Timeline>,
    proof: Name,
    clients: Mutex<HashMap<SocketAddr, Arc<Client>>>,
}

impl Peers {
    /// Creates the set of clients without opening a connection.
    pub fn new(timeline: Arc<Timeline>, settings: &Settings) -> Self {
        let configured = settings.peers.iter();
        Self {
            configured: configured.map(|p| (p.host.clone(), p.address)).collect(),
            port: (!settings.seeds.is_empty()).then(|| settings.listen.peer.port()),
            timeline,
            proof: proof(&settings.secrets.peer),
            clients: Mutex::default(),
        }
    }

    /// Proof of the peer secret, which both ends of a connection present.
    pub fn proof(&self) -> Name {
        self.proof.clone()
    }

    /// Peer address of a host: the one in the settings, otherwise the one that the host announced
    /// when it joined the view, otherwise the one that its name contains. The last case matters
    /// after a restart, when a voter has only the names of the others.
    pub fn address_of(&self, host: &str, view: &View) -> Option<SocketAddr> {
        let configured = self.configured.get(host).copied();
        let address = configured.or_else(|| view.get(host).map(|host| host.peer));
        address.or_else(|| Some(SocketAddr::new(host.parse().ok()?, self.port?)))
    }

    /// Sends a request to a peer and waits for the response.
    ///
    /// # Errors
    ///
    /// [`CallError`]. The request counts as not executed unless the error is [`CallError::Lost`].
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let client = self.client(peer);
        let frame = client.call(self.timeline.stamp(), request, timeout).await?;
        self.timeline.observe(frame.stamp);
        Ok(frame.body)
    }

    /// The same with a limit of its own on the wait for the connection.
    ///
    /// # Errors
    ///
    /// As for [`Peers::call`].
    pub(crate) async fn call_within(
        &self,
        peer: SocketAddr,
        request: &Request,
        open_limit: Duration,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let stamp = self.timeline.stamp();
        let client = self.client(peer);
        let frame = client.call_within(stamp, request, open_limit, timeout);
        let frame = frame.await?;
        self.timeline.observe(frame.stamp);
        Ok(frame.body)
    }

    fn client(&self, peer: SocketAddr) -> Arc<Client> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let new_client = || Arc::new(Client::new(peer, self.proof.clone()));
        Arc::clone(clients.entry(peer).or_insert_with(new_client))
    }
}

fn proof(secret: &str) -> Name {
    Digest::of(secret, "peer").to_hex().into()
}
