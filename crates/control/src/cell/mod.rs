//! Connections between the replicas of a cell: one for each direction.
//!
//! Owns the outgoing links and the disk ids that incoming connections are checked against. The consensus
//! thread receives the incoming messages and queues the outgoing ones.

mod disks;
mod inbound;
mod message;
mod outbound;

pub(crate) use disks::Disks;
pub(crate) use inbound::{InboundSettings, accept_replicas};
pub(crate) use message::PeerMessage;
pub(crate) use outbound::{LinkSettings, Links};
