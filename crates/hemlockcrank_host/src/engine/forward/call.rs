//! One call to an executor.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hemlockcrank_core::Name;
use hemlockcrank_wire::{CallError, Execute, Executed, Kind, Request, Response, Status};

use super::Reply;
use crate::{
    clock::now_ms,
    engine::{
        Proxy,
        admission::{Refusal, Trail},
        execution::Execution,
        member_connection::Answer,
    },
    sync::lock,
};

/// Longest wait for a connection to an executor. One that cannot be reached must leave time to run
/// the operation elsewhere.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);
/// Time by which an executor may answer later than the deadline of the statement. It answers at the
/// deadline at the latest, and the answer takes a while to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// A call to an executor.
pub(super) struct Call<'a> {
    pub(super) proxy: &'a Arc<Proxy>,
    pub(super) executor: &'a Name,
    pub(super) address: SocketAddr,
}

/// An operation that waits for an answer until dropped. Its caller may leave before that.
struct Waiting<'a>(&'a Call<'a>);

impl<'a> Waiting<'a> {
    fn start(call: &'a Call<'a>, now: u64) -> Self {
        let mut executors = lock(&call.proxy.forwarding.executors);
        executors.record_sent(now, call.executor);
        Self(call)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut executors = lock(&self.0.proxy.forwarding.executors);
        executors.record_end(now_ms(), self.0.executor);
    }
}

impl Call<'_> {
    /// Sends a statement and records what the reply says of the executor.
    pub(super) async fn run(&self, execution: &Execution, kind: Kind) -> Reply {
        let proxy = self.proxy;
        let sent_at = now_ms();
        let request = Request::Execute(Box::new(self.request(execution, kind, sent_at)));
        let _waiting = Waiting::start(self, sent_at);
        proxy.metrics.count_forwarded();
        let limit = execution.time_left(sent_at) + ANSWER_MARGIN;
        let response = proxy
            .peers
            .call_within(self.address, &request, OPEN_TIMEOUT, limit)
            .await;
        match response {
            Ok(response) => {
                let took_ms = now_ms().saturating_sub(sent_at);
                lock(&proxy.forwarding.executors).record_answer(self.executor, took_ms);
                self.read_response(execution, response)
            }
            Err(error) => {
                self.record_failure(execution, &error);
                if error.is_unexecuted() {
                    return Reply::NotRun(error.to_string());
                }
                proxy.metrics.count_lost();
                execution.attempts.begin();
                Reply::Lost
            }
        }
    }

    fn request(&self, execution: &Execution, kind: Kind, now: u64) -> Execute {
        let operation = &execution.operation;
        Execute {
            origin: self.proxy.control.host().id(),
            id: execution.id.clone(),
            route: (*operation.route).clone(),
            key: operation.key.clone(),
            workspace: operation.workspace.clone(),
            kind,
            body: execution.body.clone(),
            values: (*execution.values).clone(),
            watermark: execution.watermark,
            waited_ms: now.saturating_sub(operation.arrived_at),
            time_left_ms: execution.deadline.saturating_sub(now),
        }
    }

    fn read_response(&self, execution: &Execution, response: Response) -> Reply {
        match response {
            Response::Executed(executed) => match *executed {
                Executed::Answered(answer) => Reply::Answered(Answer {
                    rows: answer.rows.into_iter().map(Bytes::from).collect(),
                    outcome: answer
                        .outcome
                        .map(Bytes::from)
                        .map_err(|(code, text)| (code, text.into())),
                    status: answer.status,
                    position: answer.position,
                }),
                Executed::Refused(refusal) => {
                    let begun = refusal.status != Status::Idle;
                    if refusal.may_have_run {
                        execution.attempts.begin();
                    }
                    let mut trail = Trail::default();
                    trail.add("executor", self.executor);
                    trail.append(&refusal.trail);
                    let reason = refusal.reason.as_ref().to_owned();
                    Reply::Refused {
                        refusal: Refusal::received(
                            refusal.code,
                            reason,
                            trail,
                            refusal.retry_after_ms,
                        ),
                        begun,
                    }
                }
                Executed::Declined(reason) => Reply::NotRun(reason.to_string()),
            },
            Response::Unavailable => Reply::NotRun("unavailable".into()),
            // No host of this version answers so; the statement may have run.
            _ => {
                execution.attempts.begin();
                Reply::Lost
            }
        }
    }

    fn record_failure(&self, execution: &Execution, error: &CallError) {
        let proxy = self.proxy;
        let is_new = lock(&proxy.forwarding.executors).record_failure(now_ms(), self.executor);
        if is_new {
            proxy.emit_avoided(self.executor, &execution.id, error);
        }
    }
}
