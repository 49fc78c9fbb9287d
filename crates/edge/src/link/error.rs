//! Reasons for which a connection to an owner ends. They are only logged.

use corktack_protocol::frame::FrameError;
use corktack_protocol::peer::StreamId;

/// The reason why a connection to an owner ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    /// The connection or its handshake did not complete within the timeout.
    #[error("no connection to the owner in time")]
    ConnectTimeout,
    /// The socket could not be connected or configured.
    #[error("the connection to the owner failed")]
    Io(#[from] std::io::Error),
    /// A frame violated the protocol, or the socket failed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The owner closed the connection.
    #[error("the owner closed the connection")]
    Closed,
    /// The owner's first message was not its handshake.
    #[error("the owner's first message was not its name")]
    NoHello,
    /// Another proxy, or another incarnation of the owner, answered at the address.
    #[error("another proxy, or another incarnation of the owner, answered at the owner's address")]
    WrongOwner,
    /// The owner exceeded a stream's window by more than one frame.
    #[error("the owner sent past the window of stream {}", .0.0)]
    WindowOverrun(StreamId),
    /// The configuration in force says that this incarnation of the owner has ended.
    #[error("the owner is down")]
    OwnerDown,
}
