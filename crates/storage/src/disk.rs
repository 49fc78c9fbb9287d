//! One flat folder of files, as the log and the small files need it.
//!
//! Owns the open file that was appended to last. What is not synced may be lost at a crash.

use crate::error::{Operation, StorageError};
use crate::lock::FolderLock;
use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// One flat folder of files.
///
/// Nothing survives a crash before it is synced: content by
/// [`sync`](Self::sync), names by [`sync_folder`](Self::sync_folder).
pub trait Disk {
    /// Names of all files.
    ///
    /// # Errors
    /// [`StorageError::Io`], as from every method here.
    fn list(&self) -> Result<Vec<String>, StorageError>;

    /// Content of a file, none when it does not exist.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError>;

    /// Appends to a file, which is created where it does not exist.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Cuts a file.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn truncate(&mut self, name: &str, length: u64) -> Result<(), StorageError>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn sync(&mut self, name: &str) -> Result<(), StorageError>;

    /// Renames a file over another one.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError>;

    /// Removes a file, if it exists.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn remove(&mut self, name: &str) -> Result<(), StorageError>;

    /// Makes names, renames and removals durable.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn sync_folder(&mut self) -> Result<(), StorageError>;

    /// Path of a file, for messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// A real folder below a locked [`DataFolder`](crate::DataFolder).
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    /// The file appended to last stays open.
    appending: Option<(String, File)>,
    /// The data folder stays locked while one of its files may be written.
    _lock: FolderLock,
}

impl FolderDisk {
    pub(crate) fn new(folder: PathBuf, lock: FolderLock) -> Self {
        Self { folder, appending: None, _lock: lock }
    }

    fn failed(&self, operation: Operation, name: &str, source: std::io::Error) -> StorageError {
        StorageError::Io { operation, path: self.folder.join(name), source }
    }

    fn appender(&mut self, name: &str) -> Result<&mut File, StorageError> {
        let open = self.appending.take().filter(|(open, _)| open == name);
        let (name, file) = match open {
            Some(open) => open,
            None => {
                let path = self.folder.join(name);
                let file = OpenOptions::new().create(true).append(true).open(path);
                let file = file.map_err(|error| self.failed(Operation::Create, name, error))?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.appending.insert((name, file)).1)
    }
}

/// Syncs a folder.
pub(crate) fn sync_path(path: &Path) -> Result<(), StorageError> {
    let synced = File::open(path).and_then(|folder| folder.sync_all());
    let path = path.to_path_buf();
    synced.map_err(|source| StorageError::Io { operation: Operation::Sync, path, source })
}

impl Disk for FolderDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        let failed = |error| self.failed(Operation::List, "", error);
        let mut names = Vec::new();
        for file in fs::read_dir(&self.folder).map_err(failed)? {
            if let Ok(name) = file.map_err(failed)?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        match fs::read(self.folder.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(self.failed(Operation::Read, name, error)),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let written = self.appender(name)?.write_all(bytes);
        written.map_err(|error| self.failed(Operation::Write, name, error))
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), StorageError> {
        let cut = self.appender(name)?.set_len(length);
        cut.map_err(|error| self.failed(Operation::Truncate, name, error))
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        let synced = self.appender(name)?.sync_data();
        synced.map_err(|error| self.failed(Operation::Sync, name, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError> {
        self.appending = None;
        let renamed = fs::rename(self.folder.join(from), self.folder.join(to));
        renamed.map_err(|error| self.failed(Operation::Rename, from, error))
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.appending.take_if(|(open, _)| open == name);
        match fs::remove_file(self.folder.join(name)) {
            Err(error) if error.kind() != ErrorKind::NotFound => {
                Err(self.failed(Operation::Remove, name, error))
            }
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> Result<(), StorageError> {
        sync_path(&self.folder)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}
