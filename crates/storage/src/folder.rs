//! The data folder of a process and its lock.
//!
//! Owns the lock. Every disk of the folder keeps it locked, until the last of them is dropped.

use crate::disk::{Disk, FolderDisk, sync_path};
use crate::error::{Operation, StorageError};
use crate::lock::FolderLock;
use fs4::fs_std::FileExt;
use std::fs::{self, OpenOptions};
use std::path::PathBuf;

/// Name of the file that carries the lock.
const LOCK_FILE: &str = "LOCK";
/// Longest name of a file or folder below the data folder, in bytes. Chosen, not measured; file systems take 255,
/// and suffixes are added.
const NAME_LIMIT: usize = 100;

/// The data folder of one process, locked against others.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    lock: FolderLock,
}

impl DataFolder {
    /// Creates the folder where it does not exist and locks it.
    ///
    /// # Errors
    /// [`StorageError::InUse`] while another process or handle holds it,
    /// [`StorageError::Unwritable`] when it cannot be created or written.
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
        Ok(Self { path, lock: FolderLock::new(file) })
    }

    /// The files at the top of the folder.
    #[must_use]
    pub fn disk(&self) -> FolderDisk {
        FolderDisk::new(self.path.clone(), self.lock.clone())
    }

    /// The files of a folder below, which is created where it does not exist.
    ///
    /// # Errors
    /// [`StorageError::Name`] or [`StorageError::Io`].
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

/// Refuses names that could leave the folder or hide in it.
pub(crate) fn check_name(name: &str) -> Result<(), StorageError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let valid = !name.is_empty()
        && name.len() <= NAME_LIMIT
        && !name.starts_with('.')
        && name.chars().all(allowed);
    if valid { Ok(()) } else { Err(StorageError::Name { name: name.to_owned() }) }
}
