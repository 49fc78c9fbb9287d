//! Writes under an idempotency key: at most once, with the first answer for repeats.
//!
//! The owner wraps a standalone write in a transaction that claims the key, runs the write and stores its
//! answer. In a transaction of the caller, the owner claims the key after BEGIN and stores the transcript
//! before COMMIT. In both cases key, write and answer are committed together.

use super::claim::{KeyClaim, ROLLBACK};
use super::own::OwnStatementAnswer;
use super::state::{BatchOutcome, Exchange};
use crate::batch;
use crate::decisions::RetryCause;
use crate::transcript::{self, TranscriptEntry};
use crate::wire;
use corktack_core::backend::NOT_PRIMARY;
use corktack_core::pool::outcomes::KEY_LIMIT;
use corktack_core::pool::statements::TransactionEnd;
use corktack_protocol::peer::{Batch, Failure, TransactionStatus};

/// Statement that commits the owner's transaction around a standalone write.
const COMMIT: &str = "COMMIT";
/// Number of attempts to claim a key before the request goes back to the router. The first may find the table
/// missing, the second may conflict with the table's creation by another owner, and the others are a margin;
/// more attempts occupy the slot for longer.
const MAX_CLAIM_ATTEMPTS: usize = 4;

/// Error with which the owner answers a keyed write that did not take effect.
struct KeyedRefusal {
    sqlstate: &'static str,
    text: &'static str,
}

const KEY_TOO_LONG: KeyedRefusal =
    KeyedRefusal { sqlstate: "22023", text: "the idempotency key is longer than 255 bytes" };
const KEY_REUSED: KeyedRefusal =
    KeyedRefusal { sqlstate: "22023", text: "the idempotency key belongs to another request" };
const TRANSACTION_CONTROL: KeyedRefusal = KeyedRefusal {
    sqlstate: "0A000",
    text: "under an idempotency key, BEGIN and COMMIT must be sent apart from other statements",
};
const ANSWER_TOO_LARGE: KeyedRefusal = KeyedRefusal {
    sqlstate: "54000",
    text: "the answer to a write under an idempotency key is over 64 KiB, it was rolled back",
};

