//! Operations of one tenant at one gateway.
//!
//! Admits, queues or refuses the operations that callers of the tenant request, and determines what to
//! report to the leader. [`Account`] owns the count of operations begun in the last window, the
//! allowance in force, the queue of waiting requests and the retry times given to refused callers. The
//! leader supplies allowances; the owner, [`super::GatewayLimits`], supplies the clock and calls every
//! method, as the account runs no timers of its own.
//!
//! - [`admission`]: which operations begin, wait, or are refused.
//! - [`retry_time`]: when a refused caller is told to retry.
//! - [`demand`]: what is reported to the leader, and when.
//! - [`allowance`]: the lease that says how many operations may begin in a window.

mod admission;
mod allowance;
mod demand;
mod outcome;
mod promises;
mod queue;
mod retry_time;

pub use outcome::{AdmittedOperations, OperationOutcome, OverLimit};
pub use queue::OperationRequestNumber;

pub(super) use demand::ReportedDemand;
pub(super) use queue::WaitingRequest;

use super::bounds::LimitBounds;
use super::messages::TenantAllowance;
use super::sliding_window::SlidingWindowCounter;
use crate::time::Timestamp;
use allowance::Allowance;
use promises::ScheduledRetries;
use queue::RequestQueue;

/// Operations, allowance and waiting requests of one tenant at one gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Operations begun.
    begun: SlidingWindowCounter,
    /// Operations requested, refused ones included.
    requested: SlidingWindowCounter,
    /// Time at which operations were last requested, or expected to be requested.
    last_active_at: Option<Timestamp>,
    allowance: Allowance,
    /// Window limit of all gateways together, in operations, as this gateway knows it.
    limit: u64,
    /// Demand reported last to the current leader.
    last_reported: Option<ReportedDemand>,
    /// Whether the leader has not answered that report yet.
    awaits_grant: bool,
    /// Operations requested since that report which could not begin at once.
    delayed: u64,
    queue: RequestQueue,
    scheduled_retries: ScheduledRetries,
    /// Whether the allowance was lowered and the leader should hear of it at once.
    reduction_unreported: bool,
    /// Time until which the leader is not expected to grant more.
    exhausted_until: Timestamp,
    /// Whether the leader is about to grant more.
    more_follows: bool,
    /// Time from which the leader can grant more, where it announced one.
    more_available_at: Option<Timestamp>,
}

impl Account {
    pub(super) fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Returns the operations that may begin in any window.
    fn allowed(&self, now: Timestamp) -> u64 {
        self.allowance.in_force(now, self.limit)
    }

    /// Returns the operations that other gateways must leave to this one: its allowance, or the
    /// operations begun under an earlier, higher one.
    fn held(&mut self, now: Timestamp, bounds: &LimitBounds) -> u64 {
        self.allowed(now).max(self.begun.count(now, bounds.window))
    }

    /// Returns the operations that may begin in a window, and those that began in the last one.
    pub(super) fn window_usage(&mut self, now: Timestamp, bounds: &LimitBounds) -> (u64, u64) {
        (self.allowed(now), self.begun.count(now, bounds.window))
    }

    /// Records that operations are likely to be requested, as a caller has connected.
    pub(super) fn expect_operations(&mut self, now: Timestamp) {
        self.last_active_at = Some(now);
    }

    /// Subtracts counted operations that did not run.
    pub(super) fn return_operations(&mut self, admitted: AdmittedOperations, bounds: &LimitBounds) {
        self.begun.subtract(admitted.counted_at, bounds.window, admitted.operations);
    }

    /// Lowers the allowance to what the leader lets the gateway keep.
    pub(super) fn apply_recall(&mut self, now: Timestamp, kept: u64) {
        let before = self.allowed(now);
        self.allowance.lower(now, self.limit, kept);
        self.reduction_unreported |= self.allowance.operations() < before;
    }

    /// Applies a granted allowance. If it is lower than the operations begun within the last window, no
    /// operation begins until enough of those are older than the window.
    pub(super) fn apply_grant(
        &mut self,
        now: Timestamp,
        granted: &TenantAllowance,
        expires_at: Timestamp,
    ) {
        self.allowance.replace(granted, expires_at);
        self.awaits_grant = false;
        self.more_follows = granted.more_follows;
        self.more_available_at = granted.more_available_after.map(|after| now + after);
        if let Some(reported) = &mut self.last_reported {
            // The leader knows what it grants, but not that a lower allowance has been applied.
            self.reduction_unreported = granted.operations < reported.held;
            reported.held = granted.operations.max(reported.held);
            if granted.operations < reported.needed && !granted.more_follows {
                self.exhausted_until = now + admission::EXHAUSTED_PAUSE;
            }
        }
    }

    /// Resets what a previous leader was told and announced; the new leader knows nothing of it.
    pub(super) fn follow_leader(&mut self) {
        self.last_reported = None;
        self.awaits_grant = false;
        self.more_follows = false;
        self.more_available_at = None;
    }

    /// Reports whether the account holds nothing that must be remembered.
    pub(super) fn is_unused(&mut self, now: Timestamp, bounds: &LimitBounds) -> bool {
        let is_idle = !self.is_active(now) && self.held(now, bounds) == 0;
        is_idle && self.last_reported.is_none_or(|reported| reported.held == 0)
    }
}
