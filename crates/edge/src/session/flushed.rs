//! Goes on with a batch outside a transaction block between its first `Flush` and its `Sync`.
//!
//! Its server connection is in a transaction that the `Sync` commits, so the batch
//! keeps the owner's stream, and no other session gets the connection. Only its first
//! part can be sent again; what comes later runs on what the first one did. When the
//! batch cannot go on, its stream is dropped, for which the owner closes the connection
//! and the back end rolls back.

use super::pass_answer::Answered;
use super::plan::ForwardPlan;
use super::state::{BatchOutcome, Session};
use super::unfinished::UnfinishedBatch;
use crate::error::SessionEnd;
use crate::link::OwnerStream;
use crate::metrics::Outcome;
use crate::retry::{Loss, Progress, judge_unfinished};
use bytes::BytesMut;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::{Access, Batch, ServedBy, TransactionStatus};
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::Sync;
use tokio::time::Instant;

/// What the answer to a part says.
struct PartAnswer {
    status: TransactionStatus,
    served_by: ServedBy,
    failed: bool,
}

impl Session {
    /// The first part of a batch is answered: keeps the stream for the next ones.
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
        self.end_of_part(unfinished, failed).await
    }

    /// Sends a later part and passes its answer on.
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
                let rejection = judge_unfinished(loss, unfinished.ran_write, runs_write);
                self.reject(&rejection);
                let begins = plan.block == BlockEffect::Opens && self.caller.has_more_input();
                self.leave_block(unfinished.block == BlockEffect::Opens || begins);
                return Ok((Outcome::of(&rejection), true));
            }
        };
        unfinished.ran_write |= runs_write;
        unfinished.block = unfinished.block.then(plan.block);
        if flushes && answer.status != TransactionStatus::Idle {
            self.end_of_part(unfinished, answer.failed).await?;
        } else {
            self.end_unfinished(unfinished, &answer);
        }
        Ok((Outcome::Done, answer.failed))
    }

    /// Keeps the batch for its next part. After an error nothing of it runs any more:
    /// it is ended at once, so that the server connection does not wait for the caller.
    async fn end_of_part(
        &mut self,
        mut unfinished: UnfinishedBatch,
        failed: bool,
    ) -> Result<(), SessionEnd> {
        if !failed {
            self.unfinished = Some(unfinished);
            return Ok(());
        }
        unfinished.stream.send(sync_alone());
        match self.pass_part(&mut unfinished).await? {
            Ok(answer) => self.end_unfinished(unfinished, &answer),
            Err(loss) => {
                // The caller has the error, for which the back end rolls back.
                log::debug!(group:% = unfinished.group, loss:? = loss; "failed batch lost");
                self.leave_block(unfinished.block == BlockEffect::Opens);
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
            Answered::Ready { status, served_by, failed } => {
                Ok(PartAnswer { status, served_by, failed })
            }
            Answered::Lost(loss) => Err(loss),
        })
    }

    /// The `Sync` is answered. A block that a part began goes on as any other.
    fn end_unfinished(&mut self, unfinished: UnfinishedBatch, answer: &PartAnswer) {
        let UnfinishedBatch { stream, group, access, .. } = unfinished;
        self.end_of_batch(stream, &group, access, answer.status, answer.served_by);
    }
}

fn sync_alone() -> Batch {
    let mut messages = BytesMut::new();
    if let Err(error) = Message::Sync(Sync::new()).encode(&mut messages) {
        log::error!(error = error.to_string().as_str(); "Sync was not encoded");
    }
    Batch { prepared: Vec::new(), messages: messages.to_vec() }
}
