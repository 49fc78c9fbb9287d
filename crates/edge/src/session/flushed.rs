//! Continues a batch outside a transaction block between its first `Flush` and its `Sync`.
//!
//! The server connection of such a batch is in a transaction that the `Sync` commits, so the batch
//! keeps its stream to the owner and no other session gets the connection. Only the first part may be
//! sent again; later parts depend on the effects of the first. If the batch cannot continue, the
//! session drops the stream, and the owner closes the connection, so that the back end rolls back.

use super::pass_answer::AnswerOutcome;
use super::plan::ForwardPlan;
use super::state::{BatchOutcome, Session};
use super::unfinished::UnfinishedBatch;
use crate::error::SessionEnd;
use crate::link::OwnerStream;
use crate::metrics::Outcome;
use crate::retry::{Loss, Progress, rejection_of_unfinished};
use bytes::BytesMut;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::{Access, Batch, ServedBy, TransactionStatus};
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::Sync;
use tokio::time::Instant;

/// The end of the answer to one part of a batch.
struct PartAnswer {
    status: TransactionStatus,
    served_by: ServedBy,
    failed: bool,
}

impl Session {
    /// Keeps the stream for further parts after the first part was answered.
    pub(super) async fn keep_unfinished(
        &mut self,
        stream: OwnerStream,
        group: &GroupName,
        plan: &ForwardPlan,
        failed: bool,
    ) -> Result<(), SessionEnd> {
        let deadline = Instant::now() + self.context.settings.unfinished_batch_timeout;
        let unfinished = UnfinishedBatch {
            stream,
            group: group.clone(),
            deadline,
            bytes: plan.batch.messages.len(),
            ran_write: plan.may_leave_write(),
            access: plan.access,
            block: plan.block,
        };
        self.finish_part(unfinished, failed).await
    }

    /// Sends a later part of the batch and passes its answer on.
    pub(super) async fn continue_unfinished(
        &mut self,
        mut unfinished: UnfinishedBatch,
        plan: ForwardPlan,
    ) -> Result<BatchOutcome, SessionEnd> {
        let (runs_write, flushes) = (plan.may_leave_write(), plan.flushes);
        if plan.access == Access::Write {
            unfinished.access = Access::Write;
        }
        unfinished.stream.send(plan.batch);
        let answer = match self.pass_part(&mut unfinished).await? {
            Ok(answer) => answer,
            Err(loss) => {
                let rejection = rejection_of_unfinished(loss, unfinished.ran_write, runs_write);
                self.reject(&rejection);
                let opens_block = plan.block == BlockEffect::Opens && self.caller.has_more_input();
                self.abandon_block_if(unfinished.block == BlockEffect::Opens || opens_block);
                return Ok((Outcome::for_rejection(&rejection), true));
            }
        };
        unfinished.ran_write |= runs_write;
        unfinished.block = unfinished.block.then(plan.block);
        if flushes && answer.status != TransactionStatus::Idle {
            self.finish_part(unfinished, answer.failed).await?;
        } else {
            self.finish_unfinished(unfinished, &answer);
        }
        Ok((Outcome::Done, answer.failed))
    }

    /// Keeps the batch for its next part. After an error the rest of the batch does not run, so the
    /// batch is ended at once and the server connection does not wait for the caller.
    async fn finish_part(
        &mut self,
        mut unfinished: UnfinishedBatch,
        failed: bool,
    ) -> Result<(), SessionEnd> {
        if !failed {
            self.unfinished = Some(unfinished);
            return Ok(());
        }
        unfinished.stream.send(sync_batch());
        match self.pass_part(&mut unfinished).await? {
            Ok(answer) => self.finish_unfinished(unfinished, &answer),
            Err(loss) => {
                // The caller has already received the error, because of which the back end rolls back.
                log::debug!(group:% = unfinished.group, loss:? = loss; "failed batch lost");
                self.abandon_block_if(unfinished.block == BlockEffect::Opens);
            }
        }
        Ok(())
    }

    async fn pass_part(
        &mut self,
        unfinished: &mut UnfinishedBatch,
    ) -> Result<Result<PartAnswer, Loss>, SessionEnd> {
        let mut progress = Progress {
            access: unfinished.access,
            first_batch: false,
            answered: true,
            may_commit: true,
            repeatable: false,
            keyed: false,
        };
        let UnfinishedBatch { stream, group, .. } = unfinished;
        Ok(match self.pass_answer(stream, group, &mut progress).await? {
            AnswerOutcome::Ready { status, served_by, failed } => {
                Ok(PartAnswer { status, served_by, failed })
            }
            AnswerOutcome::Lost(loss) => Err(loss),
        })
    }

    /// Ends the batch after the answer to its `Sync`. A transaction block that a part opened stays
    /// open.
    fn finish_unfinished(&mut self, unfinished: UnfinishedBatch, answer: &PartAnswer) {
        let UnfinishedBatch { stream, group, access, .. } = unfinished;
        self.finish_batch(stream, &group, access, answer.status, answer.served_by);
    }
}

fn sync_batch() -> Batch {
    let mut messages = BytesMut::new();
    if let Err(error) = Message::Sync(Sync::new()).encode(&mut messages) {
        log::error!(
            error = error.to_string().as_str();
            "Sync message cannot be encoded, the batch is sent without it"
        );
    }
    Batch { prepared: Vec::new(), messages: messages.to_vec() }
}
