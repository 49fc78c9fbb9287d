//! Operations of one tenant that wait at the gateway that counts them.

use crate::time::Timestamp;
use std::collections::VecDeque;

/// Most promises that are remembered: beyond them callers are told the same time.
const PROMISES_REMEMBERED: usize = 4_096;

/// Names operations that were asked for together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationRequestNumber(pub(super) u64);

/// Operations that were asked for together and wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) number: OperationRequestNumber,
    /// Priority class; 0 is served first.
    pub(super) priority: u32,
    pub(super) operations: u64,
    /// How long they may wait.
    pub(super) until: Timestamp,
}

/// Who waits for a tenant's limit, by priority and then in the order in which they came, and what refused
/// callers were promised.
#[derive(Clone, Debug, Default)]
pub(super) struct AskQueue {
    waiting: VecDeque<Waiting>,
    /// Operations of all that wait.
    operations: u64,
    /// When refused callers were told to come back, the earliest first.
    promised: VecDeque<Timestamp>,
}

impl AskQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Operations that wait.
    pub(super) const fn operations(&self) -> u64 {
        self.operations
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        self.operations += waiting.operations;
        let place = self.waiting.partition_point(|it| it.priority <= waiting.priority);
        self.waiting.insert(place, waiting);
    }

    /// Operations that wait before those of a newcomer of this priority.
    pub(super) fn operations_before(&self, priority: u32) -> u64 {
        let before = self.waiting.iter().take_while(|it| it.priority <= priority);
        before.map(|it| it.operations).sum()
    }

    pub(super) fn first(&self) -> Option<Waiting> {
        self.waiting.front().copied()
    }

    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let first = self.waiting.pop_front()?;
        self.operations -= first.operations;
        Some(first)
    }

    /// Who asked has gone.
    pub(super) fn leave(&mut self, number: OperationRequestNumber) {
        drop(self.take_out(|waiting, _| waiting.number == number));
    }

    /// Takes out those of which `is_out` says so, told how many operations wait before each.
    pub(super) fn take_out(
        &mut self,
        mut is_out: impl FnMut(&Waiting, u64) -> bool,
    ) -> Vec<Waiting> {
        let mut out = Vec::new();
        let mut before = 0;
        self.waiting.retain(|waiting| {
            let leaves = is_out(waiting, before);
            if leaves {
                out.push(*waiting);
            } else {
                before += waiting.operations;
            }
            !leaves
        });
        self.operations = before;
        out
    }

    /// When the time of the first to run out of it is over.
    pub(super) fn earliest_end(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }

    /// The place that a caller who is refused now may hope for, counted from the next one that becomes
    /// free: after those that wait, and those that were promised one and have not come back yet.
    pub(super) fn next_place(&mut self, now: Timestamp) -> u64 {
        while self.promised.front().is_some_and(|at| *at <= now) {
            self.promised.pop_front();
        }
        self.operations + self.promised.len() as u64 + 1
    }

    pub(super) fn promise(&mut self, at: Timestamp, operations: u64) {
        let room = PROMISES_REMEMBERED.saturating_sub(self.promised.len());
        let count = usize::try_from(operations).unwrap_or(usize::MAX).min(room);
        // Who waits for the leader's answer is told an earlier time than those before.
        let place = self.promised.partition_point(|promised| *promised <= at);
        (0..count).for_each(|_| self.promised.insert(place, at));
    }
}
