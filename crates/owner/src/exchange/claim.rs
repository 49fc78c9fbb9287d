//! Claims an idempotency key, and loads the transcript stored under a key that is taken.
//!
//! `corktack_core::pool::outcomes` defines the statements; their answers are not forwarded to the caller.

use super::own::OwnStatementError;
use super::replies::CANNOT_CONNECT_NOW;
use super::state::{BatchOutcome, Exchange};
use crate::decisions::RetryCause;
use crate::transcript::TranscriptEntry;
use corktack_core::backend::{NOT_PRIMARY, TOO_MANY_CONNECTIONS};
use corktack_core::pool::outcomes::{
    CREATE_STATEMENTS, UNDEFINED_TABLE, claim_statement, decode_answer, lookup_statement,
    store_statement,
};
use corktack_protocol::frame;
use corktack_protocol::peer::{Failure, TransactionStatus};
use std::time::{SystemTime, UNIX_EPOCH};

/// Statement that opens the owner's transaction around a standalone write.
const BEGIN: &str = "BEGIN";
pub(super) const ROLLBACK: &str = "ROLLBACK";
/// Command tag of a claim that inserted the key.
const CLAIMED_TAG: &str = "INSERT 0 1";

/// Outcome of claiming an idempotency key.
pub(super) enum KeyClaim {
    Won,
    Taken,
    /// The table of outcomes was missing and has been created; the claim must be repeated.
    Repeat,
    /// The claim failed, and the batch ends with this outcome.
    Failed(BatchOutcome),
}

impl Exchange<'_> {
    /// Claims the key in the open transaction, or in a new one if `opens_transaction` is set.
    pub(super) async fn claim(
        &mut self,
        opens_transaction: bool,
    ) -> Result<KeyClaim, BatchOutcome> {
        let statement = claim_statement(self.key(), unix_time_ms());
        let text = if opens_transaction { format!("{BEGIN}; {statement}") } else { statement };
        let answer = self.run_own_statement(&text).await?;
        let Some(error) = answer.error else {
            if answer.tag == CLAIMED_TAG {
                return Ok(KeyClaim::Won);
            }
            self.run_own_statement(ROLLBACK).await?;
            return Ok(KeyClaim::Taken);
        };
        if error.sqlstate == UNDEFINED_TABLE {
            self.run_own_statement(ROLLBACK).await?;
            for statement in CREATE_STATEMENTS {
                // Errors are ignored: another owner may be creating the table, and the next claim shows
                // whether it exists.
                self.run_own_statement(statement).await?;
            }
            return Ok(KeyClaim::Repeat);
        }
        self.outcome_of_failed_claim(error).await.map(KeyClaim::Failed)
    }

    /// Returns the outcome of a batch whose claim failed with an error; no statement of the write has run.
    async fn outcome_of_failed_claim(
        &mut self,
        error: OwnStatementError,
    ) -> Result<BatchOutcome, BatchOutcome> {
        match error.sqlstate.as_str() {
            NOT_PRIMARY => Ok(self.outcome_of_refusal(RetryCause::NotPrimary)),
            CANNOT_CONNECT_NOW | TOO_MANY_CONNECTIONS => {
                Ok(BatchOutcome::Retry(RetryCause::BackEndRefused))
            }
            // Class 40, transaction rollback: the claim conflicted with another transaction.
            state if state.starts_with("40") => Ok(BatchOutcome::Retry(RetryCause::BackEndRefused)),
            _ => self.roll_back_with_error(&error).await,
        }
    }

    /// Loads the transcript of the first request; returns false when its row was removed in the meantime.
    pub(super) async fn load_transcript(&mut self) -> Result<bool, BatchOutcome> {
        let text = lookup_statement(self.key());
        let answer = self.run_own_statement(&text).await?;
        if answer.error.is_some() {
            return Err(BatchOutcome::Retry(RetryCause::BackEndRefused));
        }
        let Some(row) = answer.rows.into_iter().next() else {
            return Ok(false);
        };
        let stored = row.into_iter().next().flatten();
        let bytes = stored.and_then(|text| decode_answer(&text).ok());
        let entries = bytes.and_then(|bytes| frame::decode::<Vec<TranscriptEntry>>(&bytes).ok());
        let entries = entries.ok_or(BatchOutcome::Failed(Failure::Unknown))?;
        if let Some(keyed) = &mut self.keyed {
            keyed.entries = entries;
            keyed.replayed = Some(0);
        }
        self.record_position(answer.position);
        Ok(true)
    }

    /// Rolls the transaction back and answers the caller with the error.
    pub(super) async fn roll_back_with_error(
        &mut self,
        error: &OwnStatementError,
    ) -> Result<BatchOutcome, BatchOutcome> {
        self.run_own_statement(ROLLBACK).await?;
        self.buffered.clear();
        self.buffered.extend_from_slice(&error.message.bytes);
        Ok(BatchOutcome::Ready(TransactionStatus::Idle))
    }

    /// Returns the idempotency key of the write, or an empty string if it has none.
    pub(super) fn key(&self) -> &str {
        self.keyed.as_ref().map(|keyed| keyed.key.as_str()).unwrap_or_default()
    }

    /// Returns the statement that stores the transcript under the key.
    pub(super) fn store_statement(&self) -> Result<String, BatchOutcome> {
        let entries = self.keyed.as_ref().map(|keyed| keyed.entries.as_slice()).unwrap_or_default();
        let bytes = frame::encode(&entries).map_err(|_| BatchOutcome::Violation)?;
        Ok(store_statement(self.key(), &bytes))
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
pub(super) fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
