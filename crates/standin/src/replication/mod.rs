//! Replication of the log between the members of a group.
//!
//! Owns term, role, log, commit index and what the primary knows of its peers ([`steps`] decides, [`state`]
//! guards it by one lock and publishes it). Relies on the durable log and promise for what outlives the process.

pub mod link;
pub mod message;
mod progress;
pub mod sender;
pub mod server;
pub mod state;
mod steps;

pub use state::{Replication, ReplicationError, ReplicationStatus, Role};
pub use steps::State;
