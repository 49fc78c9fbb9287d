//! Connections between the replicas of a cell: one for each direction.
//!
//! Owns the links out and who may be believed on the way in. Relies on the consensus thread, which takes what
//! comes in and says what goes out.

mod disks;
mod inbound;
mod message;
mod outbound;

pub(crate) use disks::Disks;
pub(crate) use inbound::{InboundSettings, accept_replicas};
pub(crate) use message::PeerMessage;
pub(crate) use outbound::{LinkSettings, Links};
