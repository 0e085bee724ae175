//! Reads outside a transaction: which members, how often, and when a second one is asked as well.

use std::{borrow::Cow, sync::Arc, time::Duration};

use hemlockcrank_core::{
    Name,
    balance::{Candidate, choose},
    catalog::Freshness,
    retry::Backoff,
    session::Position,
};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    Code, Own, Query, Shape, Site,
    admission::{Operation, Refusal, Trail},
    board::Hold,
    link::{Answer, Link, Values},
    pool::{Loan, Pool, Unavailable, Wish},
};
use crate::{clock::now_ms, control::HostState};

/// Distance kept from the stated age, in milliseconds.
const AGE_MARGIN_MS: u64 = 30;
/// Pause before the primary of a group that has none now is looked for again.
pub(crate) const AGAIN: Duration = Duration::from_millis(15);
/// Longest wait for a connection to one member.
const PLACE_LIMIT: Duration = Duration::from_millis(150);
/// Shortest silence after which a second member is asked, in milliseconds.
const HEDGE_MS: u64 = 120;
/// Latencies of a member after which a second one is asked.
const HEDGE_LATENCIES: u64 = 4;
/// Most members asked for one read.
const MAX_ATTEMPTS: usize = 6;

/// One statement on its way.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) operation: Operation,
    pub(crate) id: Name,
    pub(crate) text: Name,
    pub(crate) shape: Option<(Name, Shape)>,
    pub(crate) values: Arc<Values>,
    /// Newest commit of the session.
    pub(crate) watermark: Position,
    pub(crate) deadline: u64,
}

impl Work {
    pub(crate) fn wish(&self) -> Wish<'_> {
        Wish {
            workspace: &self.operation.workspace,
            values: &self.values,
            priority: self.operation.route.priority,
        }
    }

    pub(crate) fn left(&self, now: u64) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(now))
    }

    /// Longest wait for a connection to one member.
    pub(crate) fn place_limit(&self) -> Duration {
        self.left(now_ms()).min(PLACE_LIMIT)
    }

    pub(crate) fn query(&self, after: Option<Position>) -> Query {
        Query {
            id: self.id.clone(),
            text: self.text.clone(),
            after,
        }
    }

    /// What a connection lacks for this statement.
    pub(crate) fn setup(&self, link: &Link) -> Vec<Own> {
        let shape = self.shape.as_ref().map(|(name, shape)| (name, shape));
        link.setup(&self.values, shape)
    }

    /// Sets a connection up; one that cannot be is closed. Returns whether it may be used.
    pub(crate) async fn prepare(&self, loan: &mut Loan) -> bool {
        let Some(link) = loan.link() else {
            return false;
        };
        let setup = self.setup(link);
        if setup.is_empty() {
            return true;
        }
        let done = timeout(self.left(now_ms()), link.run_own(&setup)).await;
        let good = matches!(&done, Ok(Ok(Some(answer))) if answer.outcome.is_ok());
        if !good {
            loan.spoil();
        }
        good
    }
}

/// How one attempt ended without a result.
#[derive(Clone, Debug)]
pub(crate) enum Miss {
    /// It may not run any more, at any member.
    Refused(Refusal),
    /// It did not run at this member, and why.
    NotRun(Cow<'static, str>),
    /// It ran and failed.
    Failed(Answer),
    /// No answer came.
    Lost,
}

/// A member that may serve a read.
pub(crate) struct Choice {
    pub(crate) name: Name,
    pub(crate) pool: Arc<Pool>,
    pub(crate) after: Option<Position>,
    pub(crate) hold: Option<Hold>,
}

impl Site {
    /// Best member for a read, except those in `tried`.
    pub(crate) fn choose(
        &self,
        world: &HostState,
        operation: &Operation,
        watermark: Position,
        tried: &[Name],
    ) -> Option<Choice> {
        let now = now_ms();
        let route = &operation.route;
        let group = world.state.groups.get(&route.service)?;
        let lead = group.lead.as_ref()?;
        let floor = self.floor(operation, lead.term, watermark);
        let mut members = Vec::new();
        let mut candidates = Vec::new();
        for (name, member) in &group.members {
            let primary = *name == lead.member;
            let barred = match primary {
                true => group.change.is_some() || !world.has_lease(),
                false => floor.is_none(),
            };
            if barred || tried.contains(name) || !world.state.groups.accepts_work(member) {
                continue;
            }
            let pool = self.pool(world, &route.service, name, member);
            candidates.push(Candidate {
                load: pool.load(),
                same_zone: *member.zone == *self.settings.zone,
                connected: pool.has_idle(&operation.workspace),
                primary,
            });
            members.push((name, pool, primary));
        }
        let best = choose(now, &candidates)?;
        let (name, pool, primary) = members.swap_remove(best);
        let hold = match primary {
            true => Some(self.board.hold(&route.service, lead.term)?),
            false => None,
        };
        Some(Choice {
            name: name.clone(),
            pool,
            after: floor.filter(|_| !primary),
            hold,
        })
    }

