//! File operations on one flat folder, as the log and the small files need them.
//!
//! A [`FolderDisk`] keeps the file to which it appended last open. Unsynced changes may be lost at a crash.

use crate::error::{Operation, StorageError};
use crate::lock::FolderLock;
use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// One flat folder of files.
///
/// A change survives a crash only once it is synced: content by
/// [`sync`](Self::sync), names by [`sync_folder`](Self::sync_folder).
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// [`StorageError::Io`] when the operating system refuses the operation, as from every method here.
    fn list(&self) -> Result<Vec<String>, StorageError>;

    /// Returns the content of a file, or `None` when the file does not exist.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError>;

    /// Appends to a file, which is created if it does not exist.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn truncate(&mut self, name: &str, length: u64) -> Result<(), StorageError>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn sync(&mut self, name: &str) -> Result<(), StorageError>;

    /// Renames a file, and replaces a file that has the new name.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError>;

    /// Removes a file if it exists.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn remove(&mut self, name: &str) -> Result<(), StorageError>;

    /// Makes new names, renames and removals of files durable.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn sync_folder(&mut self) -> Result<(), StorageError>;

    /// Returns the path of a file, for error messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// A real folder below a locked [`DataFolder`](crate::DataFolder).
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    /// Name and handle of the file to which the disk appended last.
    append_file: Option<(String, File)>,
    /// Keeps the data folder locked while one of its files may be written.
    _lock: FolderLock,
}

impl FolderDisk {
    pub(crate) fn new(folder: PathBuf, lock: FolderLock) -> Self {
        Self { folder, append_file: None, _lock: lock }
    }

    fn io_error(&self, operation: Operation, name: &str, source: std::io::Error) -> StorageError {
        StorageError::Io { operation, path: self.folder.join(name), source }
    }

    fn open_for_append(&mut self, name: &str) -> Result<&mut File, StorageError> {
        let cached = self.append_file.take().filter(|(cached_name, _)| cached_name == name);
        let (name, file) = match cached {
            Some(cached) => cached,
            None => {
                let path = self.folder.join(name);
                let file = OpenOptions::new().create(true).append(true).open(path);
                let file = file.map_err(|error| self.io_error(Operation::Create, name, error))?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.append_file.insert((name, file)).1)
    }
}

/// Makes new names, renames and removals in the folder at `path` durable.
pub(crate) fn sync_path(path: &Path) -> Result<(), StorageError> {
    let synced = File::open(path).and_then(|folder| folder.sync_all());
    let path = path.to_path_buf();
    synced.map_err(|source| StorageError::Io { operation: Operation::Sync, path, source })
}

impl Disk for FolderDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        let io_error = |error| self.io_error(Operation::List, "", error);
        let mut names = Vec::new();
        for file in fs::read_dir(&self.folder).map_err(io_error)? {
            if let Ok(name) = file.map_err(io_error)?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        match fs::read(self.folder.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(self.io_error(Operation::Read, name, error)),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let written = self.open_for_append(name)?.write_all(bytes);
        written.map_err(|error| self.io_error(Operation::Write, name, error))
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), StorageError> {
        let truncated = self.open_for_append(name)?.set_len(length);
        truncated.map_err(|error| self.io_error(Operation::Truncate, name, error))
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        let synced = self.open_for_append(name)?.sync_data();
        synced.map_err(|error| self.io_error(Operation::Sync, name, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError> {
        self.append_file = None;
        let renamed = fs::rename(self.folder.join(from), self.folder.join(to));
        renamed.map_err(|error| self.io_error(Operation::Rename, from, error))
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.append_file.take_if(|(cached_name, _)| cached_name == name);
        match fs::remove_file(self.folder.join(name)) {
            Err(error) if error.kind() != ErrorKind::NotFound => {
                Err(self.io_error(Operation::Remove, name, error))
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
