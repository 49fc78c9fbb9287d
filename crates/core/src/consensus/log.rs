//! A replica's log in memory: its snapshot, the entries after it, and the cell in force at each index.
//!
//! The log does not know which entries are committed; the replica must never truncate committed ones.

use super::message::LogEnd;
use super::{CellConfig, ConsensusError, Entry, Payload, Snapshot};
use crate::position::Term;
use std::collections::VecDeque;
use std::sync::Arc;

/// Entries kept in memory below a snapshot, so that a follower that is slightly
/// behind needs no snapshot. More entries cost each replica more memory.
const COMPACTION_TAIL_ENTRIES: usize = 1_024;
/// Limit on the estimated bytes of the entries kept below a snapshot.
const COMPACTION_TAIL_BYTES: usize = 1024 * 1024;
/// Estimated bytes of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 24;
/// Estimated bytes of one member of a cell.
const CELL_MEMBER_BYTES: usize = 32;

/// Estimates the bytes that an entry takes in a message.
fn entry_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        Payload::Empty => 0,
        Payload::Command(command) => command.len(),
        Payload::Cell(cell) => (cell.voters.len() + cell.learners.len()) * CELL_MEMBER_BYTES,
    };
    ENTRY_OVERHEAD_BYTES + payload
}

/// A cell configuration and the index of the entry that set it.
#[derive(Clone, Debug)]
struct IndexedCell {
    index: u64,
    cell: CellConfig,
}

/// Log of one replica.
///
/// Invariants: entries are consecutive from `previous.index + 1`, their terms
/// never decrease, and `cells` is never empty and ordered by index.
#[derive(Debug)]
pub(super) struct Log {
    /// The entry before the first of `entries`; index 0 if nothing was compacted.
    previous: LogEnd,
    entries: VecDeque<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    cells: Vec<IndexedCell>,
    /// Index of the first entry that was not handed out for syncing yet.
    unsynced_from: Option<u64>,
}

impl Log {
    /// Builds the log from the persisted snapshot and entries.
    pub(super) fn open(
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Result<Self, ConsensusError> {
        let mut log = Self {
            previous: LogEnd { index: 0, term: Term(0) },
            entries: VecDeque::new(),
            snapshot: None,
            cells: vec![IndexedCell { index: 0, cell: CellConfig::default() }],
            unsynced_from: None,
        };
        if let Some(snapshot) = snapshot {
            log.restore(snapshot);
        }
        for entry in entries {
            log.check_consecutive(&entry)?;
            log.append(entry);
        }
        log.unsynced_from = None;
        Ok(log)
    }

    /// Checks that `entry` may follow the last entry.
    fn check_consecutive(&self, entry: &Entry) -> Result<(), ConsensusError> {
        let expected = self.last_index() + 1;
        if entry.index != expected {
            return Err(ConsensusError::LogGap { expected, found: entry.index });
        }
        if entry.term < self.end().term {
            return Err(ConsensusError::TermDecreases { index: entry.index });
        }
        Ok(())
    }

    /// Returns the index and term of the last entry.
    pub(super) fn end(&self) -> LogEnd {
        self.entries
            .back()
            .map_or(self.previous, |entry| LogEnd { index: entry.index, term: entry.term })
    }

    pub(super) fn last_index(&self) -> u64 {
        self.previous.index + self.entries.len() as u64
    }

    pub(super) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the last index that the snapshot covers; 0 without a snapshot.
    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Returns the position in `entries` of the entry at `index`.
    fn position(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.previous.index + 1)?;
        usize::try_from(offset).ok().filter(|offset| *offset < self.entries.len())
    }

    /// Returns the term of the entry at `index`; none if the entry was compacted or does not exist.
    pub(super) fn term_at(&self, index: u64) -> Option<Term> {
        if index == self.previous.index {
            return Some(self.previous.term);
        }
        if let Some(snapshot) = self.snapshot.as_ref().filter(|snapshot| snapshot.index == index) {
            return Some(snapshot.term);
        }
        self.position(index).map(|position| self.entries[position].term)
    }

    /// Reports whether a log that ends at `other` is at least as up-to-date as this one.
    pub(super) fn is_up_to_date(&self, other: LogEnd) -> bool {
        let last = self.end();
        (other.term, other.index) >= (last.term, last.index)
    }

    /// Returns the first index held in the log of the given term, or of the next higher one.
    pub(super) fn first_index_of_term(&self, term: Term) -> u64 {
        let position = self.entries.partition_point(|entry| entry.term < term);
        self.previous.index + 1 + position as u64
    }

