//! Why a proxy's connection ended.

use crate::error::RequestError;
use corktack_core::view::Revision;
use corktack_protocol::frame::FrameError;

/// Why a proxy's connection ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("the connection is closed")]
    Closed,
    #[error("no message before the timeout")]
    ReceiveTimeout,
    #[error("the proxy accepted no data before the timeout")]
    SendTimeout,
    #[error("the replica belongs to no cell yet")]
    NoCell,
    #[error("the replica knows no leader")]
    NoLeader,
    #[error("unexpected message: a hello or join request must come first and only once")]
    UnexpectedMessage,
    #[error("the proxy has revision {0:?}, which this cell never had")]
    UnknownRevision(Revision),
    #[error("a newer connection of the same proxy replaced this connection")]
    Replaced,
    #[error("too many unacknowledged heartbeats")]
    TooManyHeartbeats,
    #[error("the replica cannot confirm that it is current")]
    NotCurrent(#[from] RequestError),
    #[error(transparent)]
    Frame(#[from] FrameError),
}
