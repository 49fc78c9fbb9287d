//! Sends a batch to the group's owner, and sends it again where that is safe.
//!
//! A batch opens a transaction, or continues an open transaction or an unfinished batch. Only a batch
//! that opens a transaction may be sent again; `crate::retry` decides whether it is.

use super::owner_wait::FindOwnerError;
use super::pass_answer::AnswerOutcome;
use super::plan::ForwardPlan;
use super::state::{BatchOutcome, OpenTransaction, Session};
use crate::error::{Rejection, SessionEnd};
use crate::link::OwnerStream;
use crate::metrics::Outcome;
use crate::retry::{Loss, LostRequest, Progress, RetryDecision, decide_retry};
use corktack_core::binding::choose_class;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::{Access, OpenRequest, TransactionStatus};
use tokio::time::Instant;

impl Session {
    /// Sends a batch and passes the answer on to the caller, except for `ReadyForQuery`.
    pub(super) async fn forward(&mut self, plan: ForwardPlan) -> Result<BatchOutcome, SessionEnd> {
        self.registration.cancelled.mark_unchanged();
        if let Some(unfinished) = self.unfinished.take() {
            return self.continue_unfinished(unfinished, plan).await;
        }
        match self.transaction.take() {
            Some(transaction) => self.continue_transaction(transaction, plan).await,
            None => {
                let opens_block = plan.block == BlockEffect::Opens;
                let (outcome, failed) = self.open_transaction(plan).await?;
                // Statements that the caller has already sent after its BEGIN must not run outside the
                // transaction block.
                if opens_block && outcome != Outcome::Done && self.caller.has_more_input() {
                    self.abandon_transaction();
                }
                Ok((outcome, failed))
            }
        }
    }

    async fn continue_transaction(
        &mut self,
        transaction: OpenTransaction,
        plan: ForwardPlan,
    ) -> Result<BatchOutcome, SessionEnd> {
        let OpenTransaction { mut stream, group, access } = transaction;
        let ends_block = plan.block == BlockEffect::Ends;
        let mut progress = Progress {
            access,
            first_batch: false,
            answered: false,
            may_commit: plan.may_commit,
            repeatable: false,
            keyed: false,
        };
        stream.send(plan.batch);
        match self.pass_answer(&mut stream, &group, &mut progress).await? {
            AnswerOutcome::Ready { status, served_by, failed } => {
                self.finish_batch(stream, &group, access, status, served_by);
                Ok((Outcome::Done, failed))
            }
            AnswerOutcome::Lost(loss) => {
                let (RetryDecision::Retry(rejection) | RetryDecision::Final(rejection)) =
                    decide_retry(loss, progress);
                let outcome = self.reject_batch(&rejection);
                if !ends_block {
                    self.abandon_transaction();
                }
                Ok(outcome)
            }
        }
    }

    async fn open_transaction(&mut self, plan: ForwardPlan) -> Result<BatchOutcome, SessionEnd> {
        let mut uncertain = None;
        match self.try_owners(&plan, &mut uncertain).await? {
            Ok(outcome) => Ok(outcome),
            // An earlier attempt may have run, whatever the outcome of the last one.
            Err(_) if uncertain.is_some() => Ok(self.reject_batch(&Rejection::Unknown)),
            Err(rejection) => Ok(self.reject_batch(&rejection)),
        }
    }

    /// Sends the batch until it is answered or must not be sent again. Sets `uncertain` to the group in
    /// which an attempt may have run a write.
    async fn try_owners(
        &mut self,
        plan: &ForwardPlan,
        uncertain: &mut Option<GroupName>,
    ) -> Result<Result<BatchOutcome, Rejection>, SessionEnd> {
        let deadline = Instant::now() + self.context.settings.request_timeout;
        let idempotency_key = self.take_idempotency_key(plan);
        let mut view = self.context.view.clone();
        let mut attempt = 0;
        loop {
            let (group, route) = match self.find_owner(&mut view, deadline).await {
                Ok(found) => found,
                Err(FindOwnerError::Rejected(rejection)) => return Ok(Err(rejection)),
                Err(FindOwnerError::Ended(end)) => return Err(end),
            };
            // The idempotency key protects only within the group that may have run the write; another
            // group's database has no record of the key.
            if uncertain.as_ref().is_some_and(|uncertain_group| *uncertain_group != group) {
                return Ok(Err(Rejection::Unknown));
            }
            if attempt == 0 {
                self.context
                    .retries
                    .borrow_mut()
                    .record_request(&group, &self.context.current_view());
            }
            let request = self.open_request(plan, &group, idempotency_key.clone(), deadline);
            let stream = self.context.links.open(&route.owner, route.address, request);
            let lost_request = match self
                .pass_first_answer(plan, stream, &group, idempotency_key.is_some())
                .await?
            {
                Ok(outcome) => return Ok(Ok(outcome)),
                Err((loss, progress)) => match decide_retry(loss, progress) {
                    RetryDecision::Final(rejection) => return Ok(Err(rejection)),
                    RetryDecision::Retry(rejection) => LostRequest { loss, rejection, attempt },
                },
            };
            if lost_request.rejection == Rejection::Unknown {
                *uncertain = Some(group.clone());
            }
            if let Some(rejection) =
                self.prepare_retry(lost_request, &group, &mut view, deadline).await?
            {
                return Ok(Err(rejection));
            }
            attempt += 1;
        }
    }

    /// Takes the idempotency key for a batch that runs a write. A batch that only prepares a write
    /// leaves the key for the batch that runs it.
    fn take_idempotency_key(&mut self, plan: &ForwardPlan) -> Option<String> {
        if plan.runs_write() { self.idempotency_key.take() } else { None }
    }

    /// Passes on the answer to the batch that opens a transaction.
    async fn pass_first_answer(
        &mut self,
        plan: &ForwardPlan,
        mut stream: OwnerStream,
        group: &GroupName,
        keyed: bool,
    ) -> Result<Result<BatchOutcome, (Loss, Progress)>, SessionEnd> {
        let mut progress = Progress {
            access: plan.access,
            first_batch: true,
            answered: false,
            may_commit: plan.may_commit,
            repeatable: plan.repeatable,
            keyed,
        };
        Ok(match self.pass_answer(&mut stream, group, &mut progress).await? {
            AnswerOutcome::Ready { status, failed, .. }
                if plan.flushes && status != TransactionStatus::Idle =>
            {
                self.keep_unfinished(stream, group, plan, failed).await?;
                Ok((Outcome::Done, failed))
            }
            AnswerOutcome::Ready { status, served_by, failed } => {
                self.finish_batch(stream, group, plan.access, status, served_by);
                Ok((Outcome::Done, failed))
            }
            AnswerOutcome::Lost(loss) => Err((loss, progress)),
        })
    }

    fn open_request(
        &self,
        plan: &ForwardPlan,
        group: &GroupName,
        idempotency_key: Option<String>,
        deadline: Instant,
    ) -> OpenRequest {
        let view = self.context.current_view();
        let remaining = deadline.saturating_duration_since(Instant::now());
        OpenRequest {
            group: group.clone(),
            class: choose_class(&view, &self.identity, &self.context.settings.default_class),
            // Later parts of an unfinished batch may write, and they run on the same server as the
            // first part.
            access: if plan.flushes { Access::Write } else { plan.access },
            minimum: self.token.position(group),
            timeout_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            idempotency_key,
            batch: plan.batch.clone(),
        }
    }
}
