//! The replicated log in memory: entries after a snapshot, and the cells they set.
//!
//! Owns the entries and the cell in force at each index. Relies on its replica to keep what is committed.

use super::message::LogEnd;
use super::{CellConfig, ConsensusError, Entry, Payload, Snapshot};
use crate::position::Term;
use std::collections::VecDeque;
use std::sync::Arc;

/// Entries kept in memory below a snapshot, so that a follower that is a little
/// behind needs no snapshot. Chosen, not measured: with more, each replica keeps more memory.
const COMPACTION_TAIL_ENTRIES: usize = 1_024;
/// Bytes of those entries at most. Chosen, not measured.
const COMPACTION_TAIL_BYTES: usize = 1024 * 1024;
/// Bytes counted for an entry beside its payload.
const ENTRY_OVERHEAD_BYTES: usize = 24;
/// Bytes counted for one member of a cell.
const MEMBER_BYTES: usize = 32;

/// Estimate of the bytes of an entry in a message.
fn entry_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        Payload::Empty => 0,
        Payload::Command(command) => command.len(),
        Payload::Cell(cell) => (cell.voters.len() + cell.learners.len()) * MEMBER_BYTES,
    };
    ENTRY_OVERHEAD_BYTES + payload
}

/// A cell and the index of the entry that set it.
#[derive(Clone, Debug)]
struct CellAt {
    index: u64,
    cell: CellConfig,
}

/// The log of one replica.
///
/// Invariants: entries are consecutive from `previous.index + 1`, their terms
/// never decrease, and `cells` is never empty and ordered by index.
#[derive(Debug)]
pub(super) struct Log {
    /// The entry before the first one held.
    previous: LogEnd,
    entries: VecDeque<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    cells: Vec<CellAt>,
    /// First index not handed out for syncing yet.
    unsynced_from: Option<u64>,
}

