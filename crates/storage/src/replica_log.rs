//! The durable log of a control replica.
//!
//! A [`ReplicaLog`] consists of the segments, the snapshot file and the end of the log. It relies on the
//! core to write consecutive entries, and on the disk to keep what was synced.

use crate::checked_file;
use crate::disk::{Disk, FolderDisk};
use crate::error::{Damage, StorageError};
use crate::folder::DataFolder;
use crate::record::{LogBase, Record, SegmentStart, decode_prefix, encode_record, encode_value};
use crate::recovery::{
    FORMAT_VERSION, RecoveredLog, Segment, SnapshotRelation, compare_with_snapshot, replay_segments,
};
use crate::segment;
use corktack_core::consensus::{CellConfig, Entry, HardState, PersistedState, Snapshot};
use serde::{Deserialize, Serialize};

const SNAPSHOT_FILE: &str = "snapshot";
/// Size of the entries in a record, in bytes, at which the next entry begins another record. A lower value
/// syncs more often for one batch of entries; a higher one loses more of a batch to a crash.
const RECORD_TARGET_BYTES: usize = 1024 * 1024;

/// Settings of a [`ReplicaLog`].
#[derive(Clone, Copy, Debug)]
pub struct ReplicaLogSettings {
    /// Size of a segment, in bytes, at which the next segment is begun.
    pub segment_bytes: u64,
}

impl Default for ReplicaLogSettings {
    fn default() -> Self {
        // Smaller segments make more files; larger ones keep obsolete entries for longer.
        Self { segment_bytes: 8 * 1024 * 1024 }
    }
}

/// Durable store of a replica's log, see `corktack_core::consensus::Action`.
///
/// Each change is durable when the method that wrote it returns. After a failed write the store
/// refuses all further ones until it is opened again: which bytes reached the disk is unknown.
pub trait LogStore {
    /// Performs `Action::Persist`: cuts the log so that it ends before the first
    /// of `entries`, appends the entries and stores the hard state, if given.
    ///
    /// # Errors
    /// Any [`StorageError`].
    fn persist(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Performs `Action::InstallSnapshot`: replaces the whole log by a snapshot of the leader.
    ///
    /// # Errors
    /// Any [`StorageError`].
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Stores a snapshot of the replica's own state and removes the entries that the snapshot covers.
    /// The caller must do this before it passes `Event::Compact` to the replica.
    ///
    /// # Errors
    /// Any [`StorageError`].
    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;
}

/// Header of a snapshot file, which precedes the bytes of the state.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHeader {
    version: u32,
    base: LogBase,
    cell: CellConfig,
}

/// The durable log of a control replica: segments of records and one snapshot.
#[derive(Debug)]
pub struct ReplicaLog<D: Disk = FolderDisk> {
    disk: D,
    settings: ReplicaLogSettings,
    /// The segments from the oldest on; never empty once the log is open. Records are written to the last
    /// one.
    segments: Vec<Segment>,
    hard_state: HardState,
    /// End of the log: its last entry, or the entry after which an empty log continues.
    last: LogBase,
    poisoned: bool,
}

impl ReplicaLog {
    /// Opens the log of a cell, in the subfolder of that name in the data folder.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when synced data is damaged. A write that
    /// a crash interrupted is not damage; its bytes are dropped.
    pub fn open(folder: &DataFolder, cell: &str) -> Result<(Self, PersistedState), StorageError> {
        Self::open_on(folder.subfolder(cell)?, ReplicaLogSettings::default())
    }
}

impl<D: Disk> ReplicaLog<D> {
    /// Opens the log on any disk.
    ///
    /// # Errors
    /// Same as for [`ReplicaLog::open`].
    pub fn open_on(
        disk: D,
        settings: ReplicaLogSettings,
    ) -> Result<(Self, PersistedState), StorageError> {
        let mut log = Self {
            disk,
            settings,
            segments: Vec::new(),
            hard_state: HardState::default(),
            last: LogBase::default(),
            poisoned: false,
        };
        let persisted = log.load()?;
        Ok((log, persisted))
    }

