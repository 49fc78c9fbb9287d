//! Small values that survive a restart, such as the last view of a proxy or an identity.
//!
//! Each value has one file, whose content is replaced as a whole.

use crate::checked_file;
use crate::disk::{Disk, FolderDisk};
use crate::error::{Damage, StorageError};
use crate::folder::{DataFolder, check_name};
use crate::record::{decode_value, encode_value};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A file that is replaced atomically, and whose checksum is verified when it is read.
#[derive(Debug)]
pub struct SyncedFile<D: Disk = FolderDisk> {
    disk: D,
    name: String,
}

impl SyncedFile {
    /// Returns the file of this name at the top level of the data folder. The file need not exist.
    ///
    /// # Errors
    /// [`StorageError::Name`] when the name is invalid, [`StorageError::Io`] when the folder cannot be
    /// synced.
    pub fn new(folder: &DataFolder, name: &str) -> Result<Self, StorageError> {
        Self::on_disk(folder.disk(), name)
    }
}

impl<D: Disk> SyncedFile<D> {
    /// Returns the file of this name on any disk. The file need not exist.
    ///
    /// # Errors
    /// [`StorageError::Name`] when the name is invalid, [`StorageError::Io`] when the folder cannot be
    /// synced.
    pub fn on_disk(mut disk: D, name: &str) -> Result<Self, StorageError> {
        check_name(name)?;
        // The previous process may have ended between a rename and its sync. The content
        // that is read from now on must not be lost later.
        disk.sync_folder()?;
        Ok(Self { disk, name: name.to_owned() })
    }

    /// Returns the bytes last written, or `None` when the file was never written.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when the file is damaged, or [`StorageError::Io`].
    pub fn read(&self) -> Result<Option<Vec<u8>>, StorageError> {
        checked_file::read(&self.disk, &self.name)
    }

    /// Replaces the bytes; the new bytes are durable when the method returns.
    ///
    /// # Errors
    /// [`StorageError::Io`]; the previous bytes stay.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        checked_file::replace(&mut self.disk, &self.name, bytes)
    }

    /// Returns the value last stored, or `None` when none was stored.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when the file is damaged or holds no value of this type, or
    /// [`StorageError::Io`].
    pub fn load<T: DeserializeOwned>(&self) -> Result<Option<T>, StorageError> {
        let Some(bytes) = self.read()? else { return Ok(None) };
        let value = decode_value(&bytes).ok_or_else(|| StorageError::Corrupt {
            path: self.disk.path(&self.name),
            offset: 0,
            damage: Damage::Undecodable,
        })?;
        Ok(Some(value))
    }

    /// Replaces the value; the new value is durable when the method returns.
    ///
    /// # Errors
    /// [`StorageError::Encode`], [`StorageError::TooLarge`] or [`StorageError::Io`].
    pub fn store<T: Serialize>(&mut self, value: &T) -> Result<(), StorageError> {
        let bytes = encode_value(value)?;
        self.write(&bytes)
    }
}
