//! Why a connection to an owner ended.

use corktack_protocol::frame::FrameError;
use corktack_protocol::peer::StreamId;

/// Why a connection to an owner ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    /// No connection came about.
    #[error("no connection to the owner in time")]
    ConnectTimeout,
    /// The socket failed.
    #[error("the connection to the owner failed")]
    Io(#[from] std::io::Error),
    /// A frame broke the protocol, or the socket failed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The owner closed the connection.
    #[error("the owner closed the connection")]
    Closed,
    /// The owner did not say who it is first.
    #[error("the owner's first message was not its name")]
    NoHello,
    /// Another process answered at the address.
    #[error("another proxy, or another life of it, answered at the owner's address")]
    WrongOwner,
    /// The owner sent more than its window and one frame on a stream.
    #[error("the owner sent past the window of stream {}", .0.0)]
    WindowOverrun(StreamId),
    /// The configuration in force says that this incarnation of the owner is over.
    #[error("the owner is down")]
    OwnerDown,
}
