//! The last configuration in a file of the data folder.

use super::store::{StoreError, ViewStore};
use corktack_core::view::View;
use corktack_protocol::frame::{decode, encode};
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Name of the file in the data folder.
const VIEW_FILE: &str = "view";
/// Bytes of the checksum in front of the configuration.
const CHECKSUM_BYTES: usize = 4;

/// Keeps the configuration in one file, replaced as a whole and synced.
#[derive(Debug)]
pub struct ViewFile {
    folder: PathBuf,
}

impl ViewFile {
    /// A store in a data folder.
    #[must_use]
    pub fn new(folder: &Path) -> Self {
        Self { folder: folder.to_owned() }
    }

    /// Where the configuration is kept.
    #[must_use]
    pub fn path(&self) -> PathBuf {
        self.folder.join(VIEW_FILE)
    }

    fn replace(&self, bytes: &[u8]) -> std::io::Result<()> {
        let temporary = self.folder.join(format!("{VIEW_FILE}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(&crc32fast::hash(bytes).to_be_bytes())?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, self.path())?;
        File::open(&self.folder)?.sync_all()
    }
}

impl ViewStore for ViewFile {
    fn load(&self) -> Result<Option<View>, StoreError> {
        let file = self.path();
        let bytes = match std::fs::read(&file) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(StoreError::Read { file, source }),
        };
        let view = read_view(&bytes);
        if view.is_none() {
            log::warn!(file:? = file; "the stored configuration is damaged and not used");
        }
        Ok(view)
    }

    fn save(&mut self, view: &View) -> Result<(), StoreError> {
        let bytes = encode(view)?;
        let failed = |source| StoreError::Write { file: self.path(), source };
        self.replace(&bytes).map_err(failed)
    }
}

fn read_view(bytes: &[u8]) -> Option<View> {
    let (checksum, payload) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if checksum != crc32fast::hash(payload).to_be_bytes() {
        return None;
    }
    decode(payload).ok()
}
