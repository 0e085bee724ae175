//! Orders of the control leader to a member.

use std::{net::IpAddr, time::Duration};

use hemlockcrank_core::{
    Name,
    succession::{Order, OrderReply},
};
use tokio::time::timeout;

use super::{
    Code, Protocol, ProxyStatement,
    link::{Link, OpenError, Target},
};
use crate::control::Dispatch;

/// Longest wait for a connection, and for the answer on it.
const LIMIT: Duration = Duration::from_millis(300);
/// Name under which the proxy itself connects.
const SELF: &str = "-";

/// Carries out one order and returns what the member then says of itself.
pub async fn execute_order(dialect: Protocol, from: IpAddr, question: Dispatch) -> OrderReply {
    ask(dialect, from, question)
        .await
        .unwrap_or(OrderReply::Nothing)
}

async fn ask(dialect: Protocol, from: IpAddr, question: Dispatch) -> Option<OrderReply> {
    let own = match question.order {
        Order::Look(_) => ProxyStatement::ReadStatus,
        Order::Pause(_, term) => ProxyStatement::Pause(term),
        Order::Resume(_) => ProxyStatement::Resume,
        Order::StepDown(_, term) => ProxyStatement::StepDown(term),
        Order::Promote(_) | Order::Commit(_) => return None,
    };
    let target = Target {
        address: question.address,
        from,
        service: question.service,
        member: question.member,
    };
    let mut link = match Link::open(dialect, &target, &Name::from(SELF), LIMIT).await {
        Ok(link) => link,
        Err(OpenError::Refused(Code::TooMany | Code::Busy)) => return Some(OrderReply::Busy),
        Err(_) => return None,
    };
    let answer = timeout(LIMIT, link.run_own(&[own])).await.ok()?.ok()??;
    match answer.outcome {
        Ok(_) => (dialect.read_row)(answer.rows.first()?).map(OrderReply::Row),
        Err((Code::Busy, _)) => Some(OrderReply::Busy),
        Err(_) => None,
    }
}
