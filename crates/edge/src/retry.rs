//! Bounds how many requests are sent again, for each group on its own, and when.

use corktack_core::identity::GroupName;
use corktack_core::retry::{Backoff, RetryBudget};
use corktack_core::view::View;
use std::collections::HashMap;
use std::time::Duration;

/// Bound of the wait before a request is sent again for the first time.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Largest bound of the wait.
const LAST_BACKOFF: Duration = Duration::from_millis(500);

/// The retries of one arbiter. A group that fails uses up its own budget only, and
/// requests to other groups earn it nothing.
#[derive(Debug)]
pub struct Retries {
    budgets: HashMap<GroupName, RetryBudget>,
    backoff: Backoff,
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
            budget.request();
            return;
        }
        self.budgets.retain(|known, _| view.groups.contains_key(known));
        self.budgets.entry(group.clone()).or_default().request();
    }

    /// Takes a retry out of the group's budget, if it has one.
    pub fn try_retry(&mut self, group: &GroupName) -> bool {
        self.budgets.get_mut(group).is_some_and(RetryBudget::try_retry)
    }

    /// The wait before the retry with this number, the first being 0.
    pub fn delay(&mut self, attempt: u32) -> Duration {
        self.backoff.delay(attempt)
    }
}
