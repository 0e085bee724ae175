//! The leader's part in groups that replicate by themselves: orders out, answers in.
//!
//! Decisions are those of [`hemlockcrank_core::succession`]; here are only the calls.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use hemlockcrank_core::{
    Name,
    group::Group,
    membership::View,
    share::Shares,
    sight::Sightings,
    state::State,
    succession::{Order, Promoted, Said, Settled, Succession},
};

use crate::clock::now_ms;

/// Time after a change of view in which hosts' word on commits is not complete, in milliseconds.
const VIEW_CALM_MS: u64 = 10_000;

/// Interval at which connections are divided between hosts, in milliseconds.
const DIVIDE_MS: u64 = 1_000;

/// A boxed answer in the making.
type Answer<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Asks a member for itself.
pub type SendOrder = dyn Fn(Dispatch) -> Answer<Said> + Send + Sync;
/// Asks for a change of primary.
pub type RequestPromotion = dyn Fn(Promotion) -> Answer<Promoted> + Send + Sync;

/// An order to one member.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Service that the member belongs to.
    pub service: Name,
    /// Member.
    pub member: Name,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// What to do.
    pub order: Order,
}

/// A call for a change of primary.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// Service.
    pub service: Name,
    /// Member that takes over.
    pub member: Name,
    /// This host.
    pub holder: Name,
    /// Fencing token: the leader's term in the control group.
    pub token: u64,
    authority: Arc<AtomicU64>,
}

impl Promotion {
    /// Whether no other host can lead yet: to be asked right before the call leaves.
    pub fn is_current(&self) -> bool {
        now_ms() < self.authority.load(Ordering::Acquire)
    }
}

/// How the leader reaches members and asks for changes of primary.
#[derive(Clone)]
pub struct Callbacks {
    /// Asks a member for itself.
    pub send_order: Arc<SendOrder>,
    /// Asks for a change of primary.
    pub request_promotion: Arc<RequestPromotion>,
}

impl fmt::Debug for Callbacks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Callbacks")
    }
}

/// The leader's volatile knowledge of groups.
pub(crate) struct Steward {
    pub(crate) leadership: u64,
    pub(crate) sightings: Sightings,
    pub(crate) authority: Arc<AtomicU64>,
    view: Arc<View>,
    view_at: u64,
    successions: BTreeMap<Name, Succession>,
    shares: BTreeMap<Name, Shares>,
    divided_at: u64,
}

impl Steward {
    /// Starts the leadership of that term.
    pub(crate) fn new(leadership: u64) -> Self {
        Self {
            leadership,
            sightings: Sightings::new(leadership),
            authority: Arc::default(),
            view: Arc::default(),
            view_at: 0,
            successions: BTreeMap::new(),
            shares: BTreeMap::new(),
            divided_at: 0,
        }
    }

    /// Notes the hosts in view.
    pub(crate) fn note_view(&mut self, now: u64, view: &Arc<View>) {
        if !Arc::ptr_eq(&self.view, view) {
            self.view = Arc::clone(view);
            self.view_at = now;
            self.sightings.keep(|host| view.get(host).is_some());
        }
    }

    /// Divides the members' connections between the hosts, once all of them have spoken of a service.
    pub(crate) fn divide(&mut self, now: u64, state: &State) {
        if now < self.divided_at + DIVIDE_MS {
            return;
        }
        self.divided_at = now;
        let hosts = state.view.serving().count();
        for (service, _) in state.groups.iter() {
            let Some(known) = state.catalog.service(service) else {
                continue;
            };
            let uses: Vec<(Name, u64)> = self
                .sightings
                .uses(service)
                .filter(|(host, _)| state.view.serves(host))
                .collect();
            if hosts > 0 && uses.len() == hosts {
                let shares = self.shares.entry(service.clone()).or_default();
                shares.update(known.connections, uses);
            }
        }
    }

    /// A host's connections at each member of a service, by service.
    pub(crate) fn shares_of(&self, host: &str) -> Vec<(Name, u32)> {
        let shares = self.shares.iter();
        let of = |(service, shares): (&Name, &Shares)| Some((service.clone(), shares.of(host)?));
        shares.filter_map(of).collect()
    }

    /// How far the hosts have let go of a primary. A host that left or restarted lately may have
    /// acknowledged what nobody else has heard of, so then the hosts' word is not complete.
    pub(crate) fn settled<'a, I>(&self, now: u64, service: &str, group: &Group, hosts: I) -> Settled
    where
        I: IntoIterator<Item = (&'a Name, u64)>,
    {
        let settled = self.sightings.settled(now, service, group, hosts);
        Settled {
            exact: settled.exact && now >= self.view_at + VIEW_CALM_MS,
            ..settled
        }
    }

    /// Changes of primary of a service.
    pub(crate) fn succession(&mut self, service: &Name, group: &Group) -> &mut Succession {
        let fresh = || Succession::new(group);
        self.successions
            .entry(service.clone())
            .or_insert_with(fresh)
    }

    /// The call that makes `member` the primary.
    pub(crate) fn promotion(&self, service: &Name, member: Name, holder: Name) -> Promotion {
        Promotion {
            service: service.clone(),
            member,
            holder,
            token: self.leadership,
            authority: Arc::clone(&self.authority),
        }
    }
}