impl Exchange<'_> {
    /// Runs the first batch of a keyed write.
    pub(super) async fn open_keyed(&mut self, batch: &Batch) -> BatchOutcome {
        match self.try_open_keyed(batch).await {
            Ok(outcome) | Err(outcome) => outcome,
        }
    }

    /// Runs a later batch of a keyed transaction.
    pub(super) async fn continue_keyed(&mut self, batch: &Batch) -> BatchOutcome {
        let outcome = match self.keyed.as_ref().and_then(|keyed| keyed.replayed) {
            Some(_) => self.replay_batch(batch).await,
            None => self.run_keyed_batch(batch).await,
        };
        match outcome {
            Ok(outcome) | Err(outcome) => outcome,
        }
    }

    async fn try_open_keyed(&mut self, batch: &Batch) -> Result<BatchOutcome, BatchOutcome> {
        let properties = self.properties;
        let is_standalone = !properties.only_begins;
        if self.key().len() > KEY_LIMIT {
            return self.refuse_keyed(&KEY_TOO_LONG).await;
        }
        if is_standalone && properties.controls_transaction {
            return self.refuse_keyed(&TRANSACTION_CONTROL).await;
        }
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            if !is_standalone {
                let status = ready_status(self.run_batch(batch).await)?;
                if status != TransactionStatus::Open {
                    return Ok(BatchOutcome::Ready(status));
                }
            }
            match self.claim(is_standalone).await? {
                KeyClaim::Won if is_standalone => return self.run_standalone(batch).await,
                KeyClaim::Won => return self.record_batch(batch, TransactionStatus::Open).await,
                KeyClaim::Taken => {
                    self.buffered.clear();
                    if self.load_transcript().await? {
                        return self.replay_batch(batch).await;
                    }
                }
                KeyClaim::Repeat => self.buffered.clear(),
                KeyClaim::Failed(outcome) => return Ok(outcome),
            }
        }
        Ok(BatchOutcome::Retry(RetryCause::BackEndRefused))
    }

    /// Runs a standalone write in the transaction that claimed its key.
    async fn run_standalone(&mut self, batch: &Batch) -> Result<BatchOutcome, BatchOutcome> {
        match ready_status(self.run_batch(batch).await)? {
            TransactionStatus::Failed => {
                // The error is the answer. Nothing is stored, so a repeat of the request runs again.
                self.run_own_statement(ROLLBACK).await?;
                Ok(BatchOutcome::Ready(TransactionStatus::Idle))
            }
            TransactionStatus::Open if self.is_oversized() => {
                self.refuse_keyed(&ANSWER_TOO_LARGE).await
            }
            TransactionStatus::Open => {
                self.push_entry(batch, self.answer_to_store()?, TransactionStatus::Idle)?;
                let text = format!("{}; {COMMIT}", self.store_statement()?);
                self.set_commit_sent(true);
                let answer = self.run_own_statement(&text).await?;
                self.finish_standalone(answer).await
            }
            // The batch ended the transaction itself, so the key may be committed without an answer.
            TransactionStatus::Idle => Ok(BatchOutcome::Failed(Failure::Unknown)),
        }
    }

    async fn finish_standalone(
        &mut self,
        answer: OwnStatementAnswer,
    ) -> Result<BatchOutcome, BatchOutcome> {
        let Some(error) = answer.error else {
            self.set_commit_sent(false);
            self.record_position(answer.position);
            return Ok(BatchOutcome::Ready(TransactionStatus::Idle));
        };
        if leaves_outcome_open(&error.sqlstate) {
            return Ok(BatchOutcome::Retry(RetryCause::ConnectionLost));
        }
        self.set_commit_sent(false);
        if error.sqlstate == NOT_PRIMARY {
            return Ok(self.outcome_of_refusal(RetryCause::NotPrimary));
        }
        self.roll_back_with_error(&error).await
    }

    /// Runs a later batch of the caller's transaction.
    async fn run_keyed_batch(&mut self, batch: &Batch) -> Result<BatchOutcome, BatchOutcome> {
        let end = batch::transaction_end(batch);
        if end.is_none() && self.properties.controls_transaction {
            return self.refuse_keyed(&TRANSACTION_CONTROL).await;
        }
        let commits = end == Some(TransactionEnd::Commit);
        if commits && self.status == TransactionStatus::Open {
            return self.commit_with_transcript(batch).await;
        }
        let status = ready_status(self.run_batch(batch).await)?;
        if status == TransactionStatus::Idle {
            return Ok(BatchOutcome::Ready(status));
        }
        self.record_batch(batch, status).await
    }

    async fn commit_with_transcript(
        &mut self,
        batch: &Batch,
    ) -> Result<BatchOutcome, BatchOutcome> {
        let messages =
            transcript::commit_answer_messages(batch).map_err(|_| BatchOutcome::Violation)?;
        self.push_entry(batch, messages, TransactionStatus::Idle)?;
        let text = self.store_statement()?;
        let stored = self.run_own_statement(&text).await?;
        if let Some(error) = stored.error {
            return self.roll_back_with_error(&error).await;
        }
        Ok(self.run_batch(batch).await)
    }

    /// Adds a batch of the caller's transaction and its answer to the transcript.
    async fn record_batch(
        &mut self,
        batch: &Batch,
        status: TransactionStatus,
    ) -> Result<BatchOutcome, BatchOutcome> {
        if self.is_oversized() {
            return self.refuse_keyed(&ANSWER_TOO_LARGE).await;
        }
        self.push_entry(batch, self.answer_to_store()?, status)?;
        Ok(BatchOutcome::Ready(status))
    }

    /// Answers a batch of a repeat from the transcript.
    async fn replay_batch(&mut self, batch: &Batch) -> Result<BatchOutcome, BatchOutcome> {
        let fingerprint = transcript::fingerprint(batch).map_err(|_| BatchOutcome::Violation)?;
        let index = self.keyed.as_ref().and_then(|keyed| keyed.replayed).unwrap_or_default();
        let entry = self.keyed.as_ref().and_then(|keyed| keyed.entries.get(index)).cloned();
        let Some(entry) = entry.filter(|entry| entry.fingerprint == fingerprint) else {
            return self.refuse_keyed(&KEY_REUSED).await;
        };
        self.buffered = transcript::replay_answer(batch, &entry.messages)
            .map_err(|_| BatchOutcome::Violation)?;
        if let Some(keyed) = &mut self.keyed {
            keyed.replayed = Some(index + 1);
        }
        Ok(BatchOutcome::Ready(entry.status))
    }

    async fn refuse_keyed(&mut self, refusal: &KeyedRefusal) -> Result<BatchOutcome, BatchOutcome> {
        self.run_own_statement(ROLLBACK).await?;
        let message = wire::error_response(refusal.sqlstate, refusal.text);
        self.buffered = message.map_err(|error| BatchOutcome::Lost(error.into()))?;
        Ok(BatchOutcome::Ready(TransactionStatus::Idle))
    }

    fn is_oversized(&self) -> bool {
        self.keyed.as_ref().is_some_and(|keyed| keyed.oversized)
    }

    fn set_commit_sent(&mut self, sent: bool) {
        if let Some(keyed) = &mut self.keyed {
            keyed.commit_sent = sent;
        }
    }

    fn answer_to_store(&self) -> Result<Vec<u8>, BatchOutcome> {
        transcript::messages_to_store(&self.buffered)
            .map_err(|error| BatchOutcome::Lost(error.into()))
    }

    fn push_entry(
        &mut self,
        batch: &Batch,
        messages: Vec<u8>,
        status: TransactionStatus,
    ) -> Result<(), BatchOutcome> {
        let fingerprint = transcript::fingerprint(batch).map_err(|_| BatchOutcome::Violation)?;
        if let Some(keyed) = &mut self.keyed {
            keyed.entries.push(TranscriptEntry { fingerprint, messages, status });
        }
        Ok(())
    }
}

/// Returns the status after a batch, or the outcome of a batch that is not answered.
fn ready_status(outcome: BatchOutcome) -> Result<TransactionStatus, BatchOutcome> {
    match outcome {
        BatchOutcome::Ready(status) => Ok(status),
        other => Err(other),
    }
}

/// Reports whether an error on a commit leaves the outcome unknown because the connection or the back end
/// failed, rather than the transaction.
fn leaves_outcome_open(sqlstate: &str) -> bool {
    ["08", "57P", "58", "XX"].iter().any(|class| sqlstate.starts_with(class))
}
