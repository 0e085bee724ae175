//! The marker row that makes a request id an idempotency key.
//!
//! The row is inserted in the transaction of the request's own work (the claim), or inserted as
//! void when an attempt must never commit any more.

use hemlockcrank_core::request::{Marker, MarkerState, Outcome};

use super::write::{DUPLICATE, READ_ONLY};
use crate::upstream::{Connection, ConnectionError};

/// SQLSTATE of a table that does not exist.
const NO_TABLE: &str = "42P01";

/// The marker of one attempt and the request id that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) request_id: String,
    pub(crate) marker: Marker,
}

/// Reason why a claim was not written.
pub(crate) enum ClaimError {
    /// The request ran before.
    Ran,
    /// The member is no longer the primary.
    NotPrimary,
    /// The connection was lost, or a statement failed; also if the marker table does not exist.
    Lost,
}

impl From<ConnectionError> for ClaimError {
    fn from(_: ConnectionError) -> Self {
        Self::Lost
    }
}

/// Opens a transaction and writes the claim in it; creates the marker table if it does not exist.
pub(crate) async fn begin_with_claim(
    connection: &mut Connection,
    claim: &Claim,
) -> Result<(), ClaimError> {
    connection.query("BEGIN").await?;
    let result = write_claim(connection, claim).await;
    if !matches!(result, Err(ClaimError::Lost)) {
        return result;
    }
    connection.query("ROLLBACK").await?;
    let created = connection.query(&Marker::create_table()).await?;
    if created.failed_with(READ_ONLY) {
        return Err(ClaimError::NotPrimary);
    }
    connection.query("BEGIN").await?;
    write_claim(connection, claim).await
}

/// Writes the claim in the open transaction, replacing the row of a voided attempt.
pub(crate) async fn write_claim(
    connection: &mut Connection,
    claim: &Claim,
) -> Result<(), ClaimError> {
    let reply = connection.query(&claim.marker.find()).await?;
    if reply.error.is_some() {
        return Err(ClaimError::Lost);
    }
    let column = reply.rows.first().and_then(|row| row.first()?.as_deref());
    match column.map(Marker::parse) {
        Some(MarkerState::Ran) => {
            connection.query("ROLLBACK").await?;
            return Err(ClaimError::Ran);
        }
        Some(MarkerState::Void { attempt }) => {
            connection
                .query(&claim.marker.delete_voided(&attempt))
                .await?;
        }
        None => {}
    }
    let inserted = connection.query(&claim.marker.claim()).await?;
    if inserted.failed_with(READ_ONLY) {
        return Err(ClaimError::NotPrimary);
    }
    if inserted.error.is_some() {
        return Err(ClaimError::Lost);
    }
    Ok(())
}

/// Voids an attempt, so that it can never commit; `None` if the outcome has to be checked again.
pub(crate) async fn void_attempt(
    connection: &mut Connection,
    marker: &Marker,
) -> Result<Option<Outcome>, ConnectionError> {
    let voided = connection.query(&marker.void()).await?;
    if voided.error.is_none() {
        return Ok(Some(Outcome::NotRun));
    }
    if voided.failed_with(NO_TABLE) {
        connection.query(&Marker::create_table()).await?;
        return Ok(None);
    }
    if !voided.failed_with(DUPLICATE) {
        return Ok(None);
    }
    let reply = connection.query(&marker.find()).await?;
    let column = reply.rows.first().and_then(|row| row.first()?.as_deref());
    match column.map(Marker::parse) {
        Some(MarkerState::Ran) => Ok(Some(Outcome::Ran)),
        Some(MarkerState::Void { attempt }) if attempt == marker.voided_attempt() => {
            Ok(Some(Outcome::NotRun))
        }
        Some(MarkerState::Void { attempt }) => {
            for statement in [
                "BEGIN",
                &marker.delete_voided(&attempt),
                &marker.void(),
                "COMMIT",
            ] {
                connection.query(statement).await?;
            }
            Ok(None)
        }
        None => Ok(None),
    }
}