    /// Position that a replica must have reached; `None` when only the primary will do.
    fn floor(&self, operation: &Operation, term: u64, watermark: Position) -> Option<Position> {
        let route = &operation.route;
        let since = operation.arrived.saturating_sub(route.max_age_ms) + AGE_MARGIN_MS;
        let sampled = || self.board.floor(&route.service, term, since);
        match route.freshness {
            Freshness::Primary => None,
            Freshness::Bounded => sampled(),
            Freshness::ReadYourWrites => sampled().map(|floor| floor.max(watermark)),
        }
    }

    /// Runs a read at one member after the other until one has a result.
    pub(crate) async fn read(self: &Arc<Self>, work: Work) -> Result<Answer, Refusal> {
        let work = Arc::new(work);
        let mut tried: Vec<Name> = Vec::new();
        let mut trail = Trail::default();
        let mut running = JoinSet::new();
        let mut attempts = 0;
        let mut failed = None;
        let mut backoff = Backoff::default();
        loop {
            let now = now_ms();
            if now >= work.deadline {
                running.detach_all();
                let refusal = Refusal::new(Code::Busy, "no result in time");
                return Err(refusal.after(trail));
            }
            let world = self.world();
            work.operation.is_permitted(&world, false)?;
            let choice = self.choose(&world, &work.operation, work.watermark, &tried);
            let choice = choice.filter(|_| attempts < MAX_ATTEMPTS);
            let wait = match choice {
                Some(choice) => {
                    attempts += 1;
                    tried.push(choice.name.clone());
                    let hedge = choice.pool.load().latency_ms() * HEDGE_LATENCIES;
                    running.spawn(Arc::clone(self).attempt(Arc::clone(&work), choice));
                    Duration::from_millis(hedge.max(HEDGE_MS)).min(work.left(now))
                }
                None if !running.is_empty() => work.left(now),
                None => {
                    if let Some(answer) = failed {
                        return Ok(answer);
                    }
                    if now >= work.operation.patience() || attempts >= MAX_ATTEMPTS {
                        let refusal = Refusal::new(Code::Busy, "no member can serve the read");
                        return Err(refusal.after(trail));
                    }
                    tried.clear();
                    sleep(Duration::from_millis(backoff.next_pause_ms())).await;
                    continue;
                }
            };
            let Ok(Some(Ok((member, outcome)))) = timeout(wait, running.join_next()).await else {
                self.metrics.count_read_retry();
                continue;
            };
            match outcome {
                Ok(answer) => {
                    running.detach_all();
                    return Ok(answer);
                }
                Err(Miss::Refused(refusal)) => return Err(refusal.after(trail)),
                Err(Miss::Failed(answer)) => {
                    trail.add(&member, "failed");
                    failed = Some(answer);
                }
                Err(Miss::NotRun(why)) => trail.add(&member, &why),
                Err(Miss::Lost) => trail.add(&member, "lost"),
            }
        }
    }

    async fn attempt(
        self: Arc<Self>,
        work: Arc<Work>,
        choice: Choice,
    ) -> (Name, Result<Answer, Miss>) {
        let outcome = self.try_read(&work, &choice).await;
        (choice.name, outcome)
    }

