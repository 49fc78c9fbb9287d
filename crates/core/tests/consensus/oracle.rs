//! What must hold in every run, checked at every step.

use corktack_core::consensus::Entry;
use corktack_core::position::Term;
use std::collections::BTreeMap;

/// Everything seen so far that no later step may contradict.
#[derive(Default)]
pub struct Oracle {
    leaders: BTreeMap<Term, u64>,
    committed: BTreeMap<u64, Entry>,
}

impl Oracle {
    /// At most one leader a term, and it holds every committed entry.
    pub fn leader_elected(
        &mut self,
        term: Term,
        replica: u64,
        log: &BTreeMap<u64, Entry>,
        base: u64,
    ) {
        let known = *self.leaders.entry(term).or_insert(replica);
        assert_eq!(known, replica, "two leaders in term {term}");
        for (index, entry) in self.committed.range(base + 1..) {
            assert_eq!(log.get(index), Some(entry), "leader {replica} lacks committed {index}");
        }
    }

    /// Committed entries are the same on every replica, for ever.
    pub fn applied(&mut self, replica: u64, entry: &Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "replica {replica} applied another entry");
    }

    /// Highest index applied anywhere.
    pub fn highest_applied(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Committed entries up to `index`.
    pub fn committed_up_to(&self, index: u64) -> impl Iterator<Item = &Entry> {
        self.committed.range(..=index).map(|(_, entry)| entry)
    }
}

/// If two logs hold an entry of the same index and term, they are the same up to it.
pub fn check_log_matching(left: &BTreeMap<u64, Entry>, right: &BTreeMap<u64, Entry>) {
    let mut matched = false;
    for (index, entry) in left.iter().rev() {
        let Some(other) = right.get(index) else { continue };
        if entry.term == other.term {
            matched = true;
        }
        assert!(!matched || entry == other, "logs differ at {index} below a matching entry");
    }
}
