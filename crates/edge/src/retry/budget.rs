//! Bounds how many requests are sent again, for each group on its own, and when.
//!
//! The module owns the budgets and the source of waits; it relies on `loss` for whether a request may be sent
//! again at all.

use super::Loss;
use crate::error::Rejection;
use crate::times::{FIRST_BACKOFF, LAST_BACKOFF};
use corktack_core::identity::GroupName;
use corktack_core::retry::{Backoff, RetryBudget};
use corktack_core::view::View;
use corktack_protocol::peer::{Failure, NotRunReason};
use std::collections::HashMap;
use std::time::Duration;

/// The retries of one arbiter. A group that fails uses up its own budget only, and
/// requests to other groups earn it nothing.
#[derive(Debug)]
pub struct Retries {
    budgets: HashMap<GroupName, RetryBudget>,
    backoff: Backoff,
}

/// A request that may be sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// How it was lost.
    pub loss: Loss,
    /// The answer if it is not sent again.
    pub rejection: Rejection,
    /// How often it was sent again so far.
    pub attempt: u32,
}

impl Lost {
    /// Whether the request is sent again without a place in the group's budget: an
    /// owner that hands the group over refuses it once, without asking a back end.
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

impl Retries {
    /// Full budgets; the waits depend only on the seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let backoff = Backoff::between(seed, FIRST_BACKOFF, LAST_BACKOFF);
        Self { budgets: HashMap::new(), backoff }
    }

    /// Counts a request to the group: it earns a part of a retry.
    pub fn request(&mut self, group: &GroupName, view: &View) {
        if let Some(budget) = self.budgets.get_mut(group) {
            budget.record_request();
            return;
        }
        self.budgets.retain(|known, _| view.groups.contains_key(known));
        self.budgets.entry(group.clone()).or_default().record_request();
    }

    /// The wait before a lost request is sent again to a group, of whose time so much is left. A wait is
    /// drawn for every lost request; the group's budget is asked only where the time suffices.
    ///
    /// # Errors
    /// The caller's answer when the request is not sent again: its time would be over, or the group's
    /// retries are used up.
    pub fn decide(
        &mut self,
        lost: Lost,
        group: &GroupName,
        left: Duration,
    ) -> Result<Duration, Rejection> {
        let wait = self.backoff.delay(lost.attempt);
        if wait >= left {
            return Err(lost.rejection);
        }
        if !lost.is_handover() && !self.try_retry(group) {
            return Err(out_of_budget(lost.rejection));
        }
        Ok(wait)
    }

    /// Takes a retry out of the group's budget, if it has one.
    fn try_retry(&mut self, group: &GroupName) -> bool {
        self.budgets.get_mut(group).is_some_and(RetryBudget::try_retry)
    }
}

/// A request that did not run is answered with the reason that it was not sent again.
fn out_of_budget(rejection: Rejection) -> Rejection {
    match rejection {
        Rejection::NotRun { retry_after_ms, .. } => {
            Rejection::NotRun { reason: NotRunReason::RetryBudget, retry_after_ms }
        }
        other => other,
    }
}
