//! Why a proxy's connection ended.

use crate::error::RequestError;
use corktack_core::view::Revision;
use corktack_protocol::frame::FrameError;

/// Why a proxy's connection ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error("the connection is closed")]
    Closed,
    #[error("nothing was heard in time")]
    Silent,
    #[error("the proxy does not take what it is sent")]
    Slow,
    #[error("the replica belongs to no cell yet")]
    Outside,
    #[error("the replica knows no leader")]
    Leaderless,
    #[error("the first message is not a hello, or a later one is")]
    OutOfPlace,
    #[error("the proxy has revision {0:?}, which this cell never had")]
    UnknownRevision(Revision),
    #[error("a newer connection of the same proxy has taken its place")]
    Replaced,
    #[error("too many heartbeats without waiting for answers")]
    TooManyHeartbeats,
    #[error("the replica cannot prove that it is current")]
    NotCurrent(#[from] RequestError),
    #[error(transparent)]
    Frame(#[from] FrameError),
}
