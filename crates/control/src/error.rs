//! Why a control replica could not start or answer.

use corktack_core::consensus::{ConsensusError, Rejection};
use std::net::SocketAddr;

/// Why a control replica could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// Operators would be served without a token on an address that others can reach.
    #[error("operators may only be served without a token on loopback, not on {0}")]
    TokenRequired(SocketAddr),
    /// A listener could not be taken over.
    #[error("a listener cannot be used")]
    Listener(#[source] std::io::Error),
    /// A thread could not be started.
    #[error("a thread cannot be started")]
    Thread(#[source] std::io::Error),
    /// The log on disk could not be opened.
    #[error("the log of the control state cannot be opened")]
    Storage(#[from] corktack_storage::StorageError),
    /// What was found on disk, or the settings, do not allow a start.
    #[error("the replica cannot start")]
    Consensus(#[from] ConsensusError),
    /// The snapshot on disk does not hold a control state.
    #[error("the snapshot on disk does not hold a control state")]
    Snapshot(#[from] corktack_protocol::frame::FrameError),
    /// There is no running actix system on the calling thread.
    #[error("a control replica must be started inside an actix system")]
    NoSystem,
}

/// Why a command or read was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The consensus core refused it.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// No outcome came in time. A command may or may not take effect later.
    #[error("no outcome within the time allowed")]
    TimedOut,
    /// The command was applied, but its outcome is no longer known here.
    #[error("the outcome is no longer known here")]
    OutcomeForgotten,
    /// Too many requests wait already; this one did not run.
    #[error("too many requests wait already")]
    Overloaded,
    /// The replica is stopping, or its disk failed.
    #[error("the replica is stopping")]
    Stopping,
    /// The command has no encoding.
    #[error("the command cannot be encoded")]
    Encoding,
}
