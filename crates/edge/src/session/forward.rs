//! Sends a batch to the group's owner, and again where that is safe.

use super::answer_stream::Answered;
use super::outcome::{OWNER_RETRY_MS, outcome_of};
use super::plan::ForwardPlan;
use super::{Loss, OpenTransaction, Progress, Session, Verdict, judge};
use crate::error::{Rejection, SessionEnd};
use crate::link::OwnerStream;
use crate::metrics::Outcome;
use crate::retry::backoff;
use crate::route::{OwnerRoute, group_of_database, owner_of};
use corktack_core::binding::choose_class;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_protocol::peer::{
    Access, Failure, NotRunReason, OpenRequest, ServedBy, TransactionStatus,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Why no owner was found in time.
enum NoOwner {
    /// The caller gets this answer.
    Rejected(Rejection),
    /// The session is over.
    Ended(SessionEnd),
}

impl From<SessionEnd> for NoOwner {
    fn from(end: SessionEnd) -> Self {
        Self::Ended(end)
    }
}

/// How a batch ended, and whether the answer held an error.
type BatchOutcome = (Outcome, bool);

impl Session {
    /// Sends a batch and passes the answer on. The caller gets everything but `ReadyForQuery`.
    pub(super) async fn forward(&mut self, plan: ForwardPlan) -> Result<BatchOutcome, SessionEnd> {
        self.registration.cancelled.mark_unchanged();
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
        let deadline = Instant::now() + self.context.settings.request_timeout;
        let writes = plan.access == Access::Write;
        let key = if writes { self.idempotency_key.take() } else { None };
        self.context.retries.borrow_mut().earn();
        let mut view = self.context.view.clone();
        let mut attempt = 0;
        loop {
            let (group, route) = match self.find_owner(&mut view, deadline).await {
                Ok(found) => found,
                Err(NoOwner::Rejected(rejection)) => return Ok(self.give_up(&rejection)),
                Err(NoOwner::Ended(end)) => return Err(end),
            };
            let request = self.open_request(&plan, &group, key.clone(), deadline);
            let mut progress = Progress {
                access: plan.access,
                first_batch: true,
                answered: false,
                may_commit: plan.may_commit,
                repeatable: plan.repeatable,
            };
            let loss = match self.open_stream(&route, request) {
                Ok(mut stream) => {
                    match self.pass_answer(&mut stream, &group, &mut progress).await? {
                        Answered::Ready { status, served_by, failed } => {
                            self.end_of_batch(stream, &group, plan.access, status, served_by);
                            return Ok((Outcome::Done, failed));
                        }
                        Answered::Lost(loss) => loss,
                    }
                }
                Err(loss) => loss,
            };
            let rejection = match judge(loss, progress) {
                Verdict::Final(rejection) => return Ok(self.give_up(&rejection)),
                Verdict::Retry(rejection) => rejection,
            };
            let wait = backoff(attempt, &mut rand::rng());
            if let Some(rejection) = self.cannot_retry(rejection, wait, deadline) {
                return Ok(self.give_up(&rejection));
            }
            if let Some(rejection) = self.pause(&mut view, wait).await? {
                return Ok(self.give_up(&rejection));
            }
            attempt += 1;
        }
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
            access: plan.access,
            minimum: self.token.position(group),
            timeout_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            idempotency_key,
            batch: plan.batch.clone(),
        }
    }

    fn open_stream(&self, route: &OwnerRoute, request: OpenRequest) -> Result<OwnerStream, Loss> {
        let link = self.context.links.link(&route.owner, route.address);
        if link.is_stopping() {
            let reason = NotRunReason::Stopping;
            return Err(Loss::Failed(Failure::NotRun { reason, retry_after_ms: OWNER_RETRY_MS }));
        }
        Ok(link.open(request))
    }

    /// The group of the session's database and its owner; waits for an owner.
    async fn find_owner(
        &mut self,
        view: &mut watch::Receiver<Arc<View>>,
        deadline: Instant,
    ) -> Result<(GroupName, OwnerRoute), NoOwner> {
        loop {
            let now = view.borrow_and_update().clone();
            let Some((name, group)) = group_of_database(&now, &self.identity.database) else {
                return Err(NoOwner::Rejected(not_run(NotRunReason::UnknownGroup)));
            };
            let reason = match owner_of(&now, group) {
                Ok(route) => return Ok((name.clone(), route)),
                Err(reason) => reason,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(NoOwner::Rejected(not_run(reason)));
            }
            if let Some(rejection) = self.pause(view, left).await? {
                return Err(NoOwner::Rejected(rejection));
            }
        }
    }

    /// The final answer when a request must not be sent again.
    fn cannot_retry(
        &self,
        rejection: Rejection,
        wait: Duration,
        deadline: Instant,
    ) -> Option<Rejection> {
        if Instant::now() + wait >= deadline {
            return Some(rejection);
        }
        if self.context.retries.borrow_mut().spend() {
            self.context.metrics.retries.inc();
            return None;
        }
        match rejection {
            Rejection::NotRun { retry_after_ms, .. } => {
                Some(Rejection::NotRun { reason: NotRunReason::RetryBudget, retry_after_ms })
            }
            other => Some(other),
        }
    }

    /// Waits, at most until the configuration in force is another than the one last
    /// seen. Something is returned when the caller cancels.
    async fn pause(
        &mut self,
        view: &mut watch::Receiver<Arc<View>>,
        wait: Duration,
    ) -> Result<Option<Rejection>, SessionEnd> {
        let wake = Instant::now() + wait;
        loop {
            let read_ahead = self.caller.may_read_ahead();
            tokio::select! {
                () = tokio::time::sleep_until(wake) => return Ok(None),
                Ok(()) = view.changed() => return Ok(None),
                Ok(()) = self.registration.cancelled.changed() => {
                    return Ok(Some(Rejection::Cancelled));
                }
                result = self.caller.read_more(), if read_ahead => result?,
            }
        }
    }

    fn end_of_batch(
        &mut self,
        stream: OwnerStream,
        group: &GroupName,
        access: Access,
        status: TransactionStatus,
        served_by: ServedBy,
    ) {
        self.status = status;
        if access == Access::Read {
            self.context.metrics.count_read(group, served_by);
        }
        if status != TransactionStatus::Idle {
            self.transaction = Some(OpenTransaction { stream, group: group.clone(), access });
        }
    }

    fn give_up(&mut self, rejection: &Rejection) -> BatchOutcome {
        self.status = TransactionStatus::Idle;
        self.reject(rejection);
        (outcome_of(rejection), true)
    }
}

fn not_run(reason: NotRunReason) -> Rejection {
    Rejection::NotRun { reason, retry_after_ms: OWNER_RETRY_MS }
}
