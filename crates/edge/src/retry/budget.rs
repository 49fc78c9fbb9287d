//! Decides whether and when a lost request is sent again, within a retry budget for each group.
//!
//! `loss` decides before that whether sending the request again is safe at all.

use super::Loss;
use crate::error::Rejection;
use crate::times::{INITIAL_BACKOFF, MAX_BACKOFF};
use corktack_core::identity::GroupName;
use corktack_core::retry::{Backoff, RetryBudget};
use corktack_core::view::View;
use corktack_protocol::peer::{Failure, NotRunReason};
use std::collections::HashMap;
use std::time::Duration;

/// Retry budgets and back-off of one arbiter. Each group has its own budget: a failing group exhausts
/// only its own, and only requests to the group refill it.
#[derive(Debug)]
pub struct RetryScheduler {
    budgets: HashMap<GroupName, RetryBudget>,
    backoff: Backoff,
}

/// A lost request that may safely be sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// How the request was lost.
    pub loss: Loss,
    /// The caller's answer if the request is not sent again.
    pub rejection: Rejection,
    /// Number of times that the request was sent again so far.
    pub attempt: u32,
}

impl LostRequest {
    /// Reports whether the request may be sent again without using the group's budget. An owner that
    /// hands the group over refuses a request once, without asking a back end; `NotOwner` therefore
    /// counts as a handover only on the first attempt.
    fn is_handover(&self) -> bool {
        match self.loss {
            Loss::Failed(Failure::NotRun { reason: NotRunReason::Stopping, .. }) => true,
            Loss::Failed(Failure::NotRun { reason: NotRunReason::NotOwner, .. }) => {
                self.attempt == 0
            }
            _ => false,
        }
    }
}

impl RetryScheduler {
    /// Creates the state with full budgets. The waits depend only on the seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let backoff = Backoff::between(seed, INITIAL_BACKOFF, MAX_BACKOFF);
        Self { budgets: HashMap::new(), backoff }
    }

    /// Counts a new request to the group, which adds a fraction of a retry to its budget. Also drops
    /// the budgets of groups that no longer exist, when a new group is added.
    pub fn record_request(&mut self, group: &GroupName, view: &View) {
        if let Some(budget) = self.budgets.get_mut(group) {
            budget.record_request();
            return;
        }
        self.budgets.retain(|name, _| view.groups.contains_key(name));
        self.budgets.entry(group.clone()).or_default().record_request();
    }

    /// Returns the wait before a lost request is sent again, if the wait fits into `remaining`, the
    /// time left for the request. A wait is drawn for every lost request; the budget is charged only if
    /// the wait fits.
    ///
    /// # Errors
    /// Returns the caller's answer if the request is not sent again: the wait doesn't fit into the
    /// remaining time, or the group's retry budget is exhausted.
    pub fn schedule_retry(
        &mut self,
        lost_request: LostRequest,
        group: &GroupName,
        remaining: Duration,
    ) -> Result<Duration, Rejection> {
        let wait = self.backoff.delay(lost_request.attempt);
        if wait >= remaining {
            return Err(lost_request.rejection);
        }
        if !lost_request.is_handover() && !self.try_retry(group) {
            return Err(with_exhausted_budget(lost_request.rejection));
        }
        Ok(wait)
    }

    /// Takes a retry from the group's budget, and reports whether the budget had one left.
    fn try_retry(&mut self, group: &GroupName) -> bool {
        self.budgets.get_mut(group).is_some_and(RetryBudget::try_retry)
    }
}

/// Replaces the reason of a request that did not run by the exhausted budget; other rejections stay.
fn with_exhausted_budget(rejection: Rejection) -> Rejection {
    match rejection {
        Rejection::NotRun { retry_after_ms, .. } => {
            Rejection::NotRun { reason: NotRunReason::RetryBudget, retry_after_ms }
        }
        other => other,
    }
}
