//! What replicas of a cell say to each other.

use corktack_core::consensus::Message;
use corktack_protocol::cell::CellMessage;

/// A message between replicas.
pub(crate) type PeerMessage = CellMessage<Message>;
