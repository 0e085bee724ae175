//! HTTP server for operators, the platform's announcements, the load balancer and metrics.
//!
//! | path | client | purpose |
//! |---|---|---|
//! | `POST /v1/changes` | operator | submit, revise or withdraw a record |
//! | `GET /v1/records`, `GET /v1/records/KIND/NAME` | operator | current records |
//! | `GET /v1/status` | operator | this host and the control group |
//! | `GET /v1/force/INDEX` | operator | whether every live host has a change in force |
//! | `GET /v1/databases` | operator | databases, members, primaries |
//! | `POST /v1/switchover` | operator | planned change of primary |
//! | `GET /v1/timeline` | operator | recent events of all hosts |
//! | `POST /v1/announcements` | platform | a member announces itself |
//! | `GET /ready`, `GET /live`, `GET /metrics` | any | load balancer and metrics scraper |
//!
//! Every error is JSON: `{"error": {"code": ..., "message": ...}}`.

mod change;
mod cluster;
mod error;
mod platform;

use std::sync::Arc;

use axum::{
    Router,
    extract::DefaultBodyLimit,
    routing::{get, post},
};
use hemlockcrank_core::budget::Port;
use tokio::net::TcpListener;

use crate::{budget::Listener, context::Context};

pub use change::ChangeRequest;
pub use cluster::{
    DatabaseView, ForceView, MemberView, RecordView, SwitchoverRequest, TimelineView,
};
pub use error::{ErrorBody, ErrorDetail};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Serves requests until dropped.
pub(crate) async fn serve(context: Arc<Context>, listener: TcpListener) {
    let listener = Listener::new(listener, Arc::clone(&context.budget), Port::Operators);
    let router = Router::new()
        .route("/v1/changes", post(change::change))
        .route("/v1/records", get(cluster::records))
        .route("/v1/records/{kind}/{name}", get(cluster::record))
        .route("/v1/status", get(cluster::status))
        .route("/v1/force/{index}", get(cluster::force))
        .route("/v1/databases", get(cluster::databases))
        .route("/v1/switchover", post(cluster::switchover))
        .route("/v1/timeline", get(cluster::timeline))
        .route("/v1/announcements", post(platform::announce))
        .route("/ready", get(platform::ready))
        .route("/live", get(platform::live))
        .route("/metrics", get(platform::metrics))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(context);
    let _ = axum::serve(listener, router).await;
}
