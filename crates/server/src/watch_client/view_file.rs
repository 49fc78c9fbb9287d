//! A [`ViewStore`] that keeps the last configuration in one file of the data folder.
//!
//! A damaged file is ignored: the proxy then waits for control, as at its first start.

use super::store::ViewStore;
use corktack_core::view::View;
use corktack_storage::{DataFolder, StorageError, SyncedFile};

/// Name of the file in the data folder.
const VIEW_FILE: &str = "view";

/// Keeps the configuration in one file, which each save replaces as a whole and syncs.
#[derive(Debug)]
pub struct ViewFile {
    file: SyncedFile,
}

impl ViewFile {
    /// Returns the store in a data folder; no file needs to exist yet.
    ///
    /// # Errors
    /// [`StorageError::Io`] when the file cannot be accessed.
    pub fn open(folder: &DataFolder) -> Result<Self, StorageError> {
        Ok(Self { file: SyncedFile::new(folder, VIEW_FILE)? })
    }
}

impl ViewStore for ViewFile {
    fn load(&self) -> Result<Option<View>, StorageError> {
        match self.file.load() {
            Err(error @ StorageError::Corrupt { .. }) => {
                log::warn!(error:% = error; "the stored configuration is damaged and not used");
                Ok(None)
            }
            loaded => loaded,
        }
    }

    fn save(&mut self, view: &View) -> Result<(), StorageError> {
        self.file.store(view)
    }
}