impl Log {
    /// Builds the log that was found on disk.
    pub(super) fn open(
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> Result<Self, ConsensusError> {
        let mut log = Self {
            previous: LogEnd { index: 0, term: Term(0) },
            entries: VecDeque::new(),
            snapshot: None,
            cells: vec![CellAt { index: 0, cell: CellConfig::default() }],
            unsynced_from: None,
        };
        if let Some(snapshot) = snapshot {
            log.reset_to(snapshot);
        }
        for entry in entries {
            log.check_next(&entry)?;
            log.append(entry);
        }
        log.unsynced_from = None;
        Ok(log)
    }

    fn check_next(&self, entry: &Entry) -> Result<(), ConsensusError> {
        let expected = self.last_index() + 1;
        if entry.index != expected {
            return Err(ConsensusError::LogGap { expected, found: entry.index });
        }
        if entry.term < self.last().term {
            return Err(ConsensusError::TermDecreases { index: entry.index });
        }
        Ok(())
    }

    pub(super) fn last(&self) -> LogEnd {
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

    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    fn position(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.previous.index + 1)?;
        usize::try_from(offset).ok().filter(|offset| *offset < self.entries.len())
    }

    /// Term of the entry at `index`, where the log still knows it.
    pub(super) fn term_at(&self, index: u64) -> Option<Term> {
        if index == self.previous.index {
            return Some(self.previous.term);
        }
        if let Some(snapshot) = self.snapshot.as_ref().filter(|snapshot| snapshot.index == index) {
            return Some(snapshot.term);
        }
        self.position(index).map(|position| self.entries[position].term)
    }

    /// Whether a log that ends at `other` is at least as new as this one.
    pub(super) fn is_covered_by(&self, other: LogEnd) -> bool {
        let last = self.last();
        (other.term, other.index) >= (last.term, last.index)
    }

    /// First index held of the term of the entry at `index`.
    pub(super) fn first_index_of_term(&self, term: Term) -> u64 {
        let position = self.entries.partition_point(|entry| entry.term < term);
        self.previous.index + 1 + position as u64
    }

    /// Last index held of `term`, if there is one.
    pub(super) fn last_index_of_term(&self, term: Term) -> Option<u64> {
        let position = self.entries.partition_point(|entry| entry.term <= term).checked_sub(1)?;
        let entry = &self.entries[position];
        (entry.term == term).then_some(entry.index)
    }

    /// Entries from `first` to `last`, both included.
    pub(super) fn range(&self, first: u64, last: u64) -> Vec<Entry> {
        let start = self.position(first).unwrap_or(self.entries.len());
        let count = usize::try_from((last + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        self.entries.iter().skip(start).take(count).cloned().collect()
    }

    /// Entries from `first` on: at least one if there is one, then as many as
    /// stay within `bytes_limit`.
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

    /// Appends the entry that follows the last one.
    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1, "entries are consecutive");
        if let Payload::Cell(cell) = &entry.payload {
            self.cells.push(CellAt { index: entry.index, cell: cell.clone() });
        }
        self.mark_unsynced(entry.index);
        self.entries.push_back(entry);
    }

    fn mark_unsynced(&mut self, index: u64) {
        self.unsynced_from = Some(self.unsynced_from.map_or(index, |from| from.min(index)));
    }

    /// Drops the entries from `index` on, and with them the cells they set.
    pub(super) fn truncate_from(&mut self, index: u64) {
        let Some(position) = self.position(index) else { return };
        self.entries.truncate(position);
        self.cells.retain(|cell| cell.index < index);
        self.mark_unsynced(index);
    }

    /// Entries that have to be synced; from then on they count as synced.
    pub(super) fn take_unsynced(&mut self) -> Vec<Entry> {
        match self.unsynced_from.take() {
            Some(from) => self.range(from, self.last_index()),
            None => Vec::new(),
        }
    }

    /// The cell in force: the last one in the log, committed or not.
    pub(super) fn cell(&self) -> &CellConfig {
        &self.cells[self.cells.len() - 1].cell
    }

    /// Index of the entry that set the cell in force.
    pub(super) fn cell_index(&self) -> u64 {
        self.cells[self.cells.len() - 1].index
    }

    /// The cell that was in force at `index`.
    pub(super) fn cell_at(&self, index: u64) -> Option<&CellConfig> {
        self.cells.iter().rev().find(|cell| cell.index <= index).map(|cell| &cell.cell)
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn reset_to(&mut self, snapshot: Snapshot) {
        self.previous = LogEnd { index: snapshot.index, term: snapshot.term };
        self.entries.clear();
        self.cells = vec![CellAt { index: snapshot.index, cell: snapshot.cell.clone() }];
        self.unsynced_from = None;
        self.snapshot = Some(Arc::new(snapshot));
    }

    /// Drops entries that the snapshot covers, except a short tail.
    pub(super) fn compact(&mut self, snapshot: Snapshot) {
        let keep_from = self.tail_start(snapshot.index);
        while let Some(entry) = self.entries.front().filter(|entry| entry.index < keep_from) {
            self.previous = LogEnd { index: entry.index, term: entry.term };
            self.entries.pop_front();
        }
        self.forget_cells_below(snapshot.index);
        self.snapshot = Some(Arc::new(snapshot));
    }

    fn forget_cells_below(&mut self, index: u64) {
        let newer = self.cells.partition_point(|cell| cell.index <= index);
        // The last cell at or below the index stays: it is in force there.
        self.cells.drain(..newer.saturating_sub(1));
    }

    /// First index to keep when everything up to `compacted` may go.
    fn tail_start(&self, compacted: u64) -> u64 {
        let Some(position) = self.position(compacted) else { return compacted + 1 };
        let mut bytes = 0;
        let mut kept = 0;
        for entry in self.entries.iter().take(position + 1).rev() {
            bytes += entry_bytes(entry);
            if kept == COMPACTION_TAIL_ENTRIES || bytes > COMPACTION_TAIL_BYTES {
                break;
            }
            kept += 1;
        }
        compacted + 1 - kept as u64
    }
}
