//! Executes orders of the control leader at a member.

use std::{net::IpAddr, time::Duration};

use hemlockcrank_core::{
    Name,
    succession::{Order, OrderReply},
};
use tokio::time::timeout;

use super::{
    Code, Protocol, ProxyStatement,
    member_connection::{MemberConnection, OpenError, Purpose, Target},
};
use crate::control::Dispatch;

/// Time limit for opening a connection, and for the answer on it.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Workspace name for connections of the proxy itself.
const PROXY_WORKSPACE: &str = "-";

/// Executes one order and returns the member's status row after it.
pub async fn execute_order(protocol: Protocol, source: IpAddr, dispatch: Dispatch) -> OrderReply {
    try_execute(protocol, source, dispatch)
        .await
        .unwrap_or(OrderReply::Nothing)
}

async fn try_execute(protocol: Protocol, source: IpAddr, dispatch: Dispatch) -> Option<OrderReply> {
    let statement = match dispatch.order {
        Order::Look(_) => ProxyStatement::ReadStatus,
        Order::Pause(_, term) => ProxyStatement::Pause(term),
        Order::Resume(_) => ProxyStatement::Resume,
        Order::StepDown(_, term) => ProxyStatement::StepDown(term),
        Order::Promote(..) | Order::Commit(_) => return None,
    };
    let target = Target {
        address: dispatch.address,
        source,
        service: dispatch.service.clone(),
        member: dispatch.member.clone(),
    };
    let mut connection = match MemberConnection::open(
        protocol,
        &target,
        &Name::from(PROXY_WORKSPACE),
        Purpose::Order,
        ORDER_TIMEOUT,
    )
    .await
    {
        Ok(connection) => connection,
        Err(OpenError::Refused(Code::TooMany | Code::Busy)) => return Some(OrderReply::Busy),
        Err(_) => return None,
    };
    // Opening the connection may have taken long, also because this process stood still.
    if !dispatch.is_current() {
        return None;
    }
    read_reply(protocol, &mut connection, &[statement]).await
}

/// Runs statements of which the last one returns the member's status row; `None` without an answer
/// in time.
pub(super) async fn read_reply(
    protocol: Protocol,
    connection: &mut MemberConnection,
    statements: &[ProxyStatement],
) -> Option<OrderReply> {
    let answer = timeout(ORDER_TIMEOUT, connection.run_proxy_statements(statements))
        .await
        .ok()?
        .ok()??;
    match answer.outcome {
        Ok(_) => (protocol.read_row)(answer.rows.first()?).map(OrderReply::Row),
        Err((Code::Busy, _)) => Some(OrderReply::Busy),
        Err(_) => None,
    }
}
