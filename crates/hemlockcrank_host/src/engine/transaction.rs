//! A session's open transaction: one connection from its first statement to its end.

use std::{borrow::Cow, sync::Arc, time::Duration};

use hemlockcrank_core::{catalog::Freshness, retry::Backoff, session::Position};
use tokio::time::{sleep, timeout};

use super::{
    Code, Proxy, ProxyStatement, Status,
    admission::{Operation, Refusal, Trail},
    link::Answer,
    pool::{Busy, Loan},
    primaries::Hold,
    read::{Choice, Work, lagging},
};
use crate::clock::now_ms;

/// Longest wait for a member to drop a transaction.
const ROLLBACK_LIMIT: Duration = Duration::from_millis(500);

/// Connection and right of a transaction that has begun at a member.
#[derive(Debug)]
struct Seat {
    loan: Loan,
    hold: Option<Hold>,
    _busy: Busy,
}

/// An open transaction.
#[derive(Debug)]
pub(crate) struct Transaction {
    pub(crate) operation: Operation,
    read: bool,
    watermark: Position,
    seat: Option<Seat>,
    wrote: bool,
    /// Set once it cannot be committed any more.
    pub(crate) failed: bool,
}

/// What a statement of a transaction is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A read.
    Read,
    /// A write.
    Write,
    /// The commit.
    Commit,
}

impl Transaction {
    /// Opens one; nothing is sent to a member before its first statement.
    pub(crate) fn new(operation: Operation, read: bool, watermark: Position) -> Self {
        Self {
            operation,
            read,
            watermark,
            seat: None,
            wrote: false,
            failed: false,
        }
    }

    /// Runs a statement, at the member that ran the first one.
    ///
    /// # Errors
    ///
    /// [`Refusal`]: nothing of the transaction is kept, unless the code is [`Code::InDoubt`].
    pub(crate) async fn run(
        &mut self,
        site: &Arc<Proxy>,
        work: &Work,
        step: Step,
    ) -> Result<Answer, Refusal> {
        if self.seat.is_none() {
            self.seat = Some(self.begin(site, work).await?);
        }
        self.wrote |= step == Step::Write;
        let outcome = self.step(site, work, step).await;
        match &outcome {
            Ok(answer) if answer.status == Status::Open => {}
            Ok(answer) => {
                self.failed |= answer.status == Status::Failed;
                if answer.status == Status::Idle {
                    self.seat = None;
                }
            }
            Err(_) => {
                self.failed = true;
                self.abandon();
            }
        }
        outcome
    }

    /// Drops the transaction at its member, in the background.
    pub(crate) fn abandon(&mut self) {
        let Some(mut seat) = self.seat.take() else {
            return;
        };
        tokio::spawn(async move {
            let Some(link) = seat.loan.link() else {
                return;
            };
            let done = timeout(ROLLBACK_LIMIT, link.run_own(&[ProxyStatement::Rollback])).await;
            let clean = matches!(&done, Ok(Ok(Some(answer))) if answer.status == Status::Idle);
            if !clean {
                seat.loan.spoil();
            }
        });
    }

    async fn begin(&mut self, site: &Arc<Proxy>, work: &Work) -> Result<Seat, Refusal> {
        let mut tried = Vec::new();
        let mut trail = Trail::default();
        let mut backoff = Backoff::default();
        let patience = now_ms() + self.operation.patience() - self.operation.arrived;
        loop {
            let now = now_ms();
            let world = site.world();
            let service = &self.operation.route.service;
            let primary = !self.read || self.operation.route.freshness == Freshness::Primary;
            self.operation.is_permitted(&world, primary)?;
            let choice = if !primary {
                site.choose(&world, &self.operation, self.watermark, &tried)
            } else {
                site.primary(&world, service)
            };
            match choice {
                Some(choice) => {
                    let member = choice.name.clone();
                    tried.push(member.clone());
                    match self.sit(site, work, choice).await {
                        Ok(seat) => return Ok(seat),
                        Err(why) => {
                            trail.add(&member, &why);
                            self.operation.is_permitted(&site.world(), primary)?;
                        }
                    }
                }
                None => tried.clear(),
            }
            if now >= patience.min(work.deadline) {
                let refusal = Refusal::new(Code::Busy, "no member can open the transaction");
                return Err(refusal.after(trail));
            }
            sleep(Duration::from_millis(backoff.next_pause_ms())).await;
        }
    }

