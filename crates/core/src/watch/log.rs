//! Bounded log of items by revision, used for deltas and events.
//!
//! The log holds the items and the revision after which it is complete.

use crate::view::Revision;
use std::collections::VecDeque;

/// The requested revision is older than the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {asked:?} is too old, the log starts after {floor:?}")]
pub struct TooOld {
    /// Requested revision.
    pub asked: Revision,
    /// Revision after which the log is complete.
    pub floor: Revision,
}

#[derive(Clone, Debug)]
struct Item<T> {
    revision: Revision,
    weight: usize,
    value: T,
}

/// Items in order of revision, the oldest dropped once their weights exceed a limit.
///
/// Invariant: the log holds every item above `floor`. If only some items of a revision are
/// dropped, the revision is the floor, so that the remaining ones are never returned.
#[derive(Clone, Debug)]
pub(super) struct RevisionLog<T> {
    items: VecDeque<Item<T>>,
    floor: Revision,
    weight: usize,
    limit: usize,
}

impl<T> RevisionLog<T> {
    /// Returns an empty log that is complete after `floor`. `limit` bounds the sum of the weights.
    pub fn new(floor: Revision, limit: usize) -> Self {
        Self { items: VecDeque::new(), floor, weight: 0, limit }
    }

    /// Appends an item and drops the oldest items above the limit. An item of an older revision than
    /// the last is a repetition and is ignored.
    pub fn push(&mut self, revision: Revision, weight: usize, value: T) {
        if revision < self.head() {
            return;
        }
        self.weight += weight;
        self.items.push_back(Item { revision, weight, value });
        while self.weight > self.limit {
            let Some(oldest) = self.items.pop_front() else { break };
            self.weight -= oldest.weight;
            self.floor = oldest.revision;
        }
    }

    /// Returns the revision of the last item, or the floor if the log is empty.
    pub fn head(&self) -> Revision {
        self.items.back().map_or(self.floor, |item| item.revision)
    }

    /// Returns the items above a revision, in order.
    pub fn since(&self, revision: Revision) -> Result<impl Iterator<Item = &T>, TooOld> {
        if revision < self.floor {
            return Err(TooOld { asked: revision, floor: self.floor });
        }
        let first = self.items.partition_point(|item| item.revision <= revision);
        Ok(self.items.range(first..).map(|item| &item.value))
    }
}
