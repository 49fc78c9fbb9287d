//! Stand-in for the database groups that corktack serves: a replica set over an embedded SQL engine.
//!
//! [`Member::start`] runs one member, [`Group::start`] three of them in one
//! process. A member speaks the PostgreSQL protocol and the statements of
//! [`corktack_core::backend`]; its durable log is replicated to a majority
//! under a term before a commit is acknowledged.

mod applier;
pub mod codec;
mod engine;
mod entry;
mod error;
mod functions;
mod group;
mod log_file;
mod member;
mod promise;
mod replication;
mod session;
mod shared;
mod sql;
mod wire;

pub use entry::{Circumstances, LogEntry, Value, WriteStatement};
pub use error::{DurableError, MemberError};
pub use group::{GROUP_SIZE, Group, GroupSettings};
pub use log_file::LOG_FILE_NAME;
pub use member::{
    DEFAULT_CONNECTION_COST, DEFAULT_CONNECTION_LIMIT, Member, MemberHandle, MemberSettings, Peer,
};
pub use promise::Promise;
pub use replication::message::{AppendOutcome, AppendRequest, AppendResponse};
pub use replication::{ReplicationStatus, Role};
