//! Queue of one tenant's waiting operations, at the gateway that counts them.
//!
//! Orders the waiting requests. [`super::admission`] decides which of them begin or are refused.

use crate::time::Timestamp;
use std::collections::VecDeque;

/// Identifies operations that were requested together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationRequestNumber(pub(in crate::limits) u64);

/// Operations that were requested together and may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::limits) struct WaitingRequest {
    pub(in crate::limits) number: OperationRequestNumber,
    /// Priority class; class 0 is served first.
    pub(in crate::limits) priority: u32,
    pub(in crate::limits) operations: u64,
    /// Deadline until which the operations may wait.
    pub(in crate::limits) until: Timestamp,
}

/// Requests that wait for a tenant's limit, by priority and then by arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestQueue {
    waiting: VecDeque<WaitingRequest>,
    /// Sum of the operations of all waiting requests.
    operations: u64,
}

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the operations that wait.
    pub(super) const fn operations(&self) -> u64 {
        self.operations
    }

    pub(super) fn push(&mut self, request: WaitingRequest) {
        self.operations += request.operations;
        let index = self.waiting.partition_point(|queued| queued.priority <= request.priority);
        self.waiting.insert(index, request);
    }

    /// Returns the operations that wait ahead of a new request of this priority.
    pub(super) fn operations_ahead(&self, priority: u32) -> u64 {
        let operations_ahead = self.waiting.iter().take_while(|queued| queued.priority <= priority);
        operations_ahead.map(|queued| queued.operations).sum()
    }

    pub(super) fn first(&self) -> Option<WaitingRequest> {
        self.waiting.front().copied()
    }

    pub(super) fn pop(&mut self) -> Option<WaitingRequest> {
        let first = self.waiting.pop_front()?;
        self.operations -= first.operations;
        Some(first)
    }

    /// Removes a request whose caller has gone.
    pub(super) fn withdraw(&mut self, number: OperationRequestNumber) {
        drop(self.remove_where(|request, _| request.number == number));
    }

    /// Removes and returns the requests for which `should_remove` returns true, given the number of
    /// operations that wait ahead of each.
    pub(super) fn remove_where(
        &mut self,
        mut should_remove: impl FnMut(&WaitingRequest, u64) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut removed = Vec::new();
        let mut operations_ahead = 0;
        self.waiting.retain(|request| {
            let is_removed = should_remove(request, operations_ahead);
            if is_removed {
                removed.push(*request);
            } else {
                operations_ahead += request.operations;
            }
            !is_removed
        });
        self.operations = operations_ahead;
        removed
    }

    /// Returns the earliest deadline of all waiting requests.
    pub(super) fn earliest_deadline(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|request| request.until).min()
    }
}
