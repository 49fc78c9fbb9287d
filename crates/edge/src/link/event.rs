//! Events of a stream to an owner.

use corktack_core::position::Position;
use corktack_protocol::peer::{Failure, ServedBy, TransactionStatus};

/// An event that a session receives on its stream to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Encoded answer messages for the caller.
    Data(Vec<u8>),
    /// The position that the session's next reads must have reached.
    Position(Position),
    /// The end of the answer to a batch.
    Ready {
        /// State of the transaction after the batch.
        status: TransactionStatus,
        /// Whether the primary or a replica answered the batch.
        served_by: ServedBy,
    },
    /// The owner ended the stream without a complete answer.
    Failed(Failure),
    /// The connection to the owner was lost.
    LinkLost {
        /// Whether the stream's last batch may have reached the owner.
        sent: bool,
    },
}

impl StreamEvent {
    /// Reports whether this event ends the stream: the owner has discarded the stream's state.
    #[must_use]
    pub fn ends_stream(&self) -> bool {
        match self {
            Self::Data(_) | Self::Position(_) => false,
            Self::Ready { status, .. } => *status == TransactionStatus::Idle,
            Self::Failed(_) | Self::LinkLost { .. } => true,
        }
    }
}
