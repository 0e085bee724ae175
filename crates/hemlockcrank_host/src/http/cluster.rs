//! Records, status, databases and the timeline, for operators.

use std::{sync::Arc, time::Duration};

use axum::{
    Json,
    extract::{Path, State, rejection::JsonRejection},
    http::{HeaderMap, StatusCode},
};
use hemlockcrank_core::{
    Name,
    record::{Id, Kind, Record},
};
use hemlockcrank_wire::{EventRecord, Request, Response as PeerResponse};
use serde::{Deserialize, Serialize};

use super::error::{ApiError, authorize};
use crate::{
    context::Context,
    control::{CommandError, Status},
};

/// Longest wait for one host's events.
const EVENTS_LIMIT: Duration = Duration::from_millis(800);

/// A record as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordView {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: Name,
    /// Schema version of the text.
    pub schema: u32,
    /// Revision.
    pub revision: u64,
    /// Whether it was withdrawn.
    pub withdrawn: bool,
    /// Log index of the last change.
    pub index: u64,
    /// Text as accepted.
    pub text: Arc<str>,
}

/// Whether a change is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForceView {
    /// Log index of the change.
    pub index: u64,
    /// Whether every live host has it in force.
    pub in_force: bool,
    /// Hosts that do not have it yet.
    pub waiting: Vec<Name>,
}

/// A member as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address.
    pub address: std::net::SocketAddr,
    /// Whether it answered this host's last query; `None` when this host has no status of it.
    pub reachable: Option<bool>,
    /// Term that it has adopted.
    pub adopted: Option<u64>,
    /// Term and index of its last log entry.
    pub last: Option<(u64, u64)>,
}

/// A database as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseView {
    /// Name.
    pub name: Name,
    /// Service.
    pub service: Name,
    /// Term.
    pub term: u64,
    /// Primary.
    pub primary: Option<Name>,
    /// Term of a change of primary in progress.
    pub promotion: Option<u64>,
    /// Members.
    pub members: Vec<MemberView>,
}

/// A planned change of primary.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SwitchoverRequest {
    /// Database.
    pub database: Name,
    /// Member that should become primary.
    pub member: Name,
    /// Term of the present primary, as in [`DatabaseView::term`]. Once that term has ended the order is
    /// refused; without it, the order is about whichever term there is when it arrives.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<u64>,
}

/// Events of all hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineView {
    /// Events in causal order.
    pub events: Vec<EventRecord>,
    /// Hosts that did not answer, and configured peers that are not in the view.
    pub missing: Vec<Name>,
}

impl From<&Record> for RecordView {
    fn from(record: &Record) -> Self {
        Self {
            kind: record.id.kind,
            name: record.id.name.clone(),
            schema: record.schema,
            revision: record.revision,
            withdrawn: record.body.is_none(),
            index: record.index,
            text: record.text.clone(),
        }
    }
}

pub(crate) async fn records(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
) -> Result<Json<Vec<RecordView>>, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let host_state = context.control.host_state();
    Ok(Json(
        host_state.state.records.iter().map(Into::into).collect(),
    ))
}

pub(crate) async fn record(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<RecordView>, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let kind: Kind = kind
        .parse()
        .map_err(|_| ApiError::bad_request(format!("`{kind}` is no kind of record")))?;
    let host_state = context.control.host_state();
    let record = host_state.state.records.get(&Id::new(kind, name.as_str()));
    let record = record.ok_or_else(|| ApiError::not_found(format!("no {kind} `{name}`")))?;
    Ok(Json(record.into()))
}

pub(crate) async fn status(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
) -> Result<Json<Status>, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let mut status = context
        .control
        .status()
        .await
        .ok_or_else(ApiError::no_leader)?;
    if let Some(PeerResponse::Progress(Some(hosts))) =
        context.control.call_leader(Request::Progress).await
    {
        status.hosts = hosts;
    }
    Ok(Json(status))
}

