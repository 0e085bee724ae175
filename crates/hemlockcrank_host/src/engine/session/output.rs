//! Replies of a session to its caller.

use bytes::BytesMut;
use hemlockcrank_core::Name;
use tokio::{io::AsyncWriteExt, time::sleep};

use super::{End, KEPT_BYTES, Session, WRITE_TIMEOUT};
use crate::{
    clock::now_ms,
    engine::{Code, Reply, Status, admission::Refusal, member_connection::Answer},
    event::Event,
};

impl Session {
    pub(super) fn status(&self) -> Status {
        match &self.transaction {
            None => Status::Idle,
            Some(transaction) if transaction.failed => Status::Failed,
            Some(_) => Status::Open,
        }
    }

    pub(super) fn write_reply(&mut self, reply: &Reply<'_>) {
        (self.proxy.protocol.write_caller)(&mut self.output, reply);
    }

    pub(super) fn reply_done(&mut self) {
        self.write_reply(&Reply::Done(None));
        let status = self.status();
        self.write_reply(&Reply::Ready(status, None));
    }

    pub(super) fn reply_failed(&mut self, code: Code, reason: &str) {
        self.write_reply(&Reply::Failed(code, reason.as_bytes()));
        let status = self.status();
        self.write_reply(&Reply::Ready(status, None));
    }

    pub(super) fn reply_refused(&mut self, id: &Name, refusal: &Refusal) {
        self.emit_refusal(id, refusal);
        self.reply_failed(refusal.code, &refusal.text());
    }

    pub(super) fn reply_answer(&mut self, answer: &Answer, status: Status) {
        for row in &answer.rows {
            self.write_reply(&Reply::Row(row));
        }
        match &answer.outcome {
            Ok(signature) => self.write_reply(&Reply::Done(Some(signature))),
            Err((code, text)) => self.write_reply(&Reply::Failed(*code, text)),
        }
        self.write_reply(&Reply::Ready(status, answer.position));
    }

    /// Emits the event of a refused operation.
    pub(super) fn emit_refusal(&self, id: &Name, refusal: &Refusal) {
        let host_state = self.proxy.host_state();
        let event = match refusal.code {
            Code::InDoubt => Event::OutcomeUnknown,
            _ => Event::NotRun,
        };
        let catalog = &host_state.state.catalog;
        let workspace = self
            .key
            .as_ref()
            .and_then(|key| catalog.workspace_by_key(key));
        let workspace = workspace.map_or("-", |workspace| workspace);
        let fields: [(&str, &dyn std::fmt::Display); 10] = [
            ("id", id),
            ("workspace", &workspace),
            ("database", &self.database),
            ("code", &refusal.code),
            ("reason", &refusal.reason),
            ("trail", &refusal.trail),
            ("retry_after_ms", &refusal.retry_after_text()),
            ("decision", &refusal.decision_text()),
            ("configuration", &catalog.version()),
            ("lease_ms", &host_state.lease.remaining(now_ms())),
        ];
        self.proxy.timeline.emit(event, &fields);
        self.proxy.metrics.count_refusal(refusal.reason.clone());
    }

    pub(super) async fn flush(&mut self) -> Result<(), End> {
        self.account.settle();
        let writes = self.stream.write_all(&self.output);
        let unread = async {
            self.account.hold(self.output.capacity());
            tokio::select! {
                () = self.account.closed() => End::Closed,
                () = sleep(WRITE_TIMEOUT) => End::Disconnected,
            }
        };
        let written = tokio::select! {
            biased;
            written = writes => written.map_err(|_| End::Disconnected),
            end = unread => Err(end),
        };
        if self.output.len() > KEPT_BYTES {
            self.output = BytesMut::new();
        }
        self.output.clear();
        self.account.settle();
        written
    }
}
