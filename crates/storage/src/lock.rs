//! The lock of a data folder.

use std::fs::File;
use std::sync::Arc;

/// Keeps the data folder locked; the system drops the lock when the process ends.
#[derive(Clone, Debug)]
pub(crate) struct FolderLock {
    _file: Arc<File>,
}

impl FolderLock {
    /// Of a file that is locked already.
    pub(crate) fn new(locked: File) -> Self {
        Self { _file: Arc::new(locked) }
    }
}