    /// Opens the log again after a failed write, and returns what it holds. The log accepts writes then.
    ///
    /// Bytes that were not synced are removed first and never count as written, although the operating
    /// system may still return them: after a failed sync it may have dropped them without writing them.
    ///
    /// # Errors
    /// Same as for [`ReplicaLog::open`]. After [`StorageError::Io`], the call may be repeated.
    pub fn reopen(&mut self) -> Result<PersistedState, StorageError> {
        self.poisoned = true;
        self.remove_unsynced()?;
        let persisted = self.load()?;
        self.poisoned = false;
        Ok(persisted)
    }

    /// Truncates the current segment to its synced length, and removes a segment that was not begun
    /// completely.
    fn remove_unsynced(&mut self) -> Result<(), StorageError> {
        let Some(current) = self.segments.last().copied() else { return Ok(()) };
        for number in segment::numbers(&self.disk)? {
            if number > current.number {
                self.disk.remove(&segment::file_name(number))?;
            }
        }
        self.disk.sync_folder()?;
        let name = segment::file_name(current.number);
        self.disk.truncate(&name, current.length)?;
        self.disk.sync(&name)
    }

    /// Reads the segments and the snapshot, and begins a segment if there is none to continue.
    fn load(&mut self) -> Result<PersistedState, StorageError> {
        let recovered = replay_segments(&mut self.disk)?;
        let snapshot = read_snapshot(&self.disk)?;
        let relation = compare_with_snapshot(&self.disk, &recovered, snapshot.as_ref())?;
        let base = snapshot.as_ref().map_or_else(LogBase::default, snapshot_base);
        self.segments.clone_from(&recovered.segments);
        self.hard_state = recovered.hard_state;
        self.last = recovered.last();
        let hard_state = self.hard_state;
        let entries = match relation {
            SnapshotRelation::LogContinues => entries_after(recovered, base.index),
            SnapshotRelation::ReplacesLog => Vec::new(),
        };
        if relation == SnapshotRelation::ReplacesLog {
            self.restart_at(base)?;
        } else if self.segments.is_empty() {
            self.begin_segment(true)?;
        }
        Ok(PersistedState { hard_state, snapshot, entries })
    }

    /// Applies a change, unless an earlier one failed: the state on disk is unknown after a failed change.
    fn apply_change(
        &mut self,
        change: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        let outcome = change(self);
        // All other errors occur before anything is written.
        self.poisoned = matches!(outcome, Err(StorageError::Io { .. }));
        outcome
    }

