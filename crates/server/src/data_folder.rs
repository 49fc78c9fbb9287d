//! The data folder of a process: made when absent, held by one process, checked for writing.

use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};

/// Name of the file whose lock tells that the folder is in use.
const LOCK_FILE: &str = "process.lock";

/// Why a data folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DataFolderError {
    /// Another process holds it.
    #[error("data_folder = {}: is in use by another process", folder.display())]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
    /// It cannot be made or written.
    #[error("data_folder = {}: cannot be written", folder.display())]
    Unwritable {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: std::io::Error,
    },
}

/// A data folder held by this process until the value is dropped or the process ends.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Makes the folder where it is absent, and holds it.
    ///
    /// # Errors
    /// [`DataFolderError`] names the folder.
    pub fn open(path: &Path) -> Result<Self, DataFolderError> {
        let unwritable = |source| DataFolderError::Unwritable { folder: path.to_owned(), source };
        std::fs::create_dir_all(path).map_err(unwritable)?;
        let lock = File::create(path.join(LOCK_FILE)).map_err(unwritable)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                Err(DataFolderError::InUse { folder: path.to_owned() })
            }
            Err(TryLockError::Error(source)) => Err(unwritable(source)),
        }
    }

    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}
