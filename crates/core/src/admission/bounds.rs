//! Bounds of the wait queue: who may wait, who is given up, when to come back.
//!
//! Inputs: the moving average of service times, the slots, the requests that wait before by priority and by
//! guaranteed share, and the deadline. Relies on the queue of [`super`] for all of them.

use super::{AdmissionQueue, CREDIT_OF_A_GRANT, Lane, Ticket};
use crate::identity::ClassName;
use crate::time::Timestamp;
use std::time::Duration;

/// Service time assumed before the first transaction has ended; it only decides what refused callers are
/// told until then. Chosen, not measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Longest service time that counts for estimates: one slow transaction must not
/// make all that come after it look hopeless. Chosen, not measured: with less, a group whose transactions are
/// long lets requests wait in vain; with more, one slow transaction has many refused.
pub(super) const LONGEST_SERVICE_TIME: Duration = Duration::from_millis(1_000);
/// Shortest time after which a refused caller is told to come back. Chosen, not measured: with less, callers
/// ask again before a slot has changed hands.
const MINIMUM_RETRY_AFTER_MS: u32 = 10;
/// Longest such time. Chosen, not measured: with more, callers stay away after the queue is empty again.
const MAXIMUM_RETRY_AFTER_MS: u32 = 10_000;

impl AdmissionQueue {
    /// When a caller refused now should come back, in milliseconds: the time in
    /// which the queue is likely to be served.
    #[must_use]
    pub fn retry_after_ms(&self) -> u32 {
        let rounds = (self.length + 1).div_ceil(self.limits.slots.max(1));
        let service_time = self.service_time.unwrap_or(INITIAL_SERVICE_TIME);
        let estimate = service_time.saturating_mul(rounds);
        let millis = u32::try_from(estimate.as_millis()).unwrap_or(u32::MAX);
        millis.clamp(MINIMUM_RETRY_AFTER_MS, MAXIMUM_RETRY_AFTER_MS)
    }

    /// A free slot is for a replica's request at once: whoever waits beside it
    /// waits for a primary.
    pub(super) fn must_wait(&self, lane: Lane) -> bool {
        let behind_others = lane == Lane::Primary && self.length > 0;
        behind_others || self.in_use >= self.limits.slots
    }

    /// Whether the requests that are sure to be served first leave it no time.
    pub(super) fn is_hopeless(
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
        // The class's share may serve it before higher classes are done.
        let by_share = own.filter(|queue| queue.guaranteed_percent > 0).map(|queue| {
            let grants = (u64::from(queue.length()) + 1) * u64::from(CREDIT_OF_A_GRANT);
            grants.div_ceil(u64::from(queue.guaranteed_percent))
        });
        let grants = by_share.map_or(by_priority, |by_share| by_share.min(by_priority));
        let rounds = grants.div_ceil(u64::from(self.limits.slots.max(1)));
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        service_time.saturating_mul(rounds) > deadline.saturating_since(now)
    }

    /// Gives up a waiting request of another class for one of this class.
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
