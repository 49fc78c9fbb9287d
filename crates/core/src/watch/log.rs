//! Bounded log of items by revision.
//!
//! Shared by deltas and events. Owns the items and the revision after which it is complete.

use crate::view::Revision;
use std::collections::VecDeque;

/// The revision asked for is older than what the log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {asked:?} is too old, the log starts after {floor:?}")]
pub struct TooOld {
    /// Revision asked for.
    pub asked: Revision,
    /// The log is complete after this revision.
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
/// Invariant: every item above `floor` is held. Items of one revision may be
/// dropped apart; those left are at the floor and are never given out.
#[derive(Clone, Debug)]
pub(super) struct RevisionLog<T> {
    items: VecDeque<Item<T>>,
    floor: Revision,
    weight: usize,
    limit: usize,
}

impl<T> RevisionLog<T> {
    /// An empty log that is complete after `floor`.
    pub fn new(floor: Revision, limit: usize) -> Self {
        Self { items: VecDeque::new(), floor, weight: 0, limit }
    }

    /// Appends an item; one of an older revision than the last is a repeat and is left out.
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

    /// Revision of the last item, or the floor.
    pub fn head(&self) -> Revision {
        self.items.back().map_or(self.floor, |item| item.revision)
    }

    /// The items above a revision, in order.
    pub fn since(&self, revision: Revision) -> Result<impl Iterator<Item = &T>, TooOld> {
        if revision < self.floor {
            return Err(TooOld { asked: revision, floor: self.floor });
        }
        let first = self.items.partition_point(|item| item.revision <= revision);
        Ok(self.items.range(first..).map(|item| &item.value))
    }
}
