//! Watching databases, and carrying out changes of primary.
//!
//! One task looks at the committed view and directory again and again. For the databases that this host
//! watches it reports what it sees to the control leader and tells members that do not follow the
//! present primary to do so. For a change of primary that names this host it runs the
//! [`Handoff`](hemlockcrank_core::failover::Handoff).

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hemlockcrank_core::{
    Name,
    directory::{Database, Directory, Promotion, Role},
    failover::{Detector, Handoff, Order, POLL_MS, Report, Status, Step, WATCHERS_PER_DATABASE},
    membership::View,
    state::Command,
};

use crate::{
    clock::now_ms,
    context::Context,
    control::World,
    event::Event,
    sync::lock,
    upstream::{Sample, Upstream, Watching},
};

/// Interval between two looks.
const LOOK: Duration = Duration::from_millis(POLL_MS / 2);
/// Interval between two reports that say nothing new, in milliseconds.
const REPORT_MS: u64 = 300;
/// Pause between two orders to the same member, in milliseconds.
const FOLLOW_MS: u64 = 500;
/// Shortest time between two assignments of watchers, in milliseconds.
const REASSIGN_MS: u64 = 500;
/// Pause between two rounds of a change of primary.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the other members once a majority has answered.
const REST_GRACE: Duration = Duration::from_millis(10);
/// Rounds after which a change of primary is left to the next executor.
const MAX_ROUNDS: u32 = 150;

/// This host's watches.
#[derive(Default)]
pub(crate) struct Watcher {
    assigned: Assigned,
    watches: HashMap<Name, Detector>,
    suspected: HashSet<Name>,
    reported_at: u64,
    told_at: HashMap<Name, u64>,
    running: Arc<Mutex<HashSet<(Name, u64)>>>,
}

/// Databases that this host watches or moves.
///
/// The watched ones take a hash of every host for every database, so they are worked out only when hosts
/// come or go or a database is new, and at most once in [`REASSIGN_MS`]: a whole zone that comes back is
/// one change. Databases that this host moves are looked up at each change of the directory.
#[derive(Default)]
struct Assigned {
    view: Arc<View>,
    directory: Arc<Directory>,
    watched: BTreeSet<Name>,
    worked_out_at: u64,
    databases: BTreeSet<Name>,
}

impl Assigned {
    /// Whether nothing is watched and nothing is waiting to be worked out.
    fn is_idle(&self, world: &World) -> bool {
        self.databases.is_empty() && Arc::ptr_eq(&self.view, &world.state.view)
    }

    /// Returns whether the assignment has changed.
    fn refresh(&mut self, now: u64, world: &World, host: &Name) -> bool {
        let state = &world.state;
        let same_view = Arc::ptr_eq(&self.view, &state.view);
        let same_directory = Arc::ptr_eq(&self.directory, &state.directory);
        let same_names = same_directory || self.directory.len() == state.directory.len();
        let rested = self.watched.is_empty() || now >= self.worked_out_at + REASSIGN_MS;
        let reassign = !(same_view && same_names) && rested;
        if !reassign && same_directory {
            return false;
        }
        if reassign {
            self.view = Arc::clone(&state.view);
            self.worked_out_at = now;
            let own = state.directory.iter().filter(|(name, _)| {
                let watchers = self.view.spread(name, WATCHERS_PER_DATABASE);
                watchers.contains(host)
            });
            self.watched = own.map(|(name, _)| name.clone()).collect();
        }
        if reassign || same_names {
            self.directory = Arc::clone(&state.directory);
        }
        let moved = state.directory.iter().filter(|(_, database)| {
            let promotion = database.promotion.as_ref();
            promotion.is_some_and(|promotion| promotion.executor == *host)
        });
        self.databases = self.watched.clone();
        self.databases.extend(moved.map(|(name, _)| name.clone()));
        true
    }
}

