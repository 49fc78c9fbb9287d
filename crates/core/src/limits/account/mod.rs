//! One tenant's operations at one gateway.
//!
//! Admits, queues or refuses what callers of one tenant ask for, and says what the leader should
//! hear of it. Owns the count of what began in the last window, the allowance in force, the requests
//! that wait and the times that refused callers were told. Relies on the leader for allowances and on
//! its owner, [`super::GatewayLimits`], for the clock; it does nothing by itself.
//!
//! - [`admission`]: which operations begin, wait, or are refused.
//! - [`retry_time`]: when a refused caller is told to come back.
//! - [`demand`]: what is reported to the leader, and when.
//! - [`allowance`]: what may begin in a window, a lease from the leader.

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
use super::sliding_window::SlidingWindowCount;
use crate::time::Timestamp;
use allowance::Allowance;
use promises::RetryPromises;
use queue::RequestQueue;

/// One tenant's operations at one gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Operations begun.
    begun: SlidingWindowCount,
    /// Operations asked for, refused ones included.
    requested: SlidingWindowCount,
    /// When operations were asked for last, or were expected to be.
    active_at: Option<Timestamp>,
    allowance: Allowance,
    /// The limit of all gateways in force here: operations in a window.
    limit: u64,
    /// What was reported to the leader last.
    reported: Option<ReportedDemand>,
    /// Whether the leader has not answered that yet.
    awaits_grant: bool,
    /// Operations asked for since then that could not begin at once.
    delayed: u64,
    queue: RequestQueue,
    promises: RetryPromises,
    /// Whether the leader should hear at once that a lower allowance was taken.
    lowered: bool,
    /// Until when the leader has no more to give.
    exhausted_until: Timestamp,
    /// Whether the leader is about to give more.
    more_follows: bool,
    /// From when on the leader can give more, where it cannot before and said so.
    more_at: Option<Timestamp>,
}

impl Account {
    pub(super) fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Operations that may begin in any window.
    fn allowed(&self, now: Timestamp) -> u64 {
        self.allowance.in_force(now, self.limit)
    }

    /// What others must leave to this gateway: its allowance, and what began under a higher one.
    fn held(&mut self, now: Timestamp, bounds: &LimitBounds) -> u64 {
        self.allowed(now).max(self.begun.count(now, bounds.window))
    }

    /// Operations that may begin in a window, and those that began in the last one.
    pub(super) fn in_window(&mut self, now: Timestamp, bounds: &LimitBounds) -> (u64, u64) {
        (self.allowed(now), self.begun.count(now, bounds.window))
    }

    /// Notes that operations are likely to be asked for: somebody who may ask has come.
    pub(super) fn expect(&mut self, now: Timestamp) {
        self.active_at = Some(now);
    }

    /// Operations that were counted did not run.
    pub(super) fn uncount(&mut self, admitted: AdmittedOperations, bounds: &LimitBounds) {
        self.begun.uncount(admitted.marked, bounds.window, admitted.operations);
    }

    /// Gives back what others need.
    pub(super) fn keep(&mut self, now: Timestamp, kept: u64) {
        let before = self.allowed(now);
        self.allowance.lower(now, self.limit, kept);
        self.lowered |= self.allowance.operations() < before;
    }

    /// Takes another allowance. One that is lower than what began within the last window lets nothing
    /// begin before that has grown old.
    pub(super) fn take(&mut self, now: Timestamp, granted: &TenantAllowance, ends: Timestamp) {
        self.allowance.replace(granted, ends);
        self.awaits_grant = false;
        self.more_follows = granted.more_follows;
        self.more_at = granted.more_after.map(|after| now + after);
        if let Some(reported) = &mut self.reported {
            // The leader knows what it gives; it does not know that a lower allowance was taken.
            self.lowered = granted.operations < reported.held;
            reported.held = granted.operations.max(reported.held);
            if granted.operations < reported.needed && !granted.more_follows {
                self.exhausted_until = now + admission::EXHAUSTED_PAUSE;
            }
        }
    }

    /// Another leader, which knows nothing of what was reported to the one before.
    pub(super) fn follow_leader(&mut self) {
        self.reported = None;
        self.awaits_grant = false;
        self.more_follows = false;
        self.more_at = None;
    }

    /// Whether there is nothing to remember.
    pub(super) fn is_unused(&mut self, now: Timestamp, bounds: &LimitBounds) -> bool {
        let quiet = !self.is_active(now) && self.held(now, bounds) == 0;
        quiet && self.reported.is_none_or(|reported| reported.held == 0)
    }
}
