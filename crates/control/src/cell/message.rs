//! The messages between the replicas of a cell.

use corktack_core::consensus::Message;
use corktack_protocol::cell::CellMessage;

/// A message on a connection between two replicas.
pub(crate) type PeerMessage = CellMessage<Message>;
