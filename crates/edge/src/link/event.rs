//! What happens on a stream to an owner.

use corktack_core::position::Position;
use corktack_protocol::peer::{Failure, ServedBy, TransactionStatus};

/// What happens on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Messages for the caller.
    Data(Vec<u8>),
    /// The session's new position.
    Position(Position),
    /// The end of the answer to a batch.
    Ready {
        /// State of the transaction.
        status: TransactionStatus,
        /// Who served it.
        served_by: ServedBy,
    },
    /// The stream is over without an answer.
    Failed(Failure),
    /// The connection is gone.
    LinkLost {
        /// Whether the last batch may have reached the owner.
        sent: bool,
    },
}

impl StreamEvent {
    /// Whether the owner has forgotten the stream after this.
    #[must_use]
    pub fn ends_stream(&self) -> bool {
        match self {
            Self::Data(_) | Self::Position(_) => false,
            Self::Ready { status, .. } => *status == TransactionStatus::Idle,
            Self::Failed(_) | Self::LinkLost { .. } => true,
        }
    }
}
