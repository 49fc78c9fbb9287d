//! Writes under an idempotency key: at most once, with the first answer for repeats.
//!
//! The owner wraps a standalone write in a transaction that claims the key, runs the write and stores its
//! answer. In a transaction of the caller, the owner claims the key after BEGIN and stores the transcript
//! before COMMIT. In both cases key, write and answer are committed together.

use super::claim::{Claim, ROLLBACK};
use super::own::OwnAnswer;
use super::state::{Exchange, Step};
use crate::batch;
use crate::decisions::RetryCause;
use crate::transcript::{self, Turn};
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
const CLAIM_ATTEMPTS: usize = 4;

/// Error with which the owner answers a keyed write that did not take effect.
struct Refused {
    sqlstate: &'static str,
    text: &'static str,
}

const KEY_TOO_LONG: Refused =
    Refused { sqlstate: "22023", text: "the idempotency key is longer than 255 bytes" };
const KEY_REUSED: Refused =
    Refused { sqlstate: "22023", text: "the idempotency key belongs to another request" };
const TRANSACTION_CONTROL: Refused = Refused {
    sqlstate: "0A000",
    text: "under an idempotency key, BEGIN and COMMIT must be sent apart from other statements",
};
const ANSWER_TOO_LARGE: Refused = Refused {
    sqlstate: "54000",
    text: "the answer to a write under an idempotency key is over 64 KiB, it was rolled back",
};