    fn current_segment(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    /// Begins the next segment at the end of the log. The name of the segment is synced before
    /// any record after the first one is written.
    fn begin_segment(&mut self, reset: bool) -> Result<(), StorageError> {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        let name = segment::file_name(number);
        let start = SegmentStart {
            version: FORMAT_VERSION,
            hard_state: self.hard_state,
            base: self.last,
            reset,
        };
        let mut bytes = Vec::new();
        encode_record(&Record::Start(start), number, 0, &mut bytes)?;
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        self.disk.sync_folder()?;
        self.segments.push(Segment { number, highest_index: 0, length: bytes.len() as u64 });
        Ok(())
    }

    /// Empties the log; the next entry follows `base`.
    fn restart_at(&mut self, base: LogBase) -> Result<(), StorageError> {
        self.last = base;
        self.begin_segment(true)?;
        self.remove_segments_while(|_| true)
    }

    /// Removes segments from the oldest on while `is_removable` holds, but never the current segment.
    ///
    /// Each removal is synced before the next, so that no crash leaves a gap in the numbers.
    fn remove_segments_while(
        &mut self,
        is_removable: impl Fn(&Segment) -> bool,
    ) -> Result<(), StorageError> {
        while self.segments.len() > 1 && is_removable(&self.segments[0]) {
            let oldest = self.segments.remove(0);
            self.disk.remove(&segment::file_name(oldest.number))?;
            self.disk.sync_folder()?;
        }
        Ok(())
    }

    /// Writes and syncs one record in the current segment.
    fn write_record(&mut self, record: &Record) -> Result<(), StorageError> {
        let Segment { number, length, .. } = self.current_segment();
        let mut bytes = Vec::new();
        encode_record(record, number, length, &mut bytes)?;
        let name = segment::file_name(number);
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        if let Some(current) = self.segments.last_mut() {
            current.length += bytes.len() as u64;
            current.highest_index = current.highest_index.max(record.highest_index());
        }
        Ok(())
    }

    fn append(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        if self.current_segment().length >= self.settings.segment_bytes {
            self.begin_segment(false)?;
        }
        // The hard state is written in the same record as the first entries: if a crash kept entries
        // of a term without its hard state, the replica could vote a second time in that term.
        let mut batches = split_into_records(entries);
        let first = batches.next().unwrap_or_default().to_vec();
        self.write_record(&Record::Append { hard_state, entries: first })?;
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        for batch in batches {
            self.write_record(&Record::Append { hard_state: None, entries: batch.to_vec() })?;
        }
        if let Some(entry) = entries.last() {
            self.last = LogBase { index: entry.index, term: entry.term };
        }
        Ok(())
    }
}

impl<D: Disk> LogStore for ReplicaLog<D> {
    fn persist(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let last = self.last.index;
        if let Some(first) = entries.first().filter(|first| first.index > last + 1) {
            return Err(StorageError::NotConsecutive { first: first.index, last });
        }
        if hard_state.is_none() && entries.is_empty() {
            return Ok(());
        }
        self.apply_change(|log| log.append(hard_state, entries))
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.apply_change(|log| {
            // The snapshot is written first: the next start detects a crash before the second step,
            // because the log does not hold the last entry of the snapshot.
            write_snapshot(&mut log.disk, snapshot)?;
            log.restart_at(snapshot_base(snapshot))
        })
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.apply_change(|log| {
            write_snapshot(&mut log.disk, snapshot)?;
            if log.current_segment().highest_index > 0 {
                log.begin_segment(false)?;
            }
            // An older segment is obsolete once a snapshot covers all entries ever written to the segment.
            log.remove_segments_while(|segment| segment.highest_index <= snapshot.index)
        })
    }
}

fn snapshot_base(snapshot: &Snapshot) -> LogBase {
    LogBase { index: snapshot.index, term: snapshot.term }
}

fn entries_after(recovered: RecoveredLog, index: u64) -> Vec<Entry> {
    recovered.entries.into_iter().filter(|entry| entry.index > index).collect()
}

fn payload_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        corktack_core::consensus::Payload::Command(command) => command.len(),
        _ => 0,
    }
}

/// Splits entries into batches, each for one record.
fn split_into_records(entries: &[Entry]) -> impl Iterator<Item = &[Entry]> {
    let mut bytes = 0;
    entries.chunk_by(move |_, following| {
        bytes += payload_bytes(following);
        let fits = bytes < RECORD_TARGET_BYTES;
        if !fits {
            bytes = 0;
        }
        fits
    })
}

fn write_snapshot(disk: &mut impl Disk, snapshot: &Snapshot) -> Result<(), StorageError> {
    let base = snapshot_base(snapshot);
    let header = SnapshotHeader { version: FORMAT_VERSION, base, cell: snapshot.cell.clone() };
    let mut bytes = encode_value(&header)?;
    bytes.extend_from_slice(&snapshot.data);
    checked_file::replace(disk, SNAPSHOT_FILE, &bytes)
}

fn read_snapshot(disk: &impl Disk) -> Result<Option<Snapshot>, StorageError> {
    let Some(mut bytes) = checked_file::read(disk, SNAPSHOT_FILE)? else { return Ok(None) };
    let path = disk.path(SNAPSHOT_FILE);
    let corrupt = |damage| StorageError::Corrupt { path: path.clone(), offset: 0, damage };
    let decoded = decode_prefix::<SnapshotHeader>(&bytes);
    let (header, used) = decoded.ok_or_else(|| corrupt(Damage::Undecodable))?;
    if header.version != FORMAT_VERSION {
        return Err(corrupt(Damage::Version(header.version)));
    }
    let data = bytes.split_off(used);
    let LogBase { index, term } = header.base;
    Ok(Some(Snapshot { index, term, cell: header.cell, data }))
}
