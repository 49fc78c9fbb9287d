//! The term a member promised, kept in a file that is replaced atomically.
//!
//! Owns the promise file of a member; nothing is acknowledged under a term before it is synced here.

use crate::codec;
use crate::error::DurableError;
use crate::log_file::sync_folder;
use corktack_core::identity::MemberName;
use corktack_core::position::Term;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

const PROMISE_FILE_NAME: &str = "promise";
const TEMPORARY_FILE_NAME: &str = "promise.new";
const CHECKSUM_BYTES: usize = 4;

/// The highest promised term and the primary accepted for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// No lower term is acknowledged any more.
    pub term: Term,
    /// The only member accepted as primary of the term, once known.
    pub primary: Option<MemberName>,
}

/// The durable promise of a member.
pub struct DurablePromise {
    folder: PathBuf,
    promise: Promise,
}

impl DurablePromise {
    /// Reads the promise of a data folder; the flag tells whether there was one.
    ///
    /// # Errors
    /// The file is damaged or cannot be read.
    pub fn open(folder: &Path) -> Result<(Self, bool), DurableError> {
        let path = folder.join(PROMISE_FILE_NAME);
        let (promise, existed) = match fs::read(&path) {
            Ok(bytes) => (decode(&bytes).ok_or(DurableError::Promise(path))?, true),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                (Promise::default(), false)
            }
            Err(error) => return Err(DurableError::file(&path)(error)),
        };
        Ok((Self { folder: folder.to_owned(), promise }, existed))
    }

    /// The promise in force.
    #[must_use]
    pub fn get(&self) -> &Promise {
        &self.promise
    }

    /// Replaces the promise; it is synced when this returns.
    ///
    /// # Errors
    /// The file cannot be written or synced; the old promise stays.
    pub fn set(&mut self, promise: Promise) -> Result<(), DurableError> {
        if promise == self.promise {
            return Ok(());
        }
        let temporary = self.folder.join(TEMPORARY_FILE_NAME);
        let mut file = File::create(&temporary).map_err(DurableError::file(&temporary))?;
        let bytes = encode(&promise)?;
        file.write_all(&bytes).map_err(DurableError::file(&temporary))?;
        file.sync_all().map_err(DurableError::file(&temporary))?;
        let path = self.folder.join(PROMISE_FILE_NAME);
        fs::rename(&temporary, &path).map_err(DurableError::file(&path))?;
        sync_folder(&self.folder)?;
        self.promise = promise;
        Ok(())
    }
}

fn encode(promise: &Promise) -> Result<Vec<u8>, DurableError> {
    let payload = codec::encode(promise)?;
    let mut bytes = crc32fast::hash(&payload).to_le_bytes().to_vec();
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

fn decode(bytes: &[u8]) -> Option<Promise> {
    let (checksum, payload) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    codec::decode(payload).ok()
}
