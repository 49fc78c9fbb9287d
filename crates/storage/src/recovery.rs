//! Recovery of a log when it is opened: replays the segments and truncates a torn tail.
//!
//! This module defines the order in which segments are replayed, and distinguishes damage from the remains
//! of a crash. It relies on the checksums of the records.

use crate::checked_file;
use crate::disk::Disk;
use crate::error::{Damage, StorageError};
use crate::record::{LogBase, Record, SegmentStart};
use crate::segment::{self, SegmentContent};
use corktack_core::consensus::{Entry, HardState, Snapshot};
use corktack_core::position::Term;
use std::path::PathBuf;

/// Format version of segments and of the snapshot file.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// A segment on disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    /// Highest index of an entry ever written to the segment; zero if none was.
    pub(crate) highest_index: u64,
    pub(crate) length: u64,
}

/// The log as replayed from the segments.
#[derive(Debug, Default)]
pub(crate) struct RecoveredLog {
    pub(crate) segments: Vec<Segment>,
    pub(crate) hard_state: HardState,
    /// Index of the entry before the first of `entries`. The term of that entry is unknown once the
    /// log was cut below the index at which the segments begin.
    base_index: u64,
    base_term: Option<Term>,
    /// Whether a compaction removed segments before the first one.
    compacted: bool,
    pub(crate) entries: Vec<Entry>,
}

impl RecoveredLog {
    pub(crate) fn last(&self) -> LogBase {
        let base = LogBase { index: self.base_index, term: self.base_term.unwrap_or_default() };
        let last = self.entries.last();
        last.map_or(base, |entry| LogBase { index: entry.index, term: entry.term })
    }