impl Watcher {
    /// Looks until dropped.
    pub(crate) async fn run(mut self, context: Arc<Context>) {
        let mut watch = context.control.watch();
        loop {
            let world = watch.borrow_and_update().clone();
            self.look(&context, &world);
            if self.assigned.is_idle(&world) {
                let _ = watch.changed().await;
            } else {
                tokio::time::sleep(LOOK).await;
            }
        }
    }

    fn look(&mut self, context: &Arc<Context>, world: &World) {
        let now = now_ms();
        if self
            .assigned
            .refresh(now, world, &context.control.host().name)
        {
            self.drop_others(context, world);
        }
        let mut reports = Vec::new();
        for name in self.assigned.databases.clone() {
            let Some(database) = world.state.directory.get(&name) else {
                continue;
            };
            let Some(upstream) = context.upstreams.get(world, &name) else {
                continue;
            };
            upstream.tracker.set_watching(Watching::Yes {
                primary: database.primary.clone(),
            });
            reports.push(self.watch(context, now, &name, database, &upstream));
            self.tell_followers(context, now, database, &upstream);
            let host = &context.control.host().name;
            if let Some(promotion) = &database.promotion
                && promotion.executor == *host
            {
                self.execute(context, &name, database, promotion, &upstream);
            }
        }
        self.report(context, now, reports);
    }

    /// Stops watching databases that other hosts watch now.
    fn drop_others(&mut self, context: &Context, world: &World) {
        let kept = &self.assigned.databases;
        let dropped: Vec<Name> = self
            .watches
            .keys()
            .filter(|n| !kept.contains(*n))
            .cloned()
            .collect();
        for name in dropped {
            self.watches.remove(&name);
            if let Some(upstream) = context.upstreams.get(world, &name) {
                upstream.tracker.set_watching(Watching::No);
            }
        }
    }

    fn watch(
        &mut self,
        context: &Context,
        now: u64,
        name: &Name,
        database: &Database,
        upstream: &Upstream,
    ) -> Report {
        let watch = self.watches.entry(name.clone()).or_default();
        watch.set_primary(now, database.primary.as_ref());
        let reachable = upstream.tracker.with_known(|known| {
            for (member, sample) in &known.members {
                let as_primary = sample.status.role == Role::Primary
                    && sample.status.adopted == database.term
                    && sample.reachable;
                watch.record_answer(now, member, as_primary);
            }
            known.reachable()
        });
        let suspects = watch.suspects(now);
        if suspects && self.suspected.insert(name.clone()) {
            let primary = database.primary.as_deref().unwrap_or_default();
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("database", name), ("primary", &primary)];
            context.timeline.emit(Event::PrimaryMissed, &fields);
        } else if !suspects {
            self.suspected.remove(name);
        }
        Report {
            database: name.clone(),
            term: database.term,
            suspects,
            reachable: u32::try_from(reachable).unwrap_or(u32::MAX),
        }
    }

    fn report(&mut self, context: &Context, now: u64, reports: Vec<Report>) {
        let urgent = reports.iter().any(|report| report.suspects);
        if urgent || now >= self.reported_at + REPORT_MS {
            self.reported_at = now;
            context.control.report(reports);
        }
    }

    /// Tells members that do not follow the committed primary to do so.
    fn tell_followers(
        &mut self,
        context: &Arc<Context>,
        now: u64,
        database: &Database,
        upstream: &Arc<Upstream>,
    ) {
        let Some(primary) = database.primary.clone() else {
            return;
        };
        if database.promotion.is_some() {
            return;
        }
        let strays = upstream.tracker.with_known(|known| {
            let strays = known.members.iter().filter(|(member, sample)| {
                **member != primary && is_stray(sample, &primary, database.term)
            });
            strays.map(|(member, _)| member.clone()).collect::<Vec<_>>()
        });
        for member in strays {
            let told = self.told_at.entry(member.clone()).or_default();
            if now < *told + FOLLOW_MS {
                continue;
            }
            *told = now;
            let text = format!("SELECT hemlockcrank_follow({}, '{primary}')", database.term);
            let (context, upstream) = (Arc::clone(context), Arc::clone(upstream));
            tokio::spawn(async move {
                if upstream.tracker.order(&member, text).await.is_some() {
                    let fields: [(&str, &dyn std::fmt::Display); 1] = [("member", &member)];
                    context.timeline.emit(Event::MemberFollows, &fields);
                }
            });
        }
    }

    fn execute(
        &self,
        context: &Arc<Context>,
        name: &Name,
        database: &Database,
        promotion: &Promotion,
        upstream: &Arc<Upstream>,
    ) {
        let key = (name.clone(), promotion.term);
        if !lock(&self.running).insert(key.clone()) {
            return;
        }
        let handoff = Handoff::new(
            promotion.term,
            database.members.keys().cloned(),
            database.quorum(),
            promotion.prefer.clone(),
        );
        let (context, upstream) = (Arc::clone(context), Arc::clone(upstream));
        let running = Arc::clone(&self.running);
        let (term, quorum) = (promotion.term, database.quorum());
        tokio::spawn(async move {
            carry_out(&context, &upstream, term, quorum, handoff).await;
            lock(&running).remove(&key);
        });
    }
}

