//! Replication of the log between the members of a group.

pub mod link;
pub mod message;
mod progress;
pub mod sender;
pub mod server;
pub mod state;
mod steps;

pub use state::{Replication, ReplicationError, ReplicationStatus, Role};
