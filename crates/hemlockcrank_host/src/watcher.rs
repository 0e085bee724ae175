//! Watches databases and executes changes of primary.
//!
//! One task checks the committed view and directory periodically. For the databases that this host
//! watches, it reports the status of the members to the control leader and orders members that do
//! not follow the committed primary to do so. For a change of primary that has this host as its
//! executor, it runs the [`Handoff`].

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
    control::HostState,
    event::Event,
    sync::lock,
    upstream::{Sample, Upstream, Watching},
};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(POLL_MS / 2);
/// Interval between two reports while no primary is suspected, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 300;
/// Pause between two orders to the same member, in milliseconds.
const FOLLOW_INTERVAL_MS: u64 = 500;
/// Shortest time between two assignments of watchers, in milliseconds.
const REASSIGN_INTERVAL_MS: u64 = 500;
/// Pause between two rounds of a change of primary.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the other members once a majority has answered.
const GRACE_PERIOD: Duration = Duration::from_millis(10);
/// Rounds after which a change of primary is left to the next executor.
const MAX_ROUNDS: u32 = 150;

/// State of the task that watches databases for this host.
#[derive(Default)]
pub(crate) struct Watcher {
    assignment: Assignment,
    detectors: HashMap<Name, Detector>,
    /// Databases whose primary is suspected, so that the event is emitted once.
    suspected: HashSet<Name>,
    reported_at: u64,
    /// When each member was last ordered to follow its primary.
    ordered_at: HashMap<Name, u64>,
    /// Changes of primary in progress on this host, by database and term.
    running: Arc<Mutex<HashSet<(Name, u64)>>>,
}

/// Databases that this host watches, or whose change of primary it executes.
///
/// Assigning the watched databases takes a hash of every host for every database. It is repeated
/// only when hosts join or leave or a database is added, and at most once in
/// [`REASSIGN_INTERVAL_MS`], so that the return of a whole zone counts as one change. The databases
/// whose change of primary this host executes are looked up at each change of the directory.
#[derive(Default)]
struct Assignment {
    view: Arc<View>,
    directory: Arc<Directory>,
    watched: BTreeSet<Name>,
    assigned_at: u64,
    /// All databases to check: the watched ones and those whose change of primary runs here.
    databases: BTreeSet<Name>,
}

impl Assignment {
    /// Whether there is no database to check and the assignment is up to date with the view.
    fn is_idle(&self, host_state: &HostState) -> bool {
        self.databases.is_empty() && Arc::ptr_eq(&self.view, &host_state.state.view)
    }

    /// Updates the assignment; returns whether it was recomputed.
    fn refresh(&mut self, now: u64, host_state: &HostState, host: &Name) -> bool {
        let state = &host_state.state;
        let same_view = Arc::ptr_eq(&self.view, &state.view);
        let same_directory = Arc::ptr_eq(&self.directory, &state.directory);
        let same_databases = same_directory || self.directory.len() == state.directory.len();
        let interval_passed =
            self.watched.is_empty() || now >= self.assigned_at + REASSIGN_INTERVAL_MS;
        let reassign = !(same_view && same_databases) && interval_passed;
        if !reassign && same_directory {
            return false;
        }
        if reassign {
            self.view = Arc::clone(&state.view);
            self.assigned_at = now;
            let watched = state.directory.iter().filter(|(name, _)| {
                let watchers = self.view.select_across_zones(name, WATCHERS_PER_DATABASE);
                watchers.contains(host)
            });
            self.watched = watched.map(|(name, _)| name.clone()).collect();
        }
        if reassign || same_databases {
            self.directory = Arc::clone(&state.directory);
        }
        let executed = state.directory.iter().filter(|(_, database)| {
            let promotion = database.promotion.as_ref();
            promotion.is_some_and(|promotion| promotion.executor == *host)
        });
        self.databases = self.watched.clone();
        self.databases
            .extend(executed.map(|(name, _)| name.clone()));
        true
    }
}

