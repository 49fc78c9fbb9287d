//! Which operations begin now, which wait in turn, and which are refused at once.
//!
//! The decision on each request, and later on those that wait. Owns no state beside the account's.
//! Relies on [`super::allowance`] for what may begin in a window, on [`super::queue`] for the order, and
//! on [`super::retry_time`] for what a refused caller is told.
//!
//! Inputs: the allowance in force (operations in a window), the operations begun in the last window, the
//! requests that wait before, how long this one may wait, and whether the leader may still allow more.
//! A request waits only where its first operation may begin in its time; all others are refused when they
//! come, so that no caller waits for what is known not to be servable.

use super::{
    Account, AdmittedOperations, OperationOutcome, OperationRequestNumber, OverLimit,
    WaitingRequest,
};
use crate::limits::bounds::LimitBounds;
use crate::time::Timestamp;
use std::time::Duration;

/// How long after a grant that was less than needed the leader isn't expected to allow more. Chosen, not
/// measured: with less, more requests wait for a leader that has nothing to give; with more, operations
/// that were freed elsewhere are found later by callers who could have waited for them.
pub(super) const EXHAUSTED_PAUSE: Duration = Duration::from_secs(1);

impl Account {
    /// Takes operations that are asked for: they begin, wait in turn, or are refused where none of them
    /// can begin in their time. Where a limit is short, higher classes take the places that become free.
    pub(in crate::limits) fn request(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        request: WaitingRequest,
    ) -> OperationOutcome {
        self.active_at = Some(now);
        self.requested.add(now, bounds.window, request.operations);
        if self.queue.is_empty()
            && let Some(admitted) = self.admit(now, bounds, request.operations)
        {
            return OperationOutcome::Admitted(admitted);
        }
        self.delayed += request.operations;
        let before = self.queue.operations_before(request.priority);
        if self.may_begin_in_time(now, bounds, &request, before) {
            self.queue.push(request);
            return OperationOutcome::Waiting(request.number);
        }
        OperationOutcome::Refused(self.refuse(now, bounds, request.operations))
    }

    /// Counts as many operations as may begin now, where any may.
    fn admit(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        operations: u64,
    ) -> Option<AdmittedOperations> {
        let operations = self.free(now, bounds).min(operations);
        if operations == 0 {
            return None;
        }
        self.begun.add(now, bounds.window, operations);
        Some(AdmittedOperations { operations, marked: now })
    }

    /// Operations that may begin now.
    fn free(&mut self, now: Timestamp, bounds: &LimitBounds) -> u64 {
        let begun = self.begun.count(now, bounds.window);
        self.allowed(now).saturating_sub(begun)
    }

    /// Whether the first of operations that wait may begin in their time, behind so many others: a place
    /// becomes free by then, or the leader may still allow more.
    fn may_begin_in_time(
        &self,
        now: Timestamp,
        bounds: &LimitBounds,
        request: &WaitingRequest,
        before: u64,
    ) -> bool {
        if request.until <= now {
            return false;
        }
        let free_after = self.free_after(now, bounds, before + 1);
        now >= self.exhausted_until || free_after.is_some_and(|after| now + after <= request.until)
    }

    /// Decides what can be decided of the operations that wait.
    pub(in crate::limits) fn settle(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
    ) -> Vec<(OperationRequestNumber, Result<AdmittedOperations, OverLimit>)> {
        let mut settled = Vec::new();
        while let Some(first) = self.queue.first().filter(|first| now < first.until) {
            let Some(admitted) = self.admit(now, bounds, first.operations) else { break };
            self.queue.pop();
            settled.push((first.number, Ok(admitted)));
        }
        let mut queue = std::mem::take(&mut self.queue);
        let hopeless =
            queue.take_out(|request, before| !self.may_begin_in_time(now, bounds, request, before));
        self.queue = queue;
        for request in hopeless {
            settled.push((request.number, Err(self.refuse(now, bounds, request.operations))));
        }
        settled
    }

    /// When something may be decided of the operations that wait, if nothing else happens.
    pub(in crate::limits) fn settle_due(
        &self,
        now: Timestamp,
        bounds: &LimitBounds,
    ) -> Option<Timestamp> {
        let end = self.queue.earliest_end()?;
        let free = self.free_after(now, bounds, 1).map(|after| now + after);
        Some(free.map_or(end, |free| free.min(end)))
    }

    /// Drops a request that waits: who made it has gone.
    pub(in crate::limits) fn withdraw(&mut self, number: OperationRequestNumber) {
        self.queue.withdraw(number);
    }

    pub(in crate::limits) fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }
}
