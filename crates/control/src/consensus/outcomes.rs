//! Outcomes of the last commands, by the index of their log entry.
//!
//! Their number is bounded, and the oldest are forgotten first.

use corktack_core::state::command::Outcome;
use std::collections::BTreeMap;

/// Most outcomes kept. A forwarded command needs its outcome one round trip after it was applied; if the
/// outcome is forgotten by then, the requester sends the command again. Bounds the memory; a lower limit
/// makes more commands be sent twice in a burst.
const MAX_OUTCOMES: usize = 16_384;

/// Outcomes of the last commands applied here.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    outcomes: BTreeMap<u64, Outcome>,
}

impl Outcomes {
    /// Stores an outcome, and drops the oldest one above the limit.
    pub(crate) fn insert(&mut self, index: u64, outcome: Outcome) {
        self.outcomes.insert(index, outcome);
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_first();
        }
    }

    /// Returns the outcome of the command at `index` if it is still stored.
    pub(crate) fn get(&self, index: u64) -> Option<&Outcome> {
        self.outcomes.get(&index)
    }

    /// Drops all outcomes. Needed after an installed snapshot, as the outcomes of the entries that it
    /// skips are unknown.
    pub(crate) fn clear(&mut self) {
        self.outcomes.clear();
    }
}
