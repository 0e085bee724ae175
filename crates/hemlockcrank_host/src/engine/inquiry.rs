//! Orders of the control leader to a member.

use std::{net::IpAddr, time::Duration};

use hemlockcrank_core::{
    Name,
    succession::{Order, Row},
};
use tokio::time::timeout;

use super::{
    Dialect, Own,
    link::{Link, Target},
};
use crate::control::Question;

/// Longest wait for a connection, and for the answer on it.
const LIMIT: Duration = Duration::from_millis(400);
/// Name under which the proxy itself connects.
const SELF: &str = "-";

/// Carries out one order and returns what the member then says of itself.
pub async fn inquire(dialect: Dialect, from: IpAddr, question: Question) -> Option<Row> {
    let own = match question.order {
        Order::Look(_) => Own::Look,
        Order::Pause(_, term) => Own::Pause(term),
        Order::Resume(_) => Own::Resume,
        Order::StepDown(_, term) => Own::StepDown(term),
        Order::Promote(_) | Order::Commit(_) => return None,
    };
    let target = Target {
        address: question.address,
        from,
        service: question.service,
        member: question.member,
    };
    let opened = Link::open(dialect, &target, &Name::from(SELF), LIMIT).await;
    let mut link = opened.ok()?;
    let answer = timeout(LIMIT, link.run_own(&[own])).await.ok()?.ok()??;
    answer.outcome.ok()?;
    (dialect.read_row)(answer.rows.first()?)
}
