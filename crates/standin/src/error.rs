//! Errors of a member's durable state and life cycle.

use std::io;
use std::path::PathBuf;

/// Why a member could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The durable log or promise could not be read or written.
    #[error(transparent)]
    Durable(#[from] DurableError),
    /// The embedded SQL engine refused to open or apply.
    #[error("the embedded SQL engine failed: {0}")]
    Engine(#[from] rusqlite::Error),
    /// A listener could not be handed to the event loop.
    #[error("a listener cannot be used: {0}")]
    Listener(#[source] io::Error),
    /// The member's thread could not be started.
    #[error("the member's thread did not start: {0}")]
    Thread(#[source] io::Error),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] corktack_core::identity::NameError),
    /// A place in a group that has no member.
    #[error("the group has no member {0}")]
    NoSuchMember(usize),
    /// The member's thread ended before it was ready.
    #[error("the member's thread ended before it was ready")]
    Ended,
}

/// Why durable state could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum DurableError {
    /// A file operation failed.
    #[error("file {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A record could not be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The promise file is damaged.
    #[error("the promise file {0} is damaged")]
    Promise(PathBuf),
    /// A synced part of the log is damaged; cutting it would lose acknowledged writes.
    #[error("the log {path} is damaged at byte {offset}, before records that follow it")]
    Corrupt {
        /// The log.
        path: PathBuf,
        /// Offset of the first damaged record.
        offset: u64,
    },
    /// A transaction is too large for one record.
    #[error("a record of {0} bytes is too large")]
    TooLarge(usize),
    /// An index outside the log was asked for.
    #[error("index {0} is not in the log")]
    Index(u64),
}

impl DurableError {
    pub(crate) fn corrupt(path: &std::path::Path) -> impl FnOnce(u64) -> Self + '_ {
        move |offset| Self::Corrupt { path: path.to_owned(), offset }
    }

    pub(crate) fn file(path: &std::path::Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| Self::File { path: path.to_owned(), source }
    }
}