impl Watcher {
    /// Checks the databases until dropped.
    pub(crate) async fn run(mut self, context: Arc<Context>) {
        let mut receiver = context.control.watch();
        loop {
            let host_state = receiver.borrow_and_update().clone();
            self.check(&context, &host_state);
            if self.assignment.is_idle(&host_state) {
                let _ = receiver.changed().await;
            } else {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Checks all assigned databases once, and sends the reports and orders that result.
    fn check(&mut self, context: &Arc<Context>, host_state: &HostState) {
        let now = now_ms();
        if self
            .assignment
            .refresh(now, host_state, &context.control.host().name)
        {
            self.stop_unassigned(context, host_state);
        }
        let mut reports = Vec::new();
        for name in self.assignment.databases.clone() {
            let Some(database) = host_state.state.directory.get(&name) else {
                continue;
            };
            let Some(upstream) = context.upstreams.get(host_state, &name) else {
                continue;
            };
            upstream.tracker.set_watching(Watching::Yes {
                primary: database.primary.clone(),
            });
            reports.push(self.detect_failure(context, now, &name, database, &upstream));
            self.send_follow_orders(context, now, database, &upstream);
            let host = &context.control.host().name;
            if let Some(promotion) = &database.promotion
                && promotion.executor == *host
            {
                self.execute(context, &name, database, promotion, &upstream);
            }
        }
        self.send_reports(context, now, reports);
    }

    /// Stops watching databases that are no longer assigned to this host.
    fn stop_unassigned(&mut self, context: &Context, host_state: &HostState) {
        let assigned = &self.assignment.databases;
        let unassigned: Vec<Name> = self
            .detectors
            .keys()
            .filter(|n| !assigned.contains(*n))
            .cloned()
            .collect();
        for name in unassigned {
            self.detectors.remove(&name);
            if let Some(upstream) = context.upstreams.get(host_state, &name) {
                upstream.tracker.set_watching(Watching::No);
            }
        }
    }

    /// Updates the failure detector of a database and returns the report on it.
    fn detect_failure(
        &mut self,
        context: &Context,
        now: u64,
        name: &Name,
        database: &Database,
        upstream: &Upstream,
    ) -> Report {
        let detector = self.detectors.entry(name.clone()).or_default();
        detector.set_primary(now, database.primary.as_ref());
        let reachable = upstream.tracker.with_samples(|samples| {
            for (member, sample) in &samples.latest {
                let as_primary = sample.status.role == Role::Primary
                    && sample.status.adopted == database.term
                    && sample.reachable;
                detector.record_answer(now, member, as_primary);
            }
            samples.reachable()
        });
        let suspects = detector.suspects(now);
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

    /// Sends the reports, at once if a primary is suspected, else at [`REPORT_INTERVAL_MS`].
    fn send_reports(&mut self, context: &Context, now: u64, reports: Vec<Report>) {
        let urgent = reports.iter().any(|report| report.suspects);
        if urgent || now >= self.reported_at + REPORT_INTERVAL_MS {
            self.reported_at = now;
            context.control.report(reports);
        }
    }

    /// Orders members that do not follow the committed primary to do so.
    fn send_follow_orders(
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
        let members = upstream.tracker.with_samples(|samples| {
            let members = samples.latest.iter().filter(|(member, sample)| {
                **member != primary && must_follow(sample, &primary, database.term)
            });
            members
                .map(|(member, _)| member.clone())
                .collect::<Vec<_>>()
        });
        for member in members {
            let ordered_at = self.ordered_at.entry(member.clone()).or_default();
            if now < *ordered_at + FOLLOW_INTERVAL_MS {
                continue;
            }
            *ordered_at = now;
            let text = format!("SELECT hemlockcrank_follow({}, '{primary}')", database.term);
            let (context, upstream) = (Arc::clone(context), Arc::clone(upstream));
            tokio::spawn(async move {
                if upstream.tracker.query(&member, text).await.is_some() {
                    let fields: [(&str, &dyn std::fmt::Display); 1] = [("member", &member)];
                    context.timeline.emit(Event::MemberFollows, &fields);
                }
            });
        }
    }

    /// Starts a change of primary unless it already runs on this host.
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
            run_handoff(&context, &upstream, term, quorum, handoff).await;
            lock(&running).remove(&key);
        });
    }
}

/// Whether a member has to be ordered to follow the primary.
fn must_follow(sample: &Sample, primary: &Name, term: u64) -> bool {
    let older_term = sample.status.adopted < term;
    let other_source = sample.status.adopted == term && sample.source != *primary;
    sample.reachable && (older_term || other_source)
}

/// Runs one change of primary until it is done, superseded or out of rounds.
async fn run_handoff(
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
                answers = query_members(upstream, &members, "SELECT 1", quorum).await;
            }
            Step::Send(order, members) => {
                let text = order_sql(order, term);
                answers = query_members(upstream, &members, &text, quorum).await;
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
                let _ = context.control.propose(command).await;
                return;
            }
            Step::Superseded => break,
        }
    }
    let fields: [(&str, &dyn std::fmt::Display); 2] = [("database", database), ("term", &term)];
    context.timeline.emit(Event::PromotionAbandoned, &fields);
}

/// SQL that gives the order to a member.
fn order_sql(order: Order, term: u64) -> String {
    match order {
        Order::Adopt => format!("SELECT hemlockcrank_adopt({term})"),
        Order::Promote => format!("SELECT hemlockcrank_promote({term})"),
    }
}

/// Runs the same query on several members at once; waits for a majority, and up to [`GRACE_PERIOD`]
/// for the others.
async fn query_members(
    upstream: &Upstream,
    members: &[Name],
    text: &str,
    quorum: usize,
) -> Vec<(Name, Status)> {
    let queries = members.iter().map(|member| async move {
        let status = upstream.tracker.query(member, text.to_owned()).await;
        status.map(|status| (member.clone(), status))
    });
    let mut queries: FuturesUnordered<_> = queries.collect();
    let mut answers = Vec::new();
    while answers.len() < quorum {
        match queries.next().await {
            Some(answer) => answers.extend(answer),
            None => return answers,
        }
    }
    let others = async {
        while let Some(answer) = queries.next().await {
            answers.extend(answer);
        }
    };
    let _ = tokio::time::timeout(GRACE_PERIOD, others).await;
    answers
}
