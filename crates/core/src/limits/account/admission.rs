//! Admission: which operations begin now, which wait in the queue, and which are refused at once.
//!
//! Decides on each request when it arrives, and later on those that wait. The state is the account's;
//! [`super::allowance`] says what may begin in a window, [`super::queue`] orders the waiting requests,
//! and [`super::retry_time`] computes the retry time of a refused caller.
//!
//! Inputs: the allowance in force (operations in a window), the operations begun in the last window,
//! the requests that wait ahead, the request's deadline, and whether the leader may still grant more. A
//! request waits only where its first operation may begin before its deadline; all others are refused
//! on arrival, so that no caller waits for an operation that is known not to begin in time.

use super::{
    Account, AdmittedOperations, OperationOutcome, OperationRequestNumber, OverLimit,
    WaitingRequest,
};
use crate::limits::bounds::LimitBounds;
use crate::time::Timestamp;
use std::time::Duration;

/// Time after a grant that was less than needed during which the leader is not expected to grant more.
/// With less, more requests wait for a leader that has nothing to grant; with more, operations that
/// were freed elsewhere are discovered later by callers who could have waited for them.
pub(super) const EXHAUSTED_PAUSE: Duration = Duration::from_secs(1);

impl Account {
    /// Admits requested operations, queues them, or refuses them where none of them can begin before
    /// the deadline. Where capacity is short, higher priority classes get it first.
    pub(in crate::limits) fn request(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        request: WaitingRequest,
    ) -> OperationOutcome {
        self.last_active_at = Some(now);
        self.requested.add(now, bounds.window, request.operations);
        if self.queue.is_empty()
            && let Some(admitted) = self.admit(now, bounds, request.operations)
        {
            return OperationOutcome::Admitted(admitted);
        }
        self.delayed += request.operations;
        let operations_ahead = self.queue.operations_ahead(request.priority);
        if self.may_begin_in_time(now, bounds, &request, operations_ahead) {
            self.queue.push(request);
            return OperationOutcome::Waiting(request.number);
        }
        OperationOutcome::Refused(self.refuse(now, bounds, request.operations))
    }

    /// Counts as many of the operations as may begin now; none where no operation may.
    fn admit(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        operations: u64,
    ) -> Option<AdmittedOperations> {
        let operations = self.available(now, bounds).min(operations);
        if operations == 0 {
            return None;
        }
        self.begun.add(now, bounds.window, operations);
        Some(AdmittedOperations { operations, counted_at: now })
    }

    /// Returns the operations that may begin now.
    fn available(&mut self, now: Timestamp, bounds: &LimitBounds) -> u64 {
        let begun = self.begun.count(now, bounds.window);
        self.allowed(now).saturating_sub(begun)
    }

    /// Reports whether the first operation of a request may begin before its deadline, behind the given
    /// number of operations: capacity becomes free by then, or the leader may still grant more.
    fn may_begin_in_time(
        &self,
        now: Timestamp,
        bounds: &LimitBounds,
        request: &WaitingRequest,
        operations_ahead: u64,
    ) -> bool {
        if request.until <= now {
            return false;
        }
        let time_until_free = self.time_until_free(now, bounds, operations_ahead + 1);
        now >= self.exhausted_until
            || time_until_free.is_some_and(|after| now + after <= request.until)
    }

    /// Admits waiting requests for which there is capacity, and refuses those that can no longer begin
    /// in time.
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
        let unservable = queue.remove_where(|request, operations_ahead| {
            !self.may_begin_in_time(now, bounds, request, operations_ahead)
        });
        self.queue = queue;
        for request in unservable {
            settled.push((request.number, Err(self.refuse(now, bounds, request.operations))));
        }
        settled
    }

    /// Returns the time at which waiting requests can next be decided on if nothing else happens.
    pub(in crate::limits) fn settle_due(
        &self,
        now: Timestamp,
        bounds: &LimitBounds,
    ) -> Option<Timestamp> {
        let deadline = self.queue.earliest_deadline()?;
        let free_at = self.time_until_free(now, bounds, 1).map(|after| now + after);
        Some(free_at.map_or(deadline, |free_at| free_at.min(deadline)))
    }

    /// Removes a waiting request whose caller has gone.
    pub(in crate::limits) fn withdraw(&mut self, number: OperationRequestNumber) {
        self.queue.withdraw(number);
    }

    pub(in crate::limits) fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }
}
