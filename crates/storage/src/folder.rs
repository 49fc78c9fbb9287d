//! The data folder of a process and its lock.
//!
//! Every disk of the folder shares the lock, so the folder stays locked until the last of them is dropped.

use crate::disk::{Disk, FolderDisk, sync_path};
use crate::error::{Operation, StorageError};
use crate::lock::FolderLock;
use fs4::fs_std::FileExt;
use std::fs::{self, OpenOptions};
use std::path::PathBuf;

/// Name of the file on which the lock is held.
const LOCK_FILE: &str = "LOCK";
/// Longest name of a file or folder below the data folder, in bytes. File systems allow 255 bytes, and some
/// names get a suffix.
const MAX_NAME_BYTES: usize = 100;

/// The data folder of one process, locked against other processes.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    lock: FolderLock,
}

impl DataFolder {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    /// [`StorageError::InUse`] while another process or handle holds the lock,
    /// [`StorageError::Unwritable`] when the folder cannot be created or written.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self, StorageError> {
        let path = path.into();
        let unwritable = |source| StorageError::Unwritable { path: path.clone(), source };
        fs::create_dir_all(&path).map_err(unwritable)?;
        let mut options = OpenOptions::new();
        let options = options.create(true).truncate(false).write(true);
        let file = options.open(path.join(LOCK_FILE)).map_err(unwritable)?;
        if !FileExt::try_lock_exclusive(&file).map_err(unwritable)? {
            return Err(StorageError::InUse { path });
        }
        sync_path(&path)?;
        let lock = FolderLock::new(path.clone(), file);
        Ok(Self { path, lock })
    }

    /// Returns a disk for the files at the top level of the data folder.
    #[must_use]
    pub fn disk(&self) -> FolderDisk {
        FolderDisk::new(self.path.clone(), self.lock.clone())
    }

    /// Returns a disk for the files of a subfolder, which is created if it does not exist.
    ///
    /// # Errors
    /// [`StorageError::Name`] when the name is invalid, [`StorageError::Io`] when the subfolder cannot be
    /// created or synced.
    pub fn subfolder(&self, name: &str) -> Result<FolderDisk, StorageError> {
        check_name(name)?;
        let path = self.path.join(name);
        let created = fs::create_dir_all(&path);
        created.map_err(|source| StorageError::Io {
            operation: Operation::Create,
            path: path.clone(),
            source,
        })?;
        self.disk().sync_folder()?;
        Ok(FolderDisk::new(path, self.lock.clone()))
    }
}

/// Refuses names that could refer to a file outside the folder or to a hidden file.
pub(crate) fn check_name(name: &str) -> Result<(), StorageError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && !name.starts_with('.')
        && name.chars().all(allowed);
    if valid { Ok(()) } else { Err(StorageError::Name { name: name.to_owned() }) }
}
