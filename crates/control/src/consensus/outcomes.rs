//! Outcomes of the last commands, by the index of their log entry.
//!
//! Owns a bounded number of them; forgets the oldest first.

use corktack_core::state::command::Outcome;
use std::collections::BTreeMap;

/// Outcomes that are kept. A forwarded command needs its outcome one round trip after it was applied; a
/// later requester sends the command again. Chosen, not measured; it bounds the memory, and a lower value has
/// more commands sent twice in a burst.
const OUTCOMES_KEPT: usize = 16_384;

/// Outcomes of the last commands applied here.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    outcomes: BTreeMap<u64, Outcome>,
}

impl Outcomes {
    /// Remembers an outcome, and forgets the oldest one over the limit.
    pub(crate) fn insert(&mut self, index: u64, outcome: Outcome) {
        self.outcomes.insert(index, outcome);
        if self.outcomes.len() > OUTCOMES_KEPT {
            self.outcomes.pop_first();
        }
    }

    /// The outcome of the command at `index`, when it is still known.
    pub(crate) fn get(&self, index: u64) -> Option<&Outcome> {
        self.outcomes.get(&index)
    }

    /// Forgets everything: after a snapshot the entries between are unknown.
    pub(crate) fn clear(&mut self) {
        self.outcomes.clear();
    }
}
