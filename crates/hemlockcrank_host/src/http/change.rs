//! Changes to records.

use std::sync::Arc;

use axum::{
    Json,
    extract::{State, rejection::JsonRejection},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
};
use hemlockcrank_core::{
    Name,
    record::{Action, Change, Digest, Id, Kind, Outcome, StoreError},
    state::{Command, Reply},
};
use hemlockcrank_wire::ProposeReply;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::error::{ApiError, authorize};
use crate::{context::Context, control::CommandError};

/// Longest operation id, in bytes.
const MAX_OP_BYTES: usize = 128;

/// Body of a request to change a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Operation id; a repeated request with the same id receives the first answer.
    pub op: Name,
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record.
    pub name: Name,
    /// Change to make. The text of a key may have its `secret` in place of the `digest`.
    pub action: Action,
}

pub(crate) async fn change(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
    body: Result<Json<ChangeRequest>, JsonRejection>,
) -> Result<Response, ApiError> {
    authorize(&headers, &context.settings.secrets.operator)?;
    let Json(request) = body.map_err(|error| ApiError::bad_request(error.body_text()))?;
    if request.op.is_empty() || request.op.len() > MAX_OP_BYTES {
        return Err(ApiError::bad_request("an operation id has 1 to 128 bytes"));
    }
    let site_secret = &context.settings.secrets.key_digest;
    let change = Change {
        op: request.op,
        id: Id::new(request.kind, request.name),
        action: match request.kind {
            Kind::Key => replace_secret(request.action, site_secret),
            _ => request.action,
        },
    };
    match context.control.propose(Command::Change(change)).await {
        Ok(ProposeReply::Applied {
            reply: Reply::Change(outcome),
            ..
        }) => Ok((status_code(&outcome), Json(outcome)).into_response()),
        Err(error @ CommandError::Unknown) => {
            Err(ApiError::new(StatusCode::GATEWAY_TIMEOUT, "unknown", error))
        }
        Ok(_) | Err(CommandError::NoLeader) => Err(ApiError::no_leader()),
    }
}

fn status_code(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Accepted { .. } => StatusCode::OK,
        Outcome::Refused { error, .. } => match error {
            StoreError::Conflict { .. } | StoreError::Exists { .. } => StatusCode::CONFLICT,
            StoreError::Missing => StatusCode::NOT_FOUND,
            StoreError::Invalid(_) | StoreError::Dangling { .. } | StoreError::Name => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
        },
    }
}

/// Replaces the `secret` in a key's text by its digest. Text that is malformed or has no `secret`
/// string is left unchanged; it is validated when the change is applied.
fn replace_secret(action: Action, site_secret: &str) -> Action {
    let replace = |text: Arc<str>| -> Arc<str> {
        let Ok(Value::Object(mut fields)) = serde_json::from_str(&text) else {
            return text;
        };
        let Some(Value::String(secret)) = fields.remove("secret") else {
            return text;
        };
        let digest = Digest::of(site_secret, &secret).to_hex();
        fields.insert("digest".into(), Value::String(digest));
        Value::Object(fields).to_string().into()
    };
    match action {
        Action::Submit { schema, text } => Action::Submit {
            schema,
            text: replace(text),
        },
        Action::Revise {
            schema,
            text,
            expected,
        } => Action::Revise {
            schema,
            text: replace(text),
            expected,
        },
        withdraw @ Action::Withdraw { .. } => withdraw,
    }
}
