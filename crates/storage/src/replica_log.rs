//! The durable log of a control replica.
//!
//! Owns the segments, the snapshot's file and the end of the log. Relies on the core to write entries that follow
//! each other, and on the disk to keep what it has synced.

use crate::checked_file;
use crate::disk::{Disk, FolderDisk};
use crate::error::{Damage, StorageError};
use crate::folder::DataFolder;
use crate::record::{LogBase, Record, SegmentStart, decode_prefix, encode_record, encode_value};
use crate::recovery::{FORMAT_VERSION, Fit, Recovered, Segment, fit, replay_segments};
use crate::segment;
use corktack_core::consensus::{CellConfig, Entry, HardState, PersistedState, Snapshot};
use serde::{Deserialize, Serialize};

const SNAPSHOT_FILE: &str = "snapshot";
/// Entry bytes after which another record is begun. Chosen, not measured; a lower value syncs more often for one
/// batch, a higher one loses more of it to a crash.
const RECORD_TARGET_BYTES: usize = 1024 * 1024;

/// Settings of a [`ReplicaLog`].
#[derive(Clone, Copy, Debug)]
pub struct ReplicaLogSettings {
    /// Bytes of a segment after which the next one is begun.
    pub segment_bytes: u64,
}

impl Default for ReplicaLogSettings {
    fn default() -> Self {
        // Chosen, not measured: smaller segments make more files, larger ones keep void entries for longer.
        Self { segment_bytes: 8 * 1024 * 1024 }
    }
}

/// Durable store of a replica's log, see `corktack_core::consensus::Action`.
///
/// What a method wrote is durable when it returns. After an error the store
/// takes no more writes: what reached the disk is known only after it is opened anew.
pub trait LogStore {
    /// Performs `Action::Persist`: cuts the log so that it ends before the first
    /// of `entries`, appends them and keeps the hard state, where given.
    ///
    /// # Errors
    /// Any [`StorageError`].
    fn persist(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Performs `Action::InstallSnapshot`: keeps a snapshot of the leader in place of the whole log.
    ///
    /// # Errors
    /// Any [`StorageError`].
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;

    /// Keeps a snapshot of the replica's own state and drops what it covers;
    /// to be done before `Event::Compact` is handed to the replica.
    ///
    /// # Errors
    /// Any [`StorageError`].
    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError>;
}

/// What stands before the state's bytes in a snapshot file.
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
    /// Never empty; the last one is written to.
    segments: Vec<Segment>,
    hard_state: HardState,
    /// End of the log.
    last: LogBase,
    poisoned: bool,
}

impl ReplicaLog {
    /// Opens the log of a cell, in a folder of that name below the data folder.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when something written is damaged; a write that
    /// a crash cut short is no damage and is dropped.
    pub fn open(folder: &DataFolder, cell: &str) -> Result<(Self, PersistedState), StorageError> {
        Self::open_on(folder.subfolder(cell)?, ReplicaLogSettings::default())
    }
}

impl<D: Disk> ReplicaLog<D> {
    /// Opens the log in any folder.
    ///
    /// # Errors
    /// As [`ReplicaLog::open`].
    pub fn open_on(
        mut disk: D,
        settings: ReplicaLogSettings,
    ) -> Result<(Self, PersistedState), StorageError> {
        let recovered = replay_segments(&mut disk)?;
        let snapshot = read_snapshot(&disk)?;
        let fit = fit(&disk, &recovered, snapshot.as_ref())?;
        let base = snapshot.as_ref().map_or_else(LogBase::default, base_of);
        let mut log = Self {
            disk,
            settings,
            segments: recovered.segments.clone(),
            hard_state: recovered.hard_state,
            last: recovered.last(),
            poisoned: false,
        };
        let hard_state = log.hard_state;
        let entries = match fit {
            Fit::Continues => entries_after(recovered, base.index),
            Fit::Replaces => Vec::new(),
        };
        if fit == Fit::Replaces {
            log.restart_at(base)?;
        } else if log.segments.is_empty() {
            log.begin_segment(true)?;
        }
        Ok((log, PersistedState { hard_state, snapshot, entries }))
    }

