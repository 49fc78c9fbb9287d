//! How long a request is likely to wait, whether it may, and when a refused caller is told to come back.
//!
//! Inputs: what a statement of its kind is likely to cost and how long the request may wait (both times),
//! the slots that could serve it, the slot time that waits before it, and the slots that higher classes and
//! other tenants have kept busy lately ([`super::offered`]). Slot time is counted in time of one slot: with
//! `n` slots it takes an `n`-th of that.
//!
//! A request whose likely wait is beyond [`LIKELY_WAIT_PART`] of its time is refused when it comes; one is
//! never refused while a slot is free, since then it doesn't come here.

use super::class::{ClassQueue, TenantQueue};
use super::queue::SlotQueue;
use super::request::{Capacity, NoSlotInTime, SlotRequest};
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use std::time::Duration;

/// Part of its time that a request may be likely to wait for: what comes differs from what is likely. In the
/// load test 471 of 1,777 requests of a burst waited in vain with the whole of it and 209 with this part, and
/// as many were served (0.680 and 0.677).
const LIKELY_WAIT_PART: f64 = 0.6;
/// Part of the slots that a class counts on, whatever higher ones have asked for lately. Chosen, not measured:
/// with less, a class is refused for longer after a burst of higher ones; with more, its requests wait in
/// vain behind them.
const LEAST_LEFT_PART: f64 = 0.1;
/// Shortest time after which a refused caller is told to come back: about one statement of the users' reads.
/// Chosen, not measured: with less, callers ask again before a slot has changed hands.
const SHORTEST_RETRY: Duration = Duration::from_millis(20);
/// Longest such time: what is known of the queue says little of later. Chosen, not measured: with more,
/// callers of a burst come back long after it is over; with less, those that don't fit come back together.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

impl<W> SlotQueue<W> {
    /// How long a request is likely to wait: for what is served before it, half of what a slot is busy
    /// with now, and what higher classes and other tenants are likely to ask for meanwhile.
    pub(super) fn wait_of(
        &self,
        now: Timestamp,
        request: &SlotRequest,
        capacity: Capacity,
    ) -> Duration {
        let SlotRequest { tenant, cost, .. } = request;
        let all = capacity.slots.max(1) as f64;
        let higher = || self.classes.range(..request.priority).map(|(_, class)| class);
        let taken: f64 = higher().map(|class| class.offered.slots(now)).sum();
        let left = (all - taken).max(all * LEAST_LEFT_PART);
        let higher_work: Duration = higher().map(ClassQueue::work).sum();
        let Some(class) = self.classes.get(&request.priority) else {
            return (higher_work + *cost / 2).div_f64(left);
        };
        let by_turn = (higher_work + class.work_before(tenant, *cost) + *cost / 2).div_f64(left);
        by_turn.max(higher_work.div_f64(left) + class.time_of_own(now, tenant, *cost, left))
    }

    /// Whether a likely wait is too long for a request that may wait for `patience`.
    pub(super) fn is_too_long(wait: Duration, patience: Duration) -> bool {
        wait >= patience.mul_f64(LIKELY_WAIT_PART)
    }

    /// A refusal that says when there is likely to be room: once as much is served as is too much now,
    /// and after those that were refused before.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        request: &SlotRequest,
        wait: Duration,
        capacity: Capacity,
    ) -> NoSlotInTime {
        let patience = request.give_up.saturating_since(now).mul_f64(LIKELY_WAIT_PART);
        let room_at = now + wait.saturating_sub(patience);
        let promised = self.promised.entry(request.priority).or_insert(now);
        let slot_time = request.cost.div_f64(capacity.slots.max(1) as f64);
        *promised = (*promised).max(room_at) + slot_time;
        let retry_after = promised.saturating_since(now).clamp(SHORTEST_RETRY, LONGEST_RETRY);
        *promised = (*promised).min(now + LONGEST_RETRY);
        NoSlotInTime { retry_after }
    }
}

impl<W> ClassQueue<W> {
    /// Slot time of what is served before a newcomer of a tenant: what this tenant waits for, and of
    /// others no more than that and the newcomer's own.
    fn work_before(&self, tenant: &Option<TenantName>, cost: Duration) -> Duration {
        let own = self.tenants.get(tenant).map_or(Duration::ZERO, TenantQueue::work);
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let share: Duration = others.map(|(_, queue)| queue.work().min(own + cost)).sum();
        own + share
    }

    /// How long the requests of one tenant take, this one's among them, by the part of so many slots that
    /// others leave it: what they ask for goes first, until all have as much.
    fn time_of_own(
        &self,
        now: Timestamp,
        tenant: &Option<TenantName>,
        cost: Duration,
        slots: f64,
    ) -> Duration {
        let own = self.tenants.get(tenant).map_or(Duration::ZERO, TenantQueue::work) + cost / 2;
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let offered: Vec<f64> = others.map(|(_, queue)| queue.offered.slots(now)).collect();
        let even = slots / (offered.len() + 1) as f64;
        let left = slots - offered.iter().map(|other| other.min(even)).sum::<f64>();
        own.div_f64(left.max(even))
    }
}