/// Whether a member should be told whom to follow.
fn is_stray(sample: &Sample, primary: &Name, term: u64) -> bool {
    let behind = sample.status.adopted < term;
    let elsewhere = sample.status.adopted == term && sample.source != *primary;
    sample.reachable && (behind || elsewhere)
}

/// Runs one change of primary to its end.
async fn carry_out(
    context: &Context,
    upstream: &Upstream,
    term: u64,
    quorum: usize,
    mut handoff: Handoff,
) {
    let database = &upstream.name;
    let mut answers: Vec<(Name, Status)> = Vec::new();
    for _ in 0..MAX_ROUNDS {
        match handoff.step(&answers) {
            Step::Poll(members) => {
                tokio::time::sleep(ROUND_PAUSE).await;
                answers = tell(upstream, &members, "SELECT 1", quorum).await;
            }
            Step::Send(order, members) => {
                let text = order_text(order, term);
                answers = tell(upstream, &members, &text, quorum).await;
                if answers.is_empty() {
                    tokio::time::sleep(ROUND_PAUSE).await;
                }
            }
            Step::Done(member) => {
                let command = Command::FinishPromotion {
                    database: database.clone(),
                    term,
                    member,
                    last: handoff.base(),
                };
                let _ = context.control.command(command).await;
                return;
            }
            Step::Superseded => break,
        }
    }
    let fields: [(&str, &dyn std::fmt::Display); 2] = [("database", database), ("term", &term)];
    context.timeline.emit(Event::PromotionAbandoned, &fields);
}

fn order_text(order: Order, term: u64) -> String {
    match order {
        Order::Adopt => format!("SELECT hemlockcrank_adopt({term})"),
        Order::Promote => format!("SELECT hemlockcrank_promote({term})"),
    }
}

/// Gives the same order to several members at once; waits for a majority, and a little for the rest.
async fn tell(
    upstream: &Upstream,
    members: &[Name],
    text: &str,
    quorum: usize,
) -> Vec<(Name, Status)> {
    let orders = members.iter().map(|member| async move {
        let status = upstream.tracker.order(member, text.to_owned()).await;
        status.map(|status| (member.clone(), status))
    });
    let mut orders: FuturesUnordered<_> = orders.collect();
    let mut answers = Vec::new();
    while answers.len() < quorum {
        match orders.next().await {
            Some(answer) => answers.extend(answer),
            None => return answers,
        }
    }
    let rest = async {
        while let Some(answer) = orders.next().await {
            answers.extend(answer);
        }
    };
    let _ = tokio::time::timeout(REST_GRACE, rest).await;
    answers
}