    /// Runs a change; after a failed one the state on disk is not known any more.
    fn guarded(
        &mut self,
        change: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        let outcome = change(self);
        // Other errors come before anything is written.
        self.poisoned = matches!(outcome, Err(StorageError::Io { .. }));
        outcome
    }

    fn current(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    /// Begins the next segment at the end of the log. Its name is synced before
    /// anything is written to it after the first record.
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
        self.segments.push(Segment { number, highest: 0, length: bytes.len() as u64 });
        Ok(())
    }

    /// Makes the log empty and continue after `base`.
    fn restart_at(&mut self, base: LogBase) -> Result<(), StorageError> {
        self.last = base;
        self.begin_segment(true)?;
        self.drop_segments(|_| true)
    }

    /// Removes segments from the oldest on while `droppable`, never the current one.
    ///
    /// Each removal is synced before the next, so that no crash leaves a gap.
    fn drop_segments(&mut self, droppable: impl Fn(&Segment) -> bool) -> Result<(), StorageError> {
        while self.segments.len() > 1 && droppable(&self.segments[0]) {
            let oldest = self.segments.remove(0);
            self.disk.remove(&segment::file_name(oldest.number))?;
            self.disk.sync_folder()?;
        }
        Ok(())
    }

    /// Writes and syncs one record.
    fn write_record(&mut self, record: &Record) -> Result<(), StorageError> {
        let Segment { number, length, .. } = self.current();
        let mut bytes = Vec::new();
        encode_record(record, number, length, &mut bytes)?;
        let name = segment::file_name(number);
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        if let Some(current) = self.segments.last_mut() {
            current.length += bytes.len() as u64;
            current.highest = current.highest.max(record.highest_index());
        }
        Ok(())
    }

    fn append(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        if self.current().length >= self.settings.segment_bytes {
            self.begin_segment(false)?;
        }
        // The hard state goes with the first entries: entries of a term without
        // it would let the replica vote a second time in that term.
        let mut runs = split(entries);
        let first = runs.next().unwrap_or_default().to_vec();
        self.write_record(&Record::Append { hard_state, entries: first })?;
        self.hard_state = hard_state.unwrap_or(self.hard_state);
        for run in runs {
            self.write_record(&Record::Append { hard_state: None, entries: run.to_vec() })?;
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
        self.guarded(|log| log.append(hard_state, entries))
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.guarded(|log| {
            // The snapshot comes first: a crash before the second step is seen at
            // the next start, because the log does not hold the snapshot's end.
            write_snapshot(&mut log.disk, snapshot)?;
            log.restart_at(base_of(snapshot))
        })
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.guarded(|log| {
            write_snapshot(&mut log.disk, snapshot)?;
            if log.current().highest > 0 {
                log.begin_segment(false)?;
            }
            // An older segment is void once a snapshot covers all it ever held.
            log.drop_segments(|segment| segment.highest <= snapshot.index)
        })
    }
}

fn base_of(snapshot: &Snapshot) -> LogBase {
    LogBase { index: snapshot.index, term: snapshot.term }
}

fn entries_after(recovered: Recovered, index: u64) -> Vec<Entry> {
    recovered.entries.into_iter().filter(|entry| entry.index > index).collect()
}

fn payload_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        corktack_core::consensus::Payload::Command(command) => command.len(),
        _ => 0,
    }
}

/// Splits entries into runs for one record each.
fn split(entries: &[Entry]) -> impl Iterator<Item = &[Entry]> {
    let mut bytes = 0;
    entries.chunk_by(move |_, next| {
        bytes += payload_bytes(next);
        let same = bytes < RECORD_TARGET_BYTES;
        if !same {
            bytes = 0;
        }
        same
    })
}

fn write_snapshot(disk: &mut impl Disk, snapshot: &Snapshot) -> Result<(), StorageError> {
    let base = base_of(snapshot);
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
