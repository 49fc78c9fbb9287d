//! What a log holds when it is opened: segments replayed, a torn tail cut.
//!
//! Owns the order in which segments are replayed, and decides what is damage and what a crash left. Relies on
//! the segments' records for their own checksums.

use crate::disk::Disk;
use crate::error::{Damage, StorageError};
use crate::record::{LogBase, Record, SegmentStart};
use crate::segment::{self, Content};
use corktack_core::consensus::{Entry, HardState, Snapshot};
use corktack_core::position::Term;
use std::path::PathBuf;

/// Version of the format of segments.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// A segment on disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    /// Highest index ever written to it.
    pub(crate) highest: u64,
    pub(crate) length: u64,
}

/// The log as the segments tell it.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    pub(crate) segments: Vec<Segment>,
    pub(crate) hard_state: HardState,
    /// The entry before the first of `entries`. Its term is not known once the
    /// log was cut below the place where the segments begin.
    base_index: u64,
    base_term: Option<Term>,
    /// Whether segments before the first one were removed by a compaction.
    compacted: bool,
    pub(crate) entries: Vec<Entry>,
}

impl Recovered {
    pub(crate) fn last(&self) -> LogBase {
        let base = LogBase { index: self.base_index, term: self.base_term.unwrap_or_default() };
        let last = self.entries.last();
        last.map_or(base, |entry| LogBase { index: entry.index, term: entry.term })
    }

