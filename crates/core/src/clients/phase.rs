//! What a client's connection waits for, and how readily it is closed meanwhile.

/// What a client's connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientPhase {
    /// The client has connected; its first message has not arrived.
    Connecting,
    /// Nothing is in progress; the client may send its next message.
    Idle,
    /// A message has begun to arrive.
    Receiving,
    /// A message has begun to arrive, inside a transaction.
    ReceivingInTransaction,
    /// The process works on a request, or a transaction is open.
    Working,
    /// An answer is ready, and the client has not read all of it.
    Sending,
}

/// Factors by which the waiting time of a connection counts. A client that left something half-way counts as
/// slower than one that may legally be idle, so that sessions which are merely idle are closed late.
const CONNECTING_WEIGHT: u64 = 8;
const UNFINISHED_WEIGHT: u64 = 4;
const DEFAULT_WEIGHT: u64 = 1;

impl ClientPhase {
    /// Returns the factor of the waiting time; `None` if the connection may not be closed to make room.
    pub(super) const fn weight(self) -> Option<u64> {
        match self {
            Self::Connecting => Some(CONNECTING_WEIGHT),
            Self::Receiving | Self::Sending => Some(UNFINISHED_WEIGHT),
            Self::Idle | Self::ReceivingInTransaction => Some(DEFAULT_WEIGHT),
            Self::Working => None,
        }
    }

    /// Reports whether the phase is limited in time: the client has begun a message and must send the rest.
    pub(super) const fn is_receiving(self) -> bool {
        matches!(self, Self::Receiving | Self::ReceivingInTransaction)
    }
}
