//! The links of the control hosts to each other, to the entry hosts and to the platform.

use std::net::{IpAddr, SocketAddr};

use serde_json::{Value, json};

use crate::link::Link;

/// Links from one host to all control hosts.
struct Outgoing {
    from: String,
    /// Each with the IP address of the control host.
    links: Vec<(String, Link)>,
}

/// All links.
pub(crate) struct Links {
    peers: Vec<Outgoing>,
    /// Links to the platform's promotion call, each with the IP address of its control host.
    promotions: Vec<(String, Link)>,
}

impl Links {
    /// Starts a link for each pair of a host and a control host, and from each control host to the
    /// platform.
    pub(crate) async fn start(
        controls: &[String],
        entries: &[String],
        peer_port: u16,
        promotions: SocketAddr,
    ) -> Self {
        let mut links = Self {
            peers: Vec::new(),
            promotions: Vec::new(),
        };
        for from in controls.iter().chain(entries) {
            let mut outgoing = Vec::new();
            for to in controls.iter().filter(|to| *to != from) {
                let ip: IpAddr = to.parse().expect("IP address");
                let link = start_link(SocketAddr::new(ip, peer_port)).await;
                outgoing.push((to.clone(), link));
            }
            links.peers.push(Outgoing {
                from: from.clone(),
                links: outgoing,
            });
        }
        for control in controls {
            let link = start_link(promotions).await;
            links.promotions.push((control.clone(), link));
        }
        links
    }

    /// Addresses of the other control hosts for the settings of a host.
    pub(crate) fn peers_of(&self, host: &str) -> Value {
        let outgoing = self.peers.iter().find(|outgoing| outgoing.from == host);
        let links = &outgoing.expect("a host").links;
        let peer = |(host, link): &(String, Link)| json!({"host": host, "address": link.address});
        links.iter().map(peer).collect()
    }

    /// The link of a control host to the platform.
    pub(crate) fn promotions_of(&self, host: &str) -> &Link {
        let mut links = self.promotions.iter();
        let found = links.find(|(control, _)| control == host);
        &found.expect("a control host").1
    }

    /// Holds everything that a control host and the other hosts or the platform send each other. If
    /// the links are closed, they open no new connections.
    pub(crate) async fn cut(&self, host: &str, closes: bool) {
        self.all_of(host).for_each(Link::hold);
        for link in self.all_of(host).filter(|_| closes) {
            link.hold_and_close().await;
        }
    }

    /// Passes on what is held, as far as its sender has not reset its connection.
    pub(crate) fn restore(&self, host: &str) {
        self.all_of(host).for_each(Link::release);
    }

    fn all_of(&self, host: &str) -> impl Iterator<Item = &Link> {
        let peers = self.peers.iter().flat_map(move |outgoing| {
            let links = outgoing.links.iter();
            links.filter(move |(to, _)| outgoing.from == host || to == host)
        });
        let promotions = self.promotions.iter();
        let promotions = promotions.filter(move |(control, _)| control == host);
        peers.chain(promotions).map(|(_, link)| link)
    }
}

async fn start_link(target: SocketAddr) -> Link {
    Link::start([127, 0, 0, 1].into(), target).await
}
