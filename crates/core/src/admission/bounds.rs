//! Bounds of the wait queue: which requests may wait, which are displaced, and when refused callers
//! retry.
//!
//! The decisions follow from the moving average of service times, the slots, the deadline, and the
//! requests that are served before by priority and by guaranteed share, all taken from the queue of
//! [`super`].

use super::{AdmissionQueue, CREDIT_PER_GRANT, RequiredRole, Ticket};
use crate::identity::ClassName;
use crate::time::Timestamp;
use std::time::Duration;

/// Service time assumed until the first transaction has ended; used only for the retry times of
/// refused callers.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Longest service time that enters the average, so that one slow transaction doesn't have all
/// later requests refused. With a shorter bound, requests wait in vain in a group whose
/// transactions are long; with a longer one, a single slow transaction has many requests refused.
pub(super) const LONGEST_SERVICE_TIME: Duration = Duration::from_millis(1_000);
/// Shortest retry time for a refused caller. With a shorter time, callers retry before any slot has
/// become free.
const MINIMUM_RETRY_AFTER_MS: u32 = 10;
/// Longest retry time for a refused caller. With a longer time, callers stay away after the queue
/// is empty again.
const MAXIMUM_RETRY_AFTER_MS: u32 = 10_000;

impl AdmissionQueue {
    /// Returns the retry time for a caller refused now, in milliseconds: the time in which the
    /// queue is likely to be served.
    #[must_use]
    pub fn retry_after_ms(&self) -> u32 {
        let rounds = (self.length + 1).div_ceil(self.limits.slots.max(1));
        let service_time = self.service_time.unwrap_or(INITIAL_SERVICE_TIME);
        let estimate = service_time.saturating_mul(rounds);
        let millis = u32::try_from(estimate.as_millis()).unwrap_or(u32::MAX);
        millis.clamp(MINIMUM_RETRY_AFTER_MS, MAXIMUM_RETRY_AFTER_MS)
    }

    /// Reports whether a new request has to wait. A request for a replica takes a free slot at
    /// once, because requests that wait while a slot is free wait for a primary.
    pub(super) fn must_wait(&self, required_role: RequiredRole) -> bool {
        let behind_others = required_role == RequiredRole::Primary && self.length > 0;
        behind_others || self.in_use >= self.limits.slots
    }

    /// Reports whether the requests that are certain to be served first leave a request no time
    /// before its deadline.
    pub(super) fn cannot_meet_deadline(
        &self,
        class: &ClassName,
        now: Timestamp,
        deadline: Timestamp,
    ) -> bool {
        let Some(service_time) = self.service_time else {
            return false;
        };
        let own = self.classes.get(class);
        let priority = own.map_or(0, |queue| queue.priority);
        let before = self.classes.values().filter(|queue| queue.priority >= priority);
        let by_priority = before.map(|queue| u64::from(queue.length())).sum::<u64>() + 1;
        // The class's guaranteed share may serve the request before higher classes are done.
        let by_share = own.filter(|queue| queue.guaranteed_percent > 0).map(|queue| {
            let grants = (u64::from(queue.length()) + 1) * u64::from(CREDIT_PER_GRANT);
            grants.div_ceil(u64::from(queue.guaranteed_percent))
        });
        let grants = by_share.map_or(by_priority, |by_share| by_share.min(by_priority));
        let rounds = grants.div_ceil(u64::from(self.limits.slots.max(1)));
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        service_time.saturating_mul(rounds) > deadline.saturating_since(now)
    }

    /// Removes a waiting request of another class to make room for one of this class, and returns
    /// its ticket.
    pub(super) fn displace_for(&mut self, class: &ClassName) -> Option<Ticket> {
        let limit = self.limits.queue_limit;
        let own = self.classes.get(class)?;
        let (priority, below_share) = (own.priority, own.length() < own.reserved(limit));
        let others = self.classes.iter_mut().filter(|(name, _)| *name != class);
        let above_share = others.filter(|(_, queue)| queue.length() > queue.reserved(limit));
        let victims = above_share.filter(|(_, queue)| below_share || queue.priority < priority);
        let (_, victim) = victims.min_by_key(|(_, queue)| queue.priority)?;
        let last = victim.waiting.pop_back()?;
        self.length -= 1;
        Some(last.ticket)
    }
}
