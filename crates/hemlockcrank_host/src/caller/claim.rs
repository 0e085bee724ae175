//! The marker row of a request: claimed with its work, voided where the work must not commit any more.

use hemlockcrank_core::request::{Marker, MarkerState, Outcome};

use super::write::{DUPLICATE, READ_ONLY};
use crate::upstream::{Connection, ConnectionError};

/// SQLSTATE of a table that does not exist.
const NO_TABLE: &str = "42P01";

/// The marker of an attempt, with the request that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) request: String,
    pub(crate) marker: Marker,
}

/// Why a claim was not written.
pub(crate) enum ClaimError {
    /// The request has run before.
    Ran,
    /// The member is no primary any more.
    NotPrimary,
    /// The connection or the transaction is lost.
    Lost,
}

impl From<ConnectionError> for ClaimError {
    fn from(_: ConnectionError) -> Self {
        Self::Lost
    }
}

/// Opens a transaction and writes the claim into it; makes the table where there is none.
pub(crate) async fn open_claim(
    connection: &mut Connection,
    claim: &Claim,
) -> Result<(), ClaimError> {
    connection.query("BEGIN").await?;
    let first = write_claim(connection, claim).await;
    if !matches!(first, Err(ClaimError::Lost)) {
        return first;
    }
    connection.query("ROLLBACK").await?;
    let made = connection.query(&Marker::create_table()).await?;
    if made.failed_with(READ_ONLY) {
        return Err(ClaimError::NotPrimary);
    }
    connection.query("BEGIN").await?;
    write_claim(connection, claim).await
}

pub(crate) async fn write_claim(
    connection: &mut Connection,
    claim: &Claim,
) -> Result<(), ClaimError> {
    let found = connection.query(&claim.marker.find()).await?;
    if found.error.is_some() {
        return Err(ClaimError::Lost);
    }
    let column = found.rows.first().and_then(|row| row.first()?.as_deref());
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
    let claimed = connection.query(&claim.marker.claim()).await?;
    if claimed.failed_with(READ_ONLY) {
        return Err(ClaimError::NotPrimary);
    }
    if claimed.error.is_some() {
        return Err(ClaimError::Lost);
    }
    Ok(())
}

/// Voids an attempt; `None` when it has to be asked again.
pub(crate) async fn void(
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
    let found = connection.query(&marker.find()).await?;
    let column = found.rows.first().and_then(|row| row.first()?.as_deref());
    match column.map(Marker::parse) {
        Some(MarkerState::Ran) => Ok(Some(Outcome::Ran)),
        Some(MarkerState::Void { attempt }) if attempt == marker.voided_attempt() => {
            Ok(Some(Outcome::NotRun))
        }
        Some(MarkerState::Void { attempt }) => {
            for text in [
                "BEGIN",
                &marker.delete_voided(&attempt),
                &marker.void(),
                "COMMIT",
            ] {
                connection.query(text).await?;
            }
            Ok(None)
        }
        None => Ok(None),
    }
}