    /// Term of the entry at `index`, where the log holds it.
    pub(crate) fn term_at(&self, index: u64) -> Option<Term> {
        if index == self.base_index {
            return self.base_term;
        }
        let place = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(place).ok()?).map(|entry| entry.term)
    }

    /// Cuts the log so that it ends before `index`; none when it does not reach there.
    fn cut_before(&mut self, index: u64) -> Option<()> {
        if index <= self.base_index && index > 0 && self.compacted {
            // An entry of a removed segment was replaced later. What was replaced
            // and what replaced it is covered by the snapshot that removed it.
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

    fn start(&mut self, start: &SegmentStart) -> Result<(), Damage> {
        if start.version != FORMAT_VERSION {
            return Err(Damage::Version(start.version));
        }
        let first = self.segments.is_empty();
        if first || start.reset {
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

    fn append(&mut self, entries: Vec<Entry>) -> Result<(), Damage> {
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

    fn replay(&mut self, record: Record, is_first: bool) -> Result<(), Damage> {
        match record {
            Record::Start(start) if is_first => self.start(&start),
            Record::Start(_) => Err(Damage::OutOfPlace),
            _ if is_first => Err(Damage::OutOfPlace),
            Record::Append { hard_state, entries } => {
                self.hard_state = hard_state.unwrap_or(self.hard_state);
                self.append(entries)
            }
        }
    }

    fn replay_segment(
        &mut self,
        path: &std::path::Path,
        number: u64,
        content: Content,
    ) -> Result<(), StorageError> {
        let mut highest = 0;
        for (offset, record) in content.records {
            highest = highest.max(record.highest_index());
            self.replay(record, offset == 0).map_err(|damage| StorageError::Corrupt {
                path: path.to_path_buf(),
                offset,
                damage,
            })?;
        }
        self.segments.push(Segment { number, highest, length: content.length });
        Ok(())
    }
}

/// Numbers of the segments in a folder, in order and without a gap.
fn segment_numbers(disk: &impl Disk) -> Result<Vec<u64>, StorageError> {
    let names = disk.list()?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| segment::number_of(name)).collect();
    numbers.sort_unstable();
    if let Some(pair) = numbers.windows(2).find(|pair| pair[1] != pair[0] + 1) {
        return Err(missing_before(disk.path(&segment::file_name(pair[1]))));
    }
    Ok(numbers)
}

fn missing_before(path: PathBuf) -> StorageError {
    StorageError::Corrupt { path, offset: 0, damage: Damage::MissingFile }
}

/// Replays the segments and cuts what a crash left at the end of the last.
pub(crate) fn replay_segments(disk: &mut impl Disk) -> Result<Recovered, StorageError> {
    let numbers = segment_numbers(disk)?;
    let mut valid = Vec::new();
    let mut void = numbers.clone();
    // From the newest back to the last one that made the log empty: those before
    // it are void, and a crash may have left only some of them.
    while let Some(number) = void.pop() {
        let is_last = numbers.last() == Some(&number);
        let content = read_segment(disk, number, is_last)?;
        if content.length == 0 {
            drop_unstarted(disk, number, is_last, numbers.len())?;
            continue;
        }
        let resets = content.resets();
        valid.push((number, content));
        if resets {
            break;
        }
    }
    drop_void(disk, &void)?;
    let mut recovered = Recovered { base_term: Some(Term(0)), ..Recovered::default() };
    for (number, content) in valid.into_iter().rev() {
        let path = disk.path(&segment::file_name(number));
        recovered.replay_segment(&path, number, content)?;
    }
    Ok(recovered)
}

/// Reads a segment; of the last one a torn record is cut.
fn read_segment(disk: &mut impl Disk, number: u64, is_last: bool) -> Result<Content, StorageError> {
    let name = segment::file_name(number);
    let bytes = disk.read(&name)?.unwrap_or_default();
    let content = segment::parse(&disk.path(&name), number, &bytes, is_last)?;
    if is_last && content.length > 0 {
        settle_end(disk, &name, &content)?;
    }
    Ok(content)
}

/// Removes a segment whose first record never reached the disk. Nothing can have
/// been written to it, and an older one is removed only after the first record
/// of its successor is synced.
fn drop_unstarted(
    disk: &mut impl Disk,
    number: u64,
    is_last: bool,
    segments: usize,
) -> Result<(), StorageError> {
    let name = segment::file_name(number);
    let first_ever = number == 1;
    if !is_last || (segments == 1 && !first_ever) {
        let path = disk.path(&name);
        return Err(StorageError::Corrupt { path, offset: 0, damage: Damage::Checksum });
    }
    disk.remove(&name)?;
    disk.sync_folder()
}

/// Removes segments, the oldest first, so that no crash leaves a gap.
fn drop_void(disk: &mut impl Disk, numbers: &[u64]) -> Result<(), StorageError> {
    for number in numbers {
        disk.remove(&segment::file_name(*number))?;
        disk.sync_folder()?;
    }
    Ok(())
}

/// Cuts a torn record. What is left is synced even if nothing was cut: the
/// process may have ended between a write and its sync, and what a replica
/// reads at its start must not be lost later.
fn settle_end(disk: &mut impl Disk, name: &str, content: &Content) -> Result<(), StorageError> {
    if content.torn {
        log::warn!(file = name, length = content.length; "cut a torn record at the end of the log");
        disk.truncate(name, content.length)?;
    }
    disk.sync(name)?;
    disk.sync_folder()
}

/// How the log and the snapshot fit together.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Fit {
    /// The log goes on where the snapshot ends.
    Continues,
    /// The snapshot replaces the whole log: a crash came between the two steps
    /// of installing it.
    Replaces,
}

/// Compares the log with the snapshot found beside it.
pub(crate) fn fit(
    disk: &impl Disk,
    recovered: &Recovered,
    snapshot: Option<&Snapshot>,
) -> Result<Fit, StorageError> {
    let index = snapshot.map_or(0, |snapshot| snapshot.index);
    let first = recovered.segments.first().map(|segment| segment::file_name(segment.number));
    match first {
        // The hard state went with the segments: such a replica must not vote.
        None if index > 0 => return Err(missing_before(disk.path(&segment::file_name(1)))),
        Some(first) if recovered.base_index > index => {
            return Err(missing_before(disk.path(&first)));
        }
        _ => {}
    }
    let term = snapshot.map_or(Term(0), |snapshot| snapshot.term);
    if recovered.term_at(index) == Some(term) { Ok(Fit::Continues) } else { Ok(Fit::Replaces) }
}
