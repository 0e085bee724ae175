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

/// Longest wait for the answer to an ordinary call.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// One client for each peer address.
#[derive(Debug)]
pub struct Peers {
    listed: HashMap<Name, SocketAddr>,
    /// Peer port of all hosts, where hosts are named by their IP numbers.
    port: Option<u16>,
    timeline: Arc<Timeline>,
    proof: Name,
    clients: Mutex<HashMap<SocketAddr, Arc<Client>>>,
}

impl Peers {
    /// No connection yet.
    pub fn new(timeline: Arc<Timeline>, settings: &Settings) -> Self {
        let listed = settings.peers.iter();
        Self {
            listed: listed.map(|p| (p.host.clone(), p.address)).collect(),
            port: (!settings.seeds.is_empty()).then(|| settings.listen.peer.port()),
            timeline,
            proof: proof(&settings.secrets.peer),
            clients: Mutex::default(),
        }
    }

    /// Proof of the peer secret that both ends present.
    pub fn proof(&self) -> Name {
        self.proof.clone()
    }

    /// Address of a host: the one in the settings, else the one it gave when it came into the view, else
    /// the one that its name says. After a restart a voter knows others by name alone.
    pub fn address_of(&self, host: &str, view: &View) -> Option<SocketAddr> {
        let listed = self.listed.get(host).copied();
        let known = listed.or_else(|| view.get(host).map(|host| host.peer));
        known.or_else(|| Some(SocketAddr::new(host.parse().ok()?, self.port?)))
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// [`CallError`]; only [`CallError::Lost`] leaves open whether the peer acted.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let client = self.client(peer);
        let frame = client.call(self.timeline.stamp(), request, limit).await?;
        self.timeline.observe(frame.stamp);
        Ok(frame.body)
    }

    fn client(&self, peer: SocketAddr) -> Arc<Client> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = || Arc::new(Client::new(peer, self.proof.clone()));
        Arc::clone(clients.entry(peer).or_insert_with(fresh))
    }
}

fn proof(secret: &str) -> Name {
    Digest::of(secret, "peer").to_hex().into()
}
