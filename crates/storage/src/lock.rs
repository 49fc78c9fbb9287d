//! The lock of a data folder, shared by all disks of the folder.

use std::fs::File;
use std::path::PathBuf;
use std::sync::Arc;

/// Keeps the data folder locked until the last clone is dropped; the operating system releases the lock
/// when the process ends.
#[derive(Clone, Debug)]
pub(crate) struct FolderLock {
    _locked: Arc<LockedFile>,
}

#[derive(Debug)]
struct LockedFile {
    folder: PathBuf,
    _file: File,
}

impl FolderLock {
    /// Takes over a file of `folder` that is already locked.
    pub(crate) fn new(folder: PathBuf, locked_file: File) -> Self {
        log::info!(folder:% = folder.display(); "data folder locked");
        Self { _locked: Arc::new(LockedFile { folder, _file: locked_file }) }
    }
}

impl Drop for LockedFile {
    fn drop(&mut self) {
        log::info!(folder:% = self.folder.display(); "data folder unlocked");
    }
}