    /// Begins at one member; an error tells why nothing has run.
    async fn sit(
        &self,
        site: &Arc<Proxy>,
        work: &Work,
        choice: Choice,
    ) -> Result<Seat, Cow<'static, str>> {
        let service = &self.operation.route.service;
        let busy = choice.pool.busy();
        let mut loan = match choice.pool.acquire(work.wish(), work.place_limit()).await {
            Ok(loan) => loan,
            Err(error) => {
                site.missed(&choice, service, error);
                return Err(<&str>::from(error).into());
            }
        };
        let link = loan.link().ok_or("no connection")?;
        let mut own = work.setup(link);
        own.push(ProxyStatement::Begin {
            read: self.read,
            after: choice.after,
        });
        let sent_at = now_ms();
        let done = timeout(work.left(sent_at), link.run_own(&own)).await;
        let Ok(Ok(Some(answer))) = done else {
            loan.spoil();
            choice.pool.note(|load| load.record_failure(now_ms()));
            if let Some(hold) = &choice.hold {
                site.primary_failed(service, hold.term());
            }
            return Err("lost".into());
        };
        if let Some(hold) = &choice.hold {
            site.note_primary(service, hold.term(), sent_at, &answer);
        }
        if answer.outcome.is_err() || answer.status != Status::Open {
            if answer.status != Status::Idle {
                loan.spoil();
            }
            return Err(match answer.outcome {
                Err((Code::Lagging, _)) => lagging(answer.position, choice.after).into(),
                Err((code, _)) => <&str>::from(code).into(),
                Ok(_) => "not begun".into(),
            });
        }
        Ok(Seat {
            loan,
            hold: choice.hold,
            _busy: busy,
        })
    }

    async fn step(
        &mut self,
        site: &Arc<Proxy>,
        work: &Work,
        step: Step,
    ) -> Result<Answer, Refusal> {
        let service = self.operation.route.service.clone();
        let Some(seat) = &mut self.seat else {
            return Err(Refusal::new(Code::Aborted, "the transaction has ended"));
        };
        let member = seat.loan.target().member.clone();
        let refused = |code: Code, reason: &'static str, outcome: &str| {
            let mut trail = Trail::default();
            trail.add(&member, outcome);
            Err(Refusal::new(code, reason).after(trail))
        };
        let lost = || match step {
            Step::Commit if self.wrote => refused(Code::InDoubt, "no answer to the commit", "lost"),
            _ => refused(Code::Aborted, "the member was lost", "lost"),
        };
        let mut backoff = Backoff::default();
        loop {
            let now = now_ms();
            if now >= work.deadline {
                return refused(Code::Aborted, "no place at the member in time", "busy");
            }
            let held = seat.hold.as_ref().is_none_or(Hold::is_current);
            if !held {
                return refused(Code::Aborted, "the primary is being replaced", "released");
            }
            if !work.prepare(&mut seat.loan).await {
                return refused(Code::Aborted, "the session could not be set up", "lost");
            }
            self.operation
                .is_permitted(&site.world(), seat.hold.is_some())?;
            let Some(link) = seat.loan.link() else {
                return refused(Code::Aborted, "the member was lost", "no connection");
            };
            let query = work.query(None);
            let sent_at = now_ms();
            let Ok(Ok(answer)) = timeout(work.left(sent_at), link.run(&query)).await else {
                seat.loan.spoil();
                if let Some(hold) = &seat.hold {
                    site.primary_failed(&service, hold.term());
                }
                return lost();
            };
            if let Some(hold) = &seat.hold {
                site.note_primary(&service, hold.term(), sent_at, &answer);
                let authority = hold.is_current() && site.world().has_lease();
                if step == Step::Commit && self.wrote && answer.outcome.is_ok() {
                    if !authority {
                        return lost();
                    }
                    if let Some(position) = answer.position {
                        site.primaries.acknowledged(&service, position);
                    }
                }
            }
            let busy = matches!(&answer.outcome, Err((Code::Busy, _)));
            if busy && answer.status == Status::Open {
                sleep(Duration::from_millis(backoff.next_pause_ms())).await;
                continue;
            }
            return Ok(answer);
        }
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.abandon();
    }
}