    /// Returns the last index of `term`, if the log holds an entry of it.
    pub(super) fn last_index_of_term(&self, term: Term) -> Option<u64> {
        let position = self.entries.partition_point(|entry| entry.term <= term).checked_sub(1)?;
        let entry = &self.entries[position];
        (entry.term == term).then_some(entry.index)
    }

    /// Returns the entries from `first` to `last`, both inclusive.
    pub(super) fn range(&self, first: u64, last: u64) -> Vec<Entry> {
        let start = self.position(first).unwrap_or(self.entries.len());
        let count = usize::try_from((last + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        self.entries.iter().skip(start).take(count).cloned().collect()
    }

    /// Returns the entries from `first` on that fit into `bytes_limit`, but always the first of them if it
    /// exists.
    pub(super) fn limited_range(&self, first: u64, bytes_limit: usize) -> Vec<Entry> {
        let start = self.position(first).unwrap_or(self.entries.len());
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(start) {
            bytes += entry_bytes(entry);
            if bytes > bytes_limit && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Appends `entry`, whose index must follow the last one.
    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1, "entries are consecutive");
        if let Payload::Cell(cell) = &entry.payload {
            self.cells.push(IndexedCell { index: entry.index, cell: cell.clone() });
        }
        self.mark_unsynced(entry.index);
        self.entries.push_back(entry);
    }

    fn mark_unsynced(&mut self, index: u64) {
        self.unsynced_from = Some(self.unsynced_from.map_or(index, |from| from.min(index)));
    }

    /// Removes the entries from `index` on, and the cells that these entries set.
    pub(super) fn truncate_from(&mut self, index: u64) {
        let Some(position) = self.position(index) else { return };
        self.entries.truncate(position);
        self.cells.retain(|cell| cell.index < index);
        self.mark_unsynced(index);
    }

    /// Takes the entries that have to be synced; from then on they count as handed out.
    pub(super) fn take_unsynced(&mut self) -> Vec<Entry> {
        match self.unsynced_from.take() {
            Some(from) => self.range(from, self.last_index()),
            None => Vec::new(),
        }
    }

    /// Returns the cell in force: the last one in the log, committed or not.
    pub(super) fn cell(&self) -> &CellConfig {
        &self.cells[self.cells.len() - 1].cell
    }

    /// Returns the index of the entry that set the cell in force.
    pub(super) fn cell_index(&self) -> u64 {
        self.cells[self.cells.len() - 1].index
    }

    /// Returns the cell that was in force at `index`; none if it was compacted.
    pub(super) fn cell_at(&self, index: u64) -> Option<&CellConfig> {
        self.cells.iter().rev().find(|cell| cell.index <= index).map(|cell| &cell.cell)
    }

    /// Replaces the whole log with a snapshot.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        self.previous = LogEnd { index: snapshot.index, term: snapshot.term };
        self.entries.clear();
        self.cells = vec![IndexedCell { index: snapshot.index, cell: snapshot.cell.clone() }];
        self.unsynced_from = None;
        self.snapshot = Some(Arc::new(snapshot));
    }

    /// Removes the entries that the snapshot covers, except a short tail.
    pub(super) fn compact(&mut self, snapshot: Snapshot) {
        let keep_from = self.first_index_to_keep(snapshot.index);
        while let Some(entry) = self.entries.front().filter(|entry| entry.index < keep_from) {
            self.previous = LogEnd { index: entry.index, term: entry.term };
            self.entries.pop_front();
        }
        self.drop_cells_below(snapshot.index);
        self.snapshot = Some(Arc::new(snapshot));
    }

    fn drop_cells_below(&mut self, index: u64) {
        let end = self.cells.partition_point(|cell| cell.index <= index);
        // The last cell at or below the index is in force there, so it is kept.
        self.cells.drain(..end.saturating_sub(1));
    }

    /// Returns the first index to keep when the entries up to `compacted` may be removed.
    fn first_index_to_keep(&self, compacted: u64) -> u64 {
        let Some(position) = self.position(compacted) else { return compacted + 1 };
        let mut bytes = 0;
        let mut kept_entries = 0;
        for entry in self.entries.iter().take(position + 1).rev() {
            bytes += entry_bytes(entry);
            if kept_entries == COMPACTION_TAIL_ENTRIES || bytes > COMPACTION_TAIL_BYTES {
                break;
            }
            kept_entries += 1;
        }
        compacted + 1 - kept_entries as u64
    }
}
