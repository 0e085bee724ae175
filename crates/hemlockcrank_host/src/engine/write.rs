//! Writes outside a transaction: run at the primary, and never retried once they may have run.

use std::{sync::Arc, time::Duration};

use hemlockcrank_core::retry::Backoff;
use tokio::time::sleep;

use super::{
    Code, Proxy,
    admission::{Refusal, Trail},
    choice::Choice,
    execution::{AttemptError, Execution},
    member_connection::Answer,
    permits::outcome_of,
};
use crate::clock::now_ms;

/// Interval at which a write checks again for a primary while there is none.
const PRIMARY_RETRY_INTERVAL: Duration = Duration::from_millis(15);

impl Proxy {
    /// Runs a write. With a refusal it has not run, unless the code is [`Code::InDoubt`].
    pub(crate) async fn write(self: &Arc<Self>, execution: &Execution) -> Result<Answer, Refusal> {
        let service = &execution.operation.route.service;
        let mut trail = Trail::default();
        let mut backoff = Backoff::default();
        loop {
            let now = now_ms();
            let host_state = self.host_state();
            execution.operation.check_permitted(&host_state, true)?;
            let Some(choice) = self.choose_primary(&host_state, service) else {
                if now >= execution.operation.wait_deadline() {
                    return Err(Refusal::new(Code::Busy, "no primary").with_trail(trail));
                }
                sleep(PRIMARY_RETRY_INTERVAL).await;
                continue;
            };
            match self.try_write(execution, &choice).await {
                Ok(answer) => return Ok(answer),
                Err(AttemptError::Failed(answer)) => return Ok(answer),
                Err(AttemptError::Refused(refusal)) => return Err(refusal),
                Err(AttemptError::Lost) => {
                    trail.add(&choice.name, "lost");
                    let refusal = Refusal::new(Code::InDoubt, "no answer from the primary");
                    return Err(refusal.with_trail(trail));
                }
                Err(AttemptError::Full(decision)) => {
                    trail.add(&choice.name, "full");
                    return Err(Refusal::full(decision).with_trail(trail));
                }
                Err(AttemptError::NotRun(reason)) => {
                    trail.add(&choice.name, &reason);
                    if now_ms() >= execution.operation.wait_deadline() {
                        let refusal = Refusal::new(Code::Busy, "the primary has no place");
                        return Err(refusal.with_trail(trail));
                    }
                    sleep(Duration::from_millis(backoff.next_pause_ms())).await;
                }
            }
        }
    }

    async fn try_write(
        self: &Arc<Self>,
        execution: &Execution,
        choice: &Choice,
    ) -> Result<Answer, AttemptError> {
        let service = &execution.operation.route.service;
        let in_flight = choice.pool.track_in_flight();
        let permit = self.permit(&choice.pool, execution, false).await;
        let permit = permit.map_err(AttemptError::Full)?;
        let mut pooled = match choice
            .pool
            .acquire(execution.connection_request(), execution.acquire_timeout())
            .await
        {
            Ok(pooled) => pooled,
            Err(error) => {
                permit.finish(error.into());
                self.record_unavailable(choice, service, error);
                return Err(AttemptError::NotRun(<&str>::from(error).into()));
            }
        };
        let Some(guard) = choice.guard.as_ref() else {
            return Err(AttemptError::NotRun("released".into()));
        };
        let outcome = self.run_on(&mut pooled, execution, None, Some(guard)).await;
        permit.finish(outcome_of(&outcome));
        let now = now_ms();
        let (sent_at, answer) = match outcome {
            Ok(result) => result,
            Err(error) => {
                if matches!(error, AttemptError::Lost) {
                    choice.pool.update_load(|load| load.record_failure(now));
                    self.primary_failed(service, guard.term());
                }
                return Err(error);
            }
        };
        choice
            .pool
            .update_load(|load| load.record_success(now.saturating_sub(sent_at)));
        self.record_primary_answer(service, guard.term(), sent_at, &answer);
        match &answer.outcome {
            Ok(_) => {
                drop((pooled, in_flight));
                if !self.acknowledge(execution, guard, answer.position).await {
                    return Err(AttemptError::Lost);
                }
                Ok(answer)
            }
            Err((code, _)) if code.is_not_run() => {
                Err(AttemptError::NotRun(<&str>::from(*code).into()))
            }
            Err(_) => Err(AttemptError::Failed(answer)),
        }
    }
}
