//! Announcements, health checks and metrics.

use std::sync::Arc;

use axum::{
    Json,
    extract::{Query, State, rejection::JsonRejection},
    http::{HeaderMap, StatusCode},
};
use hemlockcrank_core::{directory::Announcement, state::Command};
use serde::Deserialize;

use super::error::{ApiError, authorize};
use crate::context::Context;

/// Maximum number of members of a database.
const MAX_MEMBERS: u32 = 9;
/// Longest name in an announcement, in bytes.
const MAX_NAME_BYTES: usize = 128;

pub(crate) async fn announce(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
    body: Result<Json<Announcement>, JsonRejection>,
) -> Result<StatusCode, ApiError> {
    authorize(&headers, &context.settings.secrets.platform)?;
    let Json(announcement) = body.map_err(|error| ApiError::bad_request(error.body_text()))?;
    validate(&announcement)?;
    let host_state = context.control.host_state();
    let database = host_state.state.directory.get(&announcement.database);
    if database.is_some_and(|database| !database.accepts(&announcement)) {
        let message = "the database has another service, or no room for this member";
        return Err(ApiError::new(StatusCode::CONFLICT, "conflict", message));
    }
    if !host_state.state.directory.would_change(&announcement) {
        return Ok(StatusCode::OK);
    }
    let command = Command::Announce(announcement);
    match context.control.propose(command).await {
        Ok(_) => Ok(StatusCode::OK),
        Err(_) => Err(ApiError::no_leader()),
    }
}

fn validate(announcement: &Announcement) -> Result<(), ApiError> {
    let names = [
        &announcement.service,
        &announcement.database,
        &announcement.member,
        &announcement.zone,
    ];
    let is_valid = |name: &str| {
        let length_valid = (1..=MAX_NAME_BYTES).contains(&name.len());
        length_valid && !name.chars().any(|c| c.is_control() || c == '\'')
    };
    if !names.iter().all(|name| is_valid(name)) {
        let message = "names have 1 to 128 bytes, no control characters and no quotes";
        return Err(ApiError::bad_request(message));
    }
    if !(1..=MAX_MEMBERS).contains(&announcement.members) {
        return Err(ApiError::bad_request("field `members` must be from 1 to 9"));
    }
    if announcement.connections == 0 || announcement.slots == 0 {
        let message = "fields `connections` and `slots` must be 1 or more";
        return Err(ApiError::bad_request(message));
    }
    Ok(())
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct ReadyQuery {
    #[serde(default)]
    open: Option<String>,
}

/// Readiness check: 200 when this host accepts new callers. With `?open` it is enough that this
/// host serves open routes, which need no lease.
pub(crate) async fn ready(
    State(context): State<Arc<Context>>,
    Query(query): Query<ReadyQuery>,
) -> (StatusCode, &'static str) {
    let host_state = context.control.host_state();
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    if host_state.draining {
        return (unavailable, "draining\n");
    }
    if !host_state
        .state
        .records
        .zone_in_service(&context.settings.zone)
    {
        return (unavailable, "zone out of service\n");
    }
    if host_state.has_lease() {
        return (StatusCode::OK, "ready\n");
    }
    if query.open.is_some() && host_state.state.index > 0 {
        return (StatusCode::OK, "open routes only\n");
    }
    (unavailable, "no lease\n")
}

/// Liveness check.
pub(crate) async fn live() -> &'static str {
    "live\n"
}

pub(crate) async fn metrics(State(context): State<Arc<Context>>) -> String {
    context.metrics.render()
}
