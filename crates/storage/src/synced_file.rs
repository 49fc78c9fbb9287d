//! Small values that survive a restart: a proxy's last view, an identity.
//!
//! Owns one file; its content is replaced as a whole.

use crate::checked_file;
use crate::disk::{Disk, FolderDisk};
use crate::error::{Damage, StorageError};
use crate::folder::{DataFolder, check_name};
use crate::record::{decode_value, encode_value};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A file that is replaced atomically and checked when it is read.
#[derive(Debug)]
pub struct SyncedFile<D: Disk = FolderDisk> {
    disk: D,
    name: String,
}

impl SyncedFile {
    /// A file at the top of the data folder.
    ///
    /// # Errors
    /// [`StorageError::Name`] or [`StorageError::Io`].
    pub fn new(folder: &DataFolder, name: &str) -> Result<Self, StorageError> {
        Self::on(folder.disk(), name)
    }
}

impl<D: Disk> SyncedFile<D> {
    /// A file of any folder.
    ///
    /// # Errors
    /// [`StorageError::Name`] or [`StorageError::Io`].
    pub fn on(mut disk: D, name: &str) -> Result<Self, StorageError> {
        check_name(name)?;
        // The last process may have ended between a rename and its sync; what is
        // read from now on must not be lost later.
        disk.sync_folder()?;
        Ok(Self { disk, name: name.to_owned() })
    }

    /// The bytes last written, none when there never were any.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] or [`StorageError::Io`].
    pub fn read(&self) -> Result<Option<Vec<u8>>, StorageError> {
        checked_file::read(&self.disk, &self.name)
    }

    /// Replaces the bytes; they are durable when this returns.
    ///
    /// # Errors
    /// [`StorageError::Io`]; the bytes before stay.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        checked_file::replace(&mut self.disk, &self.name, bytes)
    }

    /// The value last stored.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] also when the bytes are no such value.
    pub fn load<T: DeserializeOwned>(&self) -> Result<Option<T>, StorageError> {
        let Some(bytes) = self.read()? else { return Ok(None) };
        let value = decode_value(&bytes).ok_or_else(|| StorageError::Corrupt {
            path: self.disk.path(&self.name),
            offset: 0,
            damage: Damage::Undecodable,
        })?;
        Ok(Some(value))
    }

    /// Replaces the value; it is durable when this returns.
    ///
    /// # Errors
    /// [`StorageError::Encode`], [`StorageError::TooLarge`] or [`StorageError::Io`].
    pub fn store<T: Serialize>(&mut self, value: &T) -> Result<(), StorageError> {
        let bytes = encode_value(value)?;
        self.write(&bytes)
    }
}
