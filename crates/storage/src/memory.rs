//! A folder in memory that loses unsynced bytes at a crash, for tests and simulations.
//!
//! For each file the folder keeps the current content and the content that would remain after a crash.
//! The folder can refuse changes, as a full disk does: a refused write leaves the first half of its bytes,
//! and the bytes that a refused sync should have covered are still read, but never reach the disk.

use crate::disk::Disk;
use crate::error::{Operation, StorageError};
use crate::replica_log::ReplicaLog;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A replica's log on a [`MemoryDisk`].
pub type MemoryLog = ReplicaLog<MemoryDisk>;

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    content: Vec<u8>,
    durable: Vec<u8>,
    /// The bytes of `content` that a failed sync has dropped: later syncs do not write them.
    dropped: Option<Range<usize>>,
}

impl MemoryFile {
    /// Drops the bytes that are not durable yet.
    fn fail_sync(&mut self) {
        let kept =
            self.content.iter().zip(&self.durable).take_while(|(now, old)| now == old).count();
        let start = self.dropped.as_ref().map_or(kept, |dropped| dropped.start.min(kept));
        self.dropped = Some(start..self.content.len());
    }

    fn truncate(&mut self, length: usize) {
        self.content.truncate(length);
        self.dropped = self.dropped.take().filter(|dropped| dropped.start < length);
        if let Some(dropped) = &mut self.dropped {
            dropped.end = dropped.end.min(length);
        }
    }

    fn sync(&mut self) {
        match (self.content.strip_prefix(&*self.durable), &self.dropped) {
            (Some(tail), None) => self.durable.extend_from_slice(tail),
            (_, dropped) => {
                self.durable = self.content.clone();
                if let Some(dropped) = dropped {
                    self.durable[dropped.clone()].fill(0);
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct MemoryFolder {
    files: BTreeMap<u64, MemoryFile>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    next_file: u64,
    /// Number of changes that still succeed; afterwards each change fails. `None` means no limit.
    operations_left: Option<u64>,
}

impl MemoryFolder {
    fn file(&mut self, name: &str) -> &mut MemoryFile {
        let number = *self.names.entry(name.to_owned()).or_insert_with(|| {
            self.next_file += 1;
            self.next_file
        });
        self.files.entry(number).or_default()
    }

    fn count_operation(&mut self, operation: Operation, name: &str) -> Result<(), StorageError> {
        match &mut self.operations_left {
            Some(0) => Err(StorageError::Io {
                operation,
                path: PathBuf::from(name),
                source: std::io::ErrorKind::StorageFull.into(),
            }),
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

/// A [`Disk`] in memory. All clones share one folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    folder: Arc<Mutex<MemoryFolder>>,
}

impl MemoryDisk {
    /// Returns a disk with an empty folder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn folder(&self) -> MutexGuard<'_, MemoryFolder> {
        // Every operation leaves the folder consistent, also when the operation panics.
        self.folder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Simulates a crash, which loses unsynced changes. Of each file's unsynced tail of `n` bytes the
    /// first `kept_bytes(n)` stay; unsynced changes of names and unsynced truncations are undone.
    pub fn crash(&self, mut kept_bytes: impl FnMut(usize) -> usize) {
        let mut folder = self.folder();
        folder.names = folder.durable_names.clone();
        folder.operations_left = None;
        let live_files: Vec<u64> = folder.names.values().copied().collect();
        folder.files.retain(|number, _| live_files.contains(number));
        for file in folder.files.values_mut() {
            let tail = file.content.strip_prefix(&*file.durable).unwrap_or_default();
            let kept_length = kept_bytes(tail.len()).min(tail.len());
            file.durable = [&*file.durable, &tail[..kept_length]].concat();
            file.content = file.durable.clone();
            file.dropped = None;
        }
    }

    /// Lets the next `operations` changes succeed and every later change fail, until the next crash or call
    /// of [`MemoryDisk::accept_changes`].
    pub fn fail_after(&self, operations: u64) {
        self.folder().operations_left = Some(operations);
    }

    /// Lets all changes succeed again.
    pub fn accept_changes(&self) {
        self.folder().operations_left = None;
    }

    /// Returns the total size of all files, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let folder = self.folder();
        folder.names.values().map(|number| folder.files[number].content.len()).sum()
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        Ok(self.folder().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let folder = self.folder();
        let number = folder.names.get(name);
        Ok(number.map(|number| folder.files[number].content.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let mut folder = self.folder();
        let counted = folder.count_operation(Operation::Write, name);
        let written = if counted.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        folder.file(name).content.extend_from_slice(written);
        counted
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), StorageError> {
        let mut folder = self.folder();
        folder.count_operation(Operation::Truncate, name)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        folder.file(name).truncate(length);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        let mut folder = self.folder();
        let counted = folder.count_operation(Operation::Sync, name);
        let file = folder.file(name);
        match counted {
            Ok(()) => file.sync(),
            Err(_) => file.fail_sync(),
        }
        counted
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError> {
        let mut folder = self.folder();
        folder.count_operation(Operation::Rename, from)?;
        if let Some(number) = folder.names.remove(from) {
            folder.names.insert(to.to_owned(), number);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        let mut folder = self.folder();
        folder.count_operation(Operation::Remove, name)?;
        folder.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), StorageError> {
        let mut folder = self.folder();
        folder.count_operation(Operation::Sync, "")?;
        folder.durable_names = folder.names.clone();
        Ok(())
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(name)
    }
}