impl Exchange<'_> {
    /// Runs the first batch of a keyed write.
    pub(super) async fn open_keyed(&mut self, batch: &Batch) -> Step {
        match self.try_open_keyed(batch).await {
            Ok(step) | Err(step) => step,
        }
    }

    /// Runs a later batch of a keyed transaction.
    pub(super) async fn continue_keyed(&mut self, batch: &Batch) -> Step {
        let step = match self.keyed.as_ref().and_then(|keyed| keyed.replayed) {
            Some(_) => self.replay_turn(batch).await,
            None => self.run_keyed_turn(batch).await,
        };
        match step {
            Ok(step) | Err(step) => step,
        }
    }

    async fn try_open_keyed(&mut self, batch: &Batch) -> Result<Step, Step> {
        let facts = self.facts;
        let alone = !facts.only_begins;
        if self.key().len() > KEY_LIMIT {
            return self.refuse_keyed(&KEY_TOO_LONG).await;
        }
        if alone && facts.controls_transaction {
            return self.refuse_keyed(&TRANSACTION_CONTROL).await;
        }
        for _ in 0..CLAIM_ATTEMPTS {
            if !alone {
                let status = ready(self.run_batch(batch).await)?;
                if status != TransactionStatus::Open {
                    return Ok(Step::Ready(status));
                }
            }
            match self.claim(alone).await? {
                Claim::Won if alone => return self.run_alone(batch).await,
                Claim::Won => return self.note_turn(batch, TransactionStatus::Open).await,
                Claim::Taken => {
                    self.held.clear();
                    if self.look_up().await? {
                        return self.replay_turn(batch).await;
                    }
                }
                Claim::Again => self.held.clear(),
                Claim::Ended(step) => return Ok(step),
            }
        }
        Ok(Step::Retry(RetryCause::BackEndRefused))
    }

    /// Runs a write alone in the transaction that claimed its key.
    async fn run_alone(&mut self, batch: &Batch) -> Result<Step, Step> {
        match ready(self.run_batch(batch).await)? {
            TransactionStatus::Failed => {
                // The error is the answer. Nothing is stored, so a repeat of the request runs again.
                self.own(ROLLBACK).await?;
                Ok(Step::Ready(TransactionStatus::Idle))
            }
            TransactionStatus::Open if self.is_oversized() => {
                self.refuse_keyed(&ANSWER_TOO_LARGE).await
            }
            TransactionStatus::Open => {
                self.push_turn(batch, self.kept_answer()?, TransactionStatus::Idle)?;
                let text = format!("{}; {COMMIT}", self.store_statement()?);
                self.set_commit_sent(true);
                let answer = self.own(&text).await?;
                self.end_alone(answer).await
            }
            // The batch ended the transaction itself, so the key may be committed without an answer.
            TransactionStatus::Idle => Ok(Step::Failed(Failure::Unknown)),
        }
    }

    async fn end_alone(&mut self, answer: OwnAnswer) -> Result<Step, Step> {
        let Some(error) = answer.error else {
            self.set_commit_sent(false);
            self.note_position(answer.position);
            return Ok(Step::Ready(TransactionStatus::Idle));
        };
        if leaves_outcome_open(&error.sqlstate) {
            return Ok(Step::Retry(RetryCause::ConnectionLost));
        }
        self.set_commit_sent(false);
        if error.sqlstate == NOT_PRIMARY {
            return Ok(self.refused(RetryCause::NotPrimary));
        }
        self.fail_with(&error).await
    }

    /// Runs a later batch of the caller's transaction.
    async fn run_keyed_turn(&mut self, batch: &Batch) -> Result<Step, Step> {
        let end = batch::only_ends(batch);
        if end.is_none() && self.facts.controls_transaction {
            return self.refuse_keyed(&TRANSACTION_CONTROL).await;
        }
        let commits = end == Some(TransactionEnd::Commit);
        if commits && self.status == TransactionStatus::Open {
            return self.commit_turns(batch).await;
        }
        let status = ready(self.run_batch(batch).await)?;
        if status == TransactionStatus::Idle {
            return Ok(Step::Ready(status));
        }
        self.note_turn(batch, status).await
    }

    async fn commit_turns(&mut self, batch: &Batch) -> Result<Step, Step> {
        let messages = transcript::commit_messages(batch).map_err(|_| Step::Violation)?;
        self.push_turn(batch, messages, TransactionStatus::Idle)?;
        let text = self.store_statement()?;
        let stored = self.own(&text).await?;
        if let Some(error) = stored.error {
            return self.fail_with(&error).await;
        }
        Ok(self.run_batch(batch).await)
    }

    /// Adds a batch of the caller's transaction and its answer to the transcript.
    async fn note_turn(&mut self, batch: &Batch, status: TransactionStatus) -> Result<Step, Step> {
        if self.is_oversized() {
            return self.refuse_keyed(&ANSWER_TOO_LARGE).await;
        }
        self.push_turn(batch, self.kept_answer()?, status)?;
        Ok(Step::Ready(status))
    }

    /// Answers a batch of a repeat from the transcript.
    async fn replay_turn(&mut self, batch: &Batch) -> Result<Step, Step> {
        let fingerprint = transcript::fingerprint(batch).map_err(|_| Step::Violation)?;
        let place = self.keyed.as_ref().and_then(|keyed| keyed.replayed).unwrap_or_default();
        let turn = self.keyed.as_ref().and_then(|keyed| keyed.turns.get(place)).cloned();
        let Some(turn) = turn.filter(|turn| turn.fingerprint == fingerprint) else {
            return self.refuse_keyed(&KEY_REUSED).await;
        };
        self.held = transcript::replayed(batch, &turn.messages).map_err(|_| Step::Violation)?;
        if let Some(keyed) = &mut self.keyed {
            keyed.replayed = Some(place + 1);
        }
        Ok(Step::Ready(turn.status))
    }

    async fn refuse_keyed(&mut self, refused: &Refused) -> Result<Step, Step> {
        self.own(ROLLBACK).await?;
        let message = wire::error_response(refused.sqlstate, refused.text);
        self.held = message.map_err(|error| Step::Lost(error.into()))?;
        Ok(Step::Ready(TransactionStatus::Idle))
    }

    fn is_oversized(&self) -> bool {
        self.keyed.as_ref().is_some_and(|keyed| keyed.oversized)
    }

    fn set_commit_sent(&mut self, sent: bool) {
        if let Some(keyed) = &mut self.keyed {
            keyed.commit_sent = sent;
        }
    }

    fn kept_answer(&self) -> Result<Vec<u8>, Step> {
        transcript::kept_messages(&self.held).map_err(|error| Step::Lost(error.into()))
    }

    fn push_turn(
        &mut self,
        batch: &Batch,
        messages: Vec<u8>,
        status: TransactionStatus,
    ) -> Result<(), Step> {
        let fingerprint = transcript::fingerprint(batch).map_err(|_| Step::Violation)?;
        if let Some(keyed) = &mut self.keyed {
            keyed.turns.push(Turn { fingerprint, messages, status });
        }
        Ok(())
    }
}

/// Returns the status after a batch, or the outcome of a batch that is not answered.
fn ready(step: Step) -> Result<TransactionStatus, Step> {
    match step {
        Step::Ready(status) => Ok(status),
        other => Err(other),
    }
}

/// Reports whether an error on a commit leaves the outcome unknown because the connection or the back end
/// failed, rather than the transaction.
fn leaves_outcome_open(sqlstate: &str) -> bool {
    ["08", "57P", "58", "XX"].iter().any(|class| sqlstate.starts_with(class))
}
