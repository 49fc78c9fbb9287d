//! Errors of operations on files, and the kinds of damage found in their content.

use std::io::ErrorKind;
use std::path::PathBuf;

/// Operation on a file or folder that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Creating or opening a file or folder.
    Create,
    /// Listing the files of a folder.
    List,
    /// Reading a file.
    Read,
    /// Appending to a file.
    Write,
    /// Truncating a file.
    Truncate,
    /// Syncing a file or folder.
    Sync,
    /// Renaming a file.
    Rename,
    /// Removing a file.
    Remove,
}

/// Kind of damage found in the content of a file or folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The content of a file does not match its checksum, or bytes that are not a record precede a valid one.
    #[error("bytes that do not match their checksum")]
    Checksum,
    /// The checksum is valid, but the content cannot be decoded.
    #[error("a record that cannot be decoded")]
    Undecodable,
    /// The content has another format version.
    #[error("format version {0}")]
    Version(u32),
    /// A record or a file header is not at the offset where it belongs.
    #[error("a record or header at the wrong offset")]
    OutOfPlace,
    /// Entries do not follow the preceding entries.
    #[error("entries that do not follow the preceding entries")]
    Gap,
    /// A file that must precede a file in the folder is missing.
    #[error("a file before this one is missing")]
    MissingFile,
}

/// Why an operation on the data folder failed.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Another process or handle uses the data folder.
    #[error("the data folder {path} is in use by another process")]
    InUse {
        /// Path of the data folder.
        path: PathBuf,
    },
    /// The data folder cannot be created, locked or written.
    #[error("the data folder {path} cannot be written")]
    Unwritable {
        /// Path of the data folder.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The operating system refused an operation.
    #[error("{operation:?} of {path} failed")]
    Io {
        /// Operation that failed.
        operation: Operation,
        /// File or folder concerned.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content of a file is not as it was written, or a file is missing.
    #[error("{path} is damaged at byte {offset}: {damage}")]
    Corrupt {
        /// Path of the damaged file, or of the file before which one is missing.
        path: PathBuf,
        /// Offset in the file at which the damage was found, in bytes.
        offset: u64,
        /// Kind of damage.
        damage: Damage,
    },
    /// The name is not allowed for a file or folder in the data folder.
    #[error("{name:?} is not a valid file name")]
    Name {
        /// The refused name.
        name: String,
    },
    /// The value to write is larger than a reader accepts.
    #[error("a record of {bytes} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Encoded size of the value, in bytes.
        bytes: usize,
        /// Largest size allowed, in bytes.
        limit: usize,
    },
    /// The value has no encoding.
    #[error("the value cannot be encoded")]
    Encode(#[from] bincode::error::EncodeError),
    /// The entries leave a gap after the end of the log.
    #[error("entries from index {first} do not follow a log that ends at index {last}")]
    NotConsecutive {
        /// Index of the first entry to write.
        first: u64,
        /// Index of the last entry in the log.
        last: u64,
    },
    /// An earlier write or sync failed; the content on disk is unknown until the log is opened again.
    #[error("an earlier write failed; the log accepts no writes until it is opened again")]
    Poisoned,
}

impl StorageError {
    /// Reports whether the operating system refused a change because the disk is full or a quota is used up.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        let (Self::Io { source, .. } | Self::Unwritable { source, .. }) = self else {
            return false;
        };
        matches!(source.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded)
    }
}
