//! Error responses and authorization.

use axum::{
    Json,
    http::{HeaderMap, StatusCode, header::AUTHORIZATION},
    response::{IntoResponse, Response},
};
use hemlockcrank_core::Name;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Code and message of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable code for programs.
    pub code: Name,
    /// Message for people.
    pub message: Name,
}

/// An error response with its HTTP status.
#[derive(Debug)]
pub(crate) struct ApiError {
    status: StatusCode,
    body: ErrorBody,
}

impl ApiError {
    pub(crate) fn new(status: StatusCode, code: &str, message: impl std::fmt::Display) -> Self {
        let error = ErrorDetail {
            code: code.into(),
            message: message.to_string().into(),
        };
        Self {
            status,
            body: ErrorBody { error },
        }
    }

    pub(crate) fn not_found(message: impl std::fmt::Display) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    pub(crate) fn bad_request(message: impl std::fmt::Display) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    pub(crate) fn no_leader() -> Self {
        let message = "no control leader answers; nothing was done";
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "no_leader", message)
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        (self.status, Json(self.body)).into_response()
    }
}

/// Compares the bearer token of a request with `secret` in constant time.
pub(crate) fn authorize(headers: &HeaderMap, secret: &str) -> Result<(), ApiError> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    if bool::from(token.as_bytes().ct_eq(secret.as_bytes())) {
        return Ok(());
    }
    let message = "a valid bearer token is required";
    Err(ApiError::new(
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        message,
    ))
}
