//! Safety properties of Raft that every run must keep, checked at every step.

use corktack_core::consensus::Entry;
use corktack_core::position::Term;
use std::collections::BTreeMap;

/// Leaders and committed entries seen so far, which no later step may contradict.
#[derive(Default)]
pub struct Oracle {
    leaders: BTreeMap<Term, u64>,
    committed: BTreeMap<u64, Entry>,
}

impl Oracle {
    /// Checks election safety and leader completeness: a term has at most one leader, and that leader holds
    /// every committed entry. `snapshot_index` is the last index that the leader's snapshot covers.
    pub fn check_leader(
        &mut self,
        term: Term,
        replica: u64,
        log: &BTreeMap<u64, Entry>,
        snapshot_index: u64,
    ) {
        let leader = *self.leaders.entry(term).or_insert(replica);
        assert_eq!(leader, replica, "two leaders in term {term}");
        for (index, entry) in self.committed.range(snapshot_index + 1..) {
            assert_eq!(
                log.get(index),
                Some(entry),
                "leader {replica} lacks committed entry {index}"
            );
        }
    }

    /// Checks state machine safety: all replicas apply the same entry at an index.
    pub fn check_applied(&mut self, replica: u64, entry: &Entry) {
        let committed = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(committed, entry, "replica {replica} applied another entry than was committed");
    }

    /// Returns the highest index that any replica has applied.
    pub fn highest_applied(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Returns the committed entries up to `index`.
    pub fn committed_up_to(&self, index: u64) -> impl Iterator<Item = &Entry> {
        self.committed.range(..=index).map(|(_, entry)| entry)
    }
}

/// Checks log matching: if two logs hold an entry of the same index and term, they are identical up to it.
pub fn check_log_matching(left: &BTreeMap<u64, Entry>, right: &BTreeMap<u64, Entry>) {
    let mut matched = false;
    for (index, entry) in left.iter().rev() {
        let Some(other) = right.get(index) else { continue };
        if entry.term == other.term {
            matched = true;
        }
        assert!(!matched || entry == other, "logs differ at index {index}, below a matching entry");
    }
}
