//! The lock of a data folder, shared by all disks of the folder.

use std::fs::File;
use std::sync::Arc;

/// Keeps the data folder locked until the last clone is dropped; the operating system releases the lock
/// when the process ends.
#[derive(Clone, Debug)]
pub(crate) struct FolderLock {
    _file: Arc<File>,
}

impl FolderLock {
    /// Takes over a file that is already locked.
    pub(crate) fn new(locked_file: File) -> Self {
        Self { _file: Arc::new(locked_file) }
    }
}
