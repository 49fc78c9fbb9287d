//! Errors of starting a control replica and of its requests.

use corktack_core::consensus::{ConsensusError, Rejection};
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Why a control replica could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The operators' listener has no token and an address that other machines can reach.
    #[error("operators may only be served without a token on loopback, not on {0}")]
    TokenRequired(SocketAddr),
    /// A given listener could not be used.
    #[error("a listener cannot be used")]
    Listener(#[source] std::io::Error),
    /// A thread could not be started.
    #[error("a thread cannot be started")]
    Thread(#[source] std::io::Error),
    /// The log on disk could not be opened.
    #[error("the log of the control state cannot be opened")]
    Storage(#[from] corktack_storage::StorageError),
    /// The stored state or the settings do not allow the replica to start.
    #[error("the replica cannot start")]
    Consensus(#[from] ConsensusError),
    /// The snapshot on disk does not hold a control state.
    #[error("the snapshot on disk does not hold a control state")]
    Snapshot(#[from] corktack_protocol::frame::FrameError),
    /// The calling thread has no running actix system.
    #[error("a control replica must be started inside an actix system")]
    NoSystem,
}

impl ControlError {
    /// Reports whether the start failed only because the disk is full. A later start may succeed.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Storage(error) if error.is_disk_full())
    }
}

/// Why a command or read has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The consensus core rejected the request.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// No outcome was known before the timeout. A command may still take effect later.
    #[error("no outcome within the time allowed")]
    TimedOut,
    /// The command was applied, but this replica no longer knows its outcome.
    #[error("the outcome is no longer known here")]
    OutcomeForgotten,
    /// Too many requests wait already; the replica did not run this request.
    #[error("too many requests wait already")]
    Overloaded,
    /// The replica is stopping.
    #[error("the replica is stopping")]
    Stopping,
    /// The replica's log cannot be written, for example because its disk is full. A command that was proposed
    /// before may still take effect.
    #[error("the log of this replica cannot be written now")]
    StorageUnwritable,
    /// The command could not be encoded.
    #[error("the command cannot be encoded")]
    Encoding,
}

/// Shows an error with its causes, separated by colons.
#[derive(Clone, Copy, Debug)]
pub struct Causes<'a>(pub &'a dyn Error);

impl fmt::Display for Causes<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut cause = self.0.source();
        while let Some(source) = cause {
            write!(formatter, ": {source}")?;
            cause = source.source();
        }
        Ok(())
    }
}