    /// Returns the term of the entry at `index`, if the log holds it.
    pub(crate) fn term_at(&self, index: u64) -> Option<Term> {
        if index == self.base_index {
            return self.base_term;
        }
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?).map(|entry| entry.term)
    }

    /// Cuts the log so that it ends before `index`. Returns `None` if the log ends before `index - 1` or
    /// begins after `index`.
    fn cut_before(&mut self, index: u64) -> Option<()> {
        if index <= self.base_index && index > 0 && self.compacted {
            // A later entry replaced one of a removed segment. The snapshot for which the segment was
            // removed covers both the replaced entry and the one that replaced it.
            self.base_index = index - 1;
            self.base_term = None;
            self.entries.clear();
            return Some(());
        }
        let kept = index.checked_sub(self.base_index + 1)?;
        let kept = usize::try_from(kept).ok().filter(|kept| *kept <= self.entries.len())?;
        self.entries.truncate(kept);
        Some(())
    }

    fn apply_start(&mut self, start: &SegmentStart) -> Result<(), Damage> {
        if start.version != FORMAT_VERSION {
            return Err(Damage::Version(start.version));
        }
        let is_first_segment = self.segments.is_empty();
        if is_first_segment || start.reset {
            self.compacted = !start.reset;
            self.base_index = start.base.index;
            self.base_term = Some(start.base.term);
            self.entries.clear();
        } else if start.base != self.last() {
            return Err(Damage::Gap);
        }
        self.hard_state = start.hard_state;
        Ok(())
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> Result<(), Damage> {
        if let Some(first) = entries.first() {
            self.cut_before(first.index).ok_or(Damage::Gap)?;
        }
        for entry in entries {
            if entry.index != self.last().index + 1 {
                return Err(Damage::Gap);
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    fn replay_record(&mut self, record: Record, is_first_record: bool) -> Result<(), Damage> {
        match record {
            Record::Start(start) if is_first_record => self.apply_start(&start),
            Record::Start(_) => Err(Damage::OutOfPlace),
            _ if is_first_record => Err(Damage::OutOfPlace),
            Record::Append { hard_state, entries } => {
                self.hard_state = hard_state.unwrap_or(self.hard_state);
                self.append_entries(entries)
            }
        }
    }

    fn replay_segment(
        &mut self,
        path: &std::path::Path,
        number: u64,
        content: SegmentContent,
    ) -> Result<(), StorageError> {
        let mut highest_index = 0;
        for (offset, record) in content.records {
            highest_index = highest_index.max(record.highest_index());
            self.replay_record(record, offset == 0).map_err(|damage| StorageError::Corrupt {
                path: path.to_path_buf(),
                offset,
                damage,
            })?;
        }
        self.segments.push(Segment { number, highest_index, length: content.length });
        Ok(())
    }
}

/// Returns the numbers of the segments in a folder, in order and without a gap.
fn segment_numbers(disk: &impl Disk) -> Result<Vec<u64>, StorageError> {
    let numbers = segment::numbers(disk)?;
    if let Some(pair) = numbers.windows(2).find(|pair| pair[1] != pair[0] + 1) {
        return Err(missing_before(disk.path(&segment::file_name(pair[1]))));
    }
    Ok(numbers)
}

fn missing_before(path: PathBuf) -> StorageError {
    StorageError::Corrupt { path, offset: 0, damage: Damage::MissingFile }
}

/// Replays the segments, and rewrites the last one without a torn record at its end.
pub(crate) fn replay_segments(disk: &mut impl Disk) -> Result<RecoveredLog, StorageError> {
    let numbers = segment_numbers(disk)?;
    let mut current = Vec::new();
    let mut obsolete = numbers.clone();
    // Reads segments from the newest back to the last one that emptied the log. Segments before
    // that one are obsolete, and a crash may have left only some of them.
    while let Some(number) = obsolete.pop() {
        let is_last = numbers.last() == Some(&number);
        let content = read_segment(disk, number, is_last)?;
        if content.length == 0 {
            remove_unstarted(disk, number, is_last, numbers.len())?;
            continue;
        }
        let is_reset = content.is_reset();
        current.push((number, content));
        if is_reset {
            break;
        }
    }
    remove_obsolete(disk, &obsolete)?;
    let mut recovered = RecoveredLog { base_term: Some(Term(0)), ..RecoveredLog::default() };
    for (number, content) in current.into_iter().rev() {
        let path = disk.path(&segment::file_name(number));
        recovered.replay_segment(&path, number, content)?;
    }
    Ok(recovered)
}

/// Reads a segment, and rewrites the last segment without a torn record at its end.
fn read_segment(
    disk: &mut impl Disk,
    number: u64,
    is_last: bool,
) -> Result<SegmentContent, StorageError> {
    let name = segment::file_name(number);
    let mut bytes = disk.read(&name)?.unwrap_or_default();
    let content = segment::parse(&disk.path(&name), number, &bytes, is_last)?;
    if is_last && content.length > 0 {
        if content.torn {
            log::warn!(file = name.as_str(), length = content.length; "torn record at the end of the log is truncated");
        }
        bytes.truncate(usize::try_from(content.length).unwrap_or(usize::MAX));
        // The previous process may have ended between a write and its sync, or after a failed sync. What is
        // read here must not be lost later, and a sync of the same file does not suffice: after a failed
        // one, the operating system may still return bytes that it will never write.
        checked_file::replace_bytes(disk, &name, &bytes)?;
    }
    Ok(content)
}

/// Removes the last segment, whose first record never reached the disk. No later record can have been
/// written to the segment. Reports damage instead if a later segment exists, or if the segment is the only
/// one and not the first of the log: an older segment is removed only after the first record of its
/// successor is synced.
fn remove_unstarted(
    disk: &mut impl Disk,
    number: u64,
    is_last: bool,
    segment_count: usize,
) -> Result<(), StorageError> {
    let name = segment::file_name(number);
    let is_first_ever = number == 1;
    if !is_last || (segment_count == 1 && !is_first_ever) {
        let path = disk.path(&name);
        return Err(StorageError::Corrupt { path, offset: 0, damage: Damage::Checksum });
    }
    disk.remove(&name)?;
    disk.sync_folder()
}

/// Removes segments, the oldest first, so that no crash leaves a gap in the numbers.
fn remove_obsolete(disk: &mut impl Disk, numbers: &[u64]) -> Result<(), StorageError> {
    for number in numbers {
        disk.remove(&segment::file_name(*number))?;
        disk.sync_folder()?;
    }
    Ok(())
}

/// Relation between the log and the snapshot.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SnapshotRelation {
    /// The log holds the last entry of the snapshot, and continues after it.
    LogContinues,
    /// The snapshot replaces the whole log: a crash occurred between the two steps
    /// of installing the snapshot.
    ReplacesLog,
}

/// Compares the log with the snapshot in the same folder.
pub(crate) fn compare_with_snapshot(
    disk: &impl Disk,
    recovered: &RecoveredLog,
    snapshot: Option<&Snapshot>,
) -> Result<SnapshotRelation, StorageError> {
    let index = snapshot.map_or(0, |snapshot| snapshot.index);
    let first = recovered.segments.first().map(|segment| segment::file_name(segment.number));
    match first {
        // The hard state is lost with the segments: without it the replica must not vote.
        None if index > 0 => return Err(missing_before(disk.path(&segment::file_name(1)))),
        Some(first) if recovered.base_index > index => {
            return Err(missing_before(disk.path(&first)));
        }
        _ => {}
    }
    let term = snapshot.map_or(Term(0), |snapshot| snapshot.term);
    if recovered.term_at(index) == Some(term) {
        Ok(SnapshotRelation::LogContinues)
    } else {
        Ok(SnapshotRelation::ReplacesLog)
    }
}
