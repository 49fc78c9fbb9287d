//! What can go wrong with files.

use std::path::PathBuf;

/// What was being done to a file or folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Create.
    Create,
    /// List a folder.
    List,
    /// Read.
    Read,
    /// Append or write.
    Write,
    /// Cut.
    Truncate,
    /// Sync.
    Sync,
    /// Rename.
    Rename,
    /// Remove.
    Remove,
}

/// What is wrong with the content of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// Bytes that are no record stand before a valid one.
    #[error("bytes that do not match their checksum")]
    Checksum,
    /// The checksum is right, the content has no meaning.
    #[error("a record that cannot be decoded")]
    Undecodable,
    /// The content was written by another version.
    #[error("format version {0}")]
    Version(u32),
    /// A record is not where it belongs.
    #[error("a record out of its place")]
    OutOfPlace,
    /// Entries do not follow the ones before.
    #[error("entries that do not follow the ones before")]
    Gap,
    /// A file between or before the ones found is missing.
    #[error("a file before this one is missing")]
    MissingFile,
}

/// Why an operation on the data folder failed.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Another process uses the folder.
    #[error("the data folder {path} is in use by another process")]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// The folder cannot be written.
    #[error("the data folder {path} cannot be written")]
    Unwritable {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The system refused an operation.
    #[error("{operation:?} of {path} failed")]
    Io {
        /// What was done.
        operation: Operation,
        /// To which file or folder.
        path: PathBuf,
        /// Why it failed.
        source: std::io::Error,
    },
    /// A file holds something that was not written so.
    #[error("{path} is damaged at byte {offset}: {damage}")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// First byte concerned.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /// The name is not one of a file in the data folder.
    #[error("{name:?} is not a name for a file")]
    Name {
        /// The name.
        name: String,
    },
    /// What is to be written is larger than a reader accepts.
    #[error("a record of {bytes} bytes is over the limit of {limit}")]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The value has no encoding.
    #[error("the value cannot be encoded")]
    Encode(#[from] bincode::error::EncodeError),
    /// The entries do not follow the log.
    #[error("entries from {first} do not follow a log that ends at {last}")]
    NotConsecutive {
        /// First index to write.
        first: u64,
        /// Last index of the log.
        last: u64,
    },
    /// An earlier write or sync failed: what is on disk is unknown until the next start.
    #[error("an earlier write failed, the log takes no more")]
    Poisoned,
}