    async fn try_read(&self, work: &Work, choice: &Choice) -> Result<Answer, Miss> {
        let service = &work.operation.route.service;
        let _busy = choice.pool.busy();
        let place = choice.pool.acquire(work.wish(), work.place_limit()).await;
        let mut loan = match place {
            Ok(loan) => loan,
            Err(error) => {
                self.missed(choice, service, error);
                return Err(Miss::NotRun(<&str>::from(error).into()));
            }
        };
        let term = choice.hold.as_ref().map(Hold::term);
        let outcome = self
            .exchange(&mut loan, work, choice.after, choice.hold.as_ref())
            .await;
        let now = now_ms();
        match outcome {
            Ok((sent_at, answer)) => {
                if answer.outcome.is_ok() {
                    choice
                        .pool
                        .note(|load| load.record_success(now.saturating_sub(sent_at)));
                }
                if let Some(term) = term {
                    self.note_primary(service, term, sent_at, &answer);
                }
                match &answer.outcome {
                    Ok(_) => Ok(answer),
                    Err((Code::Lagging, _)) => {
                        Err(Miss::NotRun(lagging(answer.position, choice.after).into()))
                    }
                    Err((code, _)) if code.is_not_run() => {
                        Err(Miss::NotRun(<&str>::from(*code).into()))
                    }
                    Err(_) => Err(Miss::Failed(answer)),
                }
            }
            Err(miss) => {
                if matches!(miss, Miss::Lost) {
                    choice.pool.note(|load| load.record_failure(now));
                    if let Some(term) = term {
                        self.primary_failed(service, term);
                    }
                }
                Err(miss)
            }
        }
    }

    /// Notes an answer of the primary for the leader.
    pub(crate) fn note_primary(&self, service: &Name, term: u64, sent_at: u64, answer: &Answer) {
        match &answer.outcome {
            Err((Code::ReadOnly | Code::Misrouted, _)) => self.primary_failed(service, term),
            Err((Code::Busy | Code::TooMany, _)) => {}
            _ => self
                .board
                .served(now_ms(), service, term, sent_at, answer.position),
        }
    }

    /// Notes that there was no connection.
    pub(crate) fn missed(&self, choice: &Choice, service: &Name, error: Unavailable) {
        let now = now_ms();
        let refused =
            matches!(error, Unavailable::Refused(Code::TooMany)) || error == Unavailable::Late;
        if refused {
            return;
        }
        choice.pool.note(|load| load.record_failure(now));
        if let Some(hold) = &choice.hold {
            self.primary_failed(service, hold.term());
        }
    }

    /// Sets a connection up and runs a statement outside a transaction on it; returns when it was sent.
    pub(crate) async fn exchange(
        &self,
        loan: &mut Loan,
        work: &Work,
        after: Option<Position>,
        hold: Option<&Hold>,
    ) -> Result<(u64, Answer), Miss> {
        if !work.prepare(loan).await {
            return Err(Miss::NotRun("no connection".into()));
        }
        if let Err(refusal) = work.operation.is_permitted(&self.world(), hold.is_some()) {
            return Err(Miss::Refused(refusal));
        }
        if hold.is_some_and(|hold| !hold.is_current()) {
            return Err(Miss::NotRun("no connection".into()));
        }
        let sent_at = now_ms();
        let Some(link) = loan.link() else {
            return Err(Miss::NotRun("no connection".into()));
        };
        match timeout(work.left(sent_at), link.run(&work.query(after))).await {
            Ok(Ok(answer)) => {
                link.settle(answer.status);
                Ok((sent_at, answer))
            }
            _ => {
                loan.spoil();
                Err(Miss::Lost)
            }
        }
    }
}

/// How far a member's log reaches, and how far it had to.
pub(crate) fn lagging(reached: Option<Position>, wanted: Option<Position>) -> String {
    let show = |position: Option<Position>| match position {
        Some(Position { term, index }) => format!("{term}.{index}"),
        None => "-".to_owned(),
    };
    format!("lagging:{}<{}", show(reached), show(wanted))
}
