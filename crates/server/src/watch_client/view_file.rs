//! The last configuration in a file of the data folder.
//!
//! Owns the file. A damaged one is passed over: the proxy then waits for control, as at its first start.

use super::store::ViewStore;
use corktack_core::view::View;
use corktack_storage::{DataFolder, StorageError, SyncedFile};

/// Name of the file in the data folder.
const VIEW_FILE: &str = "view";

/// Keeps the configuration in one file, replaced as a whole and synced.
#[derive(Debug)]
pub struct ViewFile {
    file: SyncedFile,
}

impl ViewFile {
    /// A store in a data folder.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    pub fn open(folder: &DataFolder) -> Result<Self, StorageError> {
        Ok(Self { file: SyncedFile::new(folder, VIEW_FILE)? })
    }
}

impl ViewStore for ViewFile {
    fn load(&self) -> Result<Option<View>, StorageError> {
        match self.file.load() {
            Err(error @ StorageError::Corrupt { .. }) => {
                log::warn!(error:% = error; "the stored configuration is not used");
                Ok(None)
            }
            loaded => loaded,
        }
    }

    fn save(&mut self, view: &View) -> Result<(), StorageError> {
        self.file.store(view)
    }
}
