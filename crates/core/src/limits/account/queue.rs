//! Operations of one tenant that wait at the gateway that counts them.
//!
//! The order in which they begin. Owns the requests that wait. Which of them may begin, or may hope
//! to, is decided in [`super::admission`].

use crate::time::Timestamp;
use std::collections::VecDeque;

/// Names operations that were asked for together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationRequestNumber(pub(in crate::limits) u64);

/// Operations that were asked for together and may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::limits) struct WaitingRequest {
    pub(in crate::limits) number: OperationRequestNumber,
    /// Priority class; 0 is served first.
    pub(in crate::limits) priority: u32,
    pub(in crate::limits) operations: u64,
    /// How long they may wait.
    pub(in crate::limits) until: Timestamp,
}

/// Who waits for a tenant's limit, by priority and then in the order in which they came.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestQueue {
    waiting: VecDeque<WaitingRequest>,
    /// Operations of all that wait.
    operations: u64,
}

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Operations that wait.
    pub(super) const fn operations(&self) -> u64 {
        self.operations
    }

    pub(super) fn push(&mut self, request: WaitingRequest) {
        self.operations += request.operations;
        let place = self.waiting.partition_point(|it| it.priority <= request.priority);
        self.waiting.insert(place, request);
    }

    /// Operations that wait before those of a newcomer of this priority.
    pub(super) fn operations_before(&self, priority: u32) -> u64 {
        let before = self.waiting.iter().take_while(|it| it.priority <= priority);
        before.map(|it| it.operations).sum()
    }

    pub(super) fn first(&self) -> Option<WaitingRequest> {
        self.waiting.front().copied()
    }

    pub(super) fn pop(&mut self) -> Option<WaitingRequest> {
        let first = self.waiting.pop_front()?;
        self.operations -= first.operations;
        Some(first)
    }

    /// Drops a request: who made it has gone.
    pub(super) fn withdraw(&mut self, number: OperationRequestNumber) {
        drop(self.take_out(|request, _| request.number == number));
    }

    /// Takes out those of which `is_out` says so, given how many operations wait before each.
    pub(super) fn take_out(
        &mut self,
        mut is_out: impl FnMut(&WaitingRequest, u64) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut out = Vec::new();
        let mut before = 0;
        self.waiting.retain(|request| {
            let leaves = is_out(request, before);
            if leaves {
                out.push(*request);
            } else {
                before += request.operations;
            }
            !leaves
        });
        self.operations = before;
        out
    }

    /// When the time of the first to run out of it is over.
    pub(super) fn earliest_end(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|request| request.until).min()
    }
}