pub(crate) async fn force(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
    Path(index): Path<u64>,
) -> Result<Json<ForceView>, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let Some(PeerResponse::Progress(Some(hosts))) =
        context.control.call_leader(Request::Progress).await
    else {
        return Err(ApiError::no_leader());
    };
    let behind = |applied: Option<u64>| applied.is_none_or(|applied| applied < index);
    let waiting: Vec<Name> = hosts
        .into_iter()
        .filter(|host| behind(host.applied))
        .map(|host| host.host)
        .collect();
    Ok(Json(ForceView {
        index,
        in_force: waiting.is_empty(),
        waiting,
    }))
}

pub(crate) async fn databases(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
) -> Result<Json<Vec<DatabaseView>>, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let host_state = context.control.host_state();
    let views = host_state.state.directory.iter().map(|(name, database)| {
        let upstream = context.upstreams.get(&host_state, name);
        let samples = upstream.map(|u| u.tracker.samples()).unwrap_or_default();
        let members = database.members.iter().map(|(member, data)| {
            let sample = samples.latest.get(member);
            MemberView {
                name: member.clone(),
                zone: data.zone.clone(),
                address: data.address,
                reachable: sample.map(|sample| sample.reachable),
                adopted: sample.map(|sample| sample.status.adopted),
                last: sample.map(|s| (s.status.last.term, s.status.last.index)),
            }
        });
        DatabaseView {
            name: name.clone(),
            service: database.service.clone(),
            term: database.term,
            primary: database.primary.clone(),
            promotion: database.promotion.as_ref().map(|p| p.term),
            members: members.collect(),
        }
    });
    Ok(Json(views.collect()))
}

pub(crate) async fn switchover(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
    body: Result<Json<SwitchoverRequest>, JsonRejection>,
) -> Result<Json<SwitchoverRequest>, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let Json(request) = body.map_err(|error| ApiError::bad_request(error.body_text()))?;
    let host_state = context.control.host_state();
    let SwitchoverRequest {
        database,
        member,
        term,
    } = request.clone();
    let committed = host_state.state.directory.get(&database);
    let committed = committed.filter(|database| database.members.contains_key(&member));
    let Some(committed) = committed else {
        return Err(ApiError::not_found("no such member of such a database"));
    };
    let call = Request::SwitchOver {
        database,
        member,
        term: term.unwrap_or(committed.term),
    };
    match context.control.order_leader(call).await {
        Ok(PeerResponse::Received) => Ok(Json(request)),
        Ok(PeerResponse::Stale) => Err(ApiError::new(
            StatusCode::CONFLICT,
            "conflict",
            "the primary has changed, or another member was asked for; nothing was done",
        )),
        Err(error @ CommandError::Unknown) => {
            Err(ApiError::new(StatusCode::GATEWAY_TIMEOUT, "unknown", error))
        }
        Ok(_) | Err(CommandError::NoLeader) => Err(ApiError::no_leader()),
    }
}

pub(crate) async fn timeline(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
) -> Result<Json<TimelineView>, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let host_state = context.control.host_state();
    let own_name = &context.control.host().name;
    let others = host_state
        .state
        .view
        .iter()
        .filter(|host| host.name != *own_name);
    let calls = others.map(|host| {
        let (context, host) = (Arc::clone(&context), host.clone());
        let address = context.peers.address_of(&host.name, &host_state.state.view);
        async move {
            let address = address.unwrap_or(host.peer);
            let call = context.peers.call(address, &Request::Events, EVENTS_LIMIT);
            (host.name, call.await)
        }
    });
    let mut events = context.timeline.records();
    let mut missing = Vec::new();
    for (host, answer) in futures_util::future::join_all(calls).await {
        match answer {
            Ok(PeerResponse::Events(records)) => events.extend(records),
            _ => missing.push(host),
        }
    }
    let in_view = |name: &Name| host_state.state.view.get(name).is_some();
    let configured = context.settings.peers.iter().map(|peer| &peer.host);
    missing.extend(configured.filter(|name| !in_view(name)).cloned());
    events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    Ok(Json(TimelineView { events, missing }))
}
