//! Writes outside a transaction: at the primary, never twice.

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::{Name, retry::Backoff};
use tokio::time::sleep;

use super::{
    Code, Proxy,
    admission::{Refusal, Trail},
    link::Answer,
    read::{AGAIN, Choice, Miss, Work},
};
use crate::{clock::now_ms, control::HostState};

impl Proxy {
    /// The primary of a service, with the right to use it.
    pub(crate) fn primary(&self, world: &HostState, service: &Name) -> Option<Choice> {
        let group = world.state.groups.get(service)?;
        let lead = group.lead.as_ref()?;
        let (name, member) = group.primary()?;
        if !world.state.groups.accepts_work(member) {
            return None;
        }
        let hold = self.primaries.hold(service, lead.term)?;
        Some(Choice {
            name: name.clone(),
            pool: self.pool(world, service, name, member),
            after: None,
            hold: Some(hold),
        })
    }

    /// Runs a write. A refusal says that it has not run, except for [`Code::InDoubt`].
    pub(crate) async fn write(self: &Arc<Self>, work: &Work) -> Result<Answer, Refusal> {
        let service = &work.operation.route.service;
        let mut trail = Trail::default();
        let mut backoff = Backoff::default();
        loop {
            let now = now_ms();
            let world = self.world();
            work.operation.is_permitted(&world, true)?;
            let Some(choice) = self.primary(&world, service) else {
                if now >= work.operation.patience() {
                    return Err(Refusal::new(Code::Busy, "no primary").after(trail));
                }
                sleep(AGAIN).await;
                continue;
            };
            match self.try_write(work, &choice).await {
                Ok(answer) => return Ok(answer),
                Err(Miss::Failed(answer)) => return Ok(answer),
                Err(Miss::Refused(refusal)) => return Err(refusal),
                Err(Miss::Lost) => {
                    trail.add(&choice.name, "lost");
                    let refusal = Refusal::new(Code::InDoubt, "no answer from the primary");
                    return Err(refusal.after(trail));
                }
                Err(Miss::NotRun(why)) => {
                    trail.add(&choice.name, &why);
                    if now_ms() >= work.operation.patience() {
                        let refusal = Refusal::new(Code::Busy, "the primary has no place");
                        return Err(refusal.after(trail));
                    }
                    sleep(Duration::from_millis(backoff.next_pause_ms())).await;
                }
            }
        }
    }

    async fn try_write(self: &Arc<Self>, work: &Work, choice: &Choice) -> Result<Answer, Miss> {
        let service = &work.operation.route.service;
        let _busy = choice.pool.busy();
        let mut loan = match choice.pool.acquire(work.wish(), work.place_limit()).await {
            Ok(loan) => loan,
            Err(error) => {
                self.missed(choice, service, error);
                return Err(Miss::NotRun(<&str>::from(error).into()));
            }
        };
        let Some(hold) = choice.hold.as_ref() else {
            return Err(Miss::NotRun("released".into()));
        };
        let outcome = self.exchange(&mut loan, work, None, Some(hold)).await;
        let now = now_ms();
        let (sent_at, answer) = match outcome {
            Ok(done) => done,
            Err(miss) => {
                if matches!(miss, Miss::Lost) {
                    choice.pool.note(|load| load.record_failure(now));
                    self.primary_failed(service, hold.term());
                }
                return Err(miss);
            }
        };
        choice
            .pool
            .note(|load| load.record_success(now.saturating_sub(sent_at)));
        self.note_primary(service, hold.term(), sent_at, &answer);
        match &answer.outcome {
            Ok(_) if !hold.is_current() || !self.world().has_lease() => Err(Miss::Lost),
            Ok(_) => {
                if let Some(position) = answer.position {
                    self.primaries.acknowledged(service, position);
                }
                Ok(answer)
            }
            Err((code, _)) if code.is_not_run() => Err(Miss::NotRun(<&str>::from(*code).into())),
            Err(_) => Err(Miss::Failed(answer)),
        }
    }
}
