//! Sends a batch to the group's owner, and again where that is safe.
//!
//! A batch opens a transaction, goes on with an open one, or with one that is unfinished. Only the first can
//! be sent again: whether it is, `crate::retry` decides.

use super::owner_wait::NoOwner;
use super::pass_answer::Answered;
use super::plan::ForwardPlan;
use super::state::{BatchOutcome, OpenTransaction, Session};
use crate::error::{Rejection, SessionEnd};
use crate::link::OwnerStream;
use crate::metrics::Outcome;
use crate::retry::{Loss, Lost, Progress, Verdict, judge};
use corktack_core::binding::choose_class;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::{Access, OpenRequest, TransactionStatus};
use tokio::time::Instant;

impl Session {
    /// Sends a batch and passes the answer on. The caller gets everything but `ReadyForQuery`.
    pub(super) async fn forward(&mut self, plan: ForwardPlan) -> Result<BatchOutcome, SessionEnd> {
        self.registration.cancelled.mark_unchanged();
        if let Some(unfinished) = self.unfinished.take() {
            return self.continue_unfinished(unfinished, plan).await;
        }
        match self.transaction.take() {
            Some(transaction) => self.continue_transaction(transaction, plan).await,
            None => {
                let opens = plan.block == BlockEffect::Opens;
                let (outcome, failed) = self.open_transaction(plan).await?;
                // What the caller wrote behind its BEGIN must not run on its own.
                if opens && outcome != Outcome::Done && self.caller.has_more_input() {
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
        let ends = plan.block == BlockEffect::Ends;
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
            Answered::Ready { status, served_by, failed } => {
                self.end_of_batch(stream, &group, access, status, served_by);
                Ok((Outcome::Done, failed))
            }
            Answered::Lost(loss) => {
                let (Verdict::Retry(rejection) | Verdict::Final(rejection)) = judge(loss, progress);
                let outcome = self.give_up(&rejection);
                if !ends {
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
            // Whatever became of a later try, the earlier one may have run.
            Err(_) if uncertain.is_some() => Ok(self.give_up(&Rejection::Unknown)),
            Err(rejection) => Ok(self.give_up(&rejection)),
        }
    }

    /// Sends the batch until it is answered or given up on. `uncertain` becomes the
    /// group in which a try may have run a write.
    async fn try_owners(
        &mut self,
        plan: &ForwardPlan,
        uncertain: &mut Option<GroupName>,
    ) -> Result<Result<BatchOutcome, Rejection>, SessionEnd> {
        let deadline = Instant::now() + self.context.settings.request_timeout;
        let key = self.take_key(plan);
        let mut view = self.context.view.clone();
        let mut attempt = 0;
        loop {
            let (group, route) = match self.find_owner(&mut view, deadline).await {
                Ok(found) => found,
                Err(NoOwner::Rejected(rejection)) => return Ok(Err(rejection)),
                Err(NoOwner::Ended(end)) => return Err(end),
            };
            // Another group's database does not know the key.
            if uncertain.as_ref().is_some_and(|tried| *tried != group) {
                return Ok(Err(Rejection::Unknown));
            }
            if attempt == 0 {
                self.context.retries.borrow_mut().request(&group, &self.context.view_now());
            }
            let request = self.open_request(plan, &group, key.clone(), deadline);
            let stream = self.context.links.open(&route.owner, route.address, request);
            let lost = match self.first_answer(plan, stream, &group, key.is_some()).await? {
                Ok(outcome) => return Ok(Ok(outcome)),
                Err((loss, progress)) => match judge(loss, progress) {
                    Verdict::Final(rejection) => return Ok(Err(rejection)),
                    Verdict::Retry(rejection) => Lost { loss, rejection, attempt },
                },
            };
            if lost.rejection == Rejection::Unknown {
                *uncertain = Some(group.clone());
            }
            if let Some(rejection) = self.prepare_retry(lost, &group, &mut view, deadline).await? {
                return Ok(Err(rejection));
            }
            attempt += 1;
        }
    }

    /// The key of a batch that runs a write; one that only prepares a write leaves it to that.
    fn take_key(&mut self, plan: &ForwardPlan) -> Option<String> {
        if plan.runs_write() { self.idempotency_key.take() } else { None }
    }

    /// Passes on the answer to the batch that opens a transaction.
    async fn first_answer(
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
            Answered::Ready { status, failed, .. }
                if plan.flushes && status != TransactionStatus::Idle =>
            {
                self.keep_unfinished(stream, group, plan, failed).await?;
                Ok((Outcome::Done, failed))
            }
            Answered::Ready { status, served_by, failed } => {
                self.end_of_batch(stream, group, plan.access, status, served_by);
                Ok((Outcome::Done, failed))
            }
            Answered::Lost(loss) => Err((loss, progress)),
        })
    }

    fn open_request(
        &self,
        plan: &ForwardPlan,
        group: &GroupName,
        idempotency_key: Option<String>,
        deadline: Instant,
    ) -> OpenRequest {
        let view = self.context.view_now();
        let left = deadline.saturating_duration_since(Instant::now());
        OpenRequest {
            group: group.clone(),
            class: choose_class(&view, &self.identity, &self.context.settings.default_class),
            // The rest of an unfinished batch may write, and runs where its start ran.
            access: if plan.flushes { Access::Write } else { plan.access },
            minimum: self.token.position(group),
            timeout_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            idempotency_key,
            batch: plan.batch.clone(),
        }
    }
}
