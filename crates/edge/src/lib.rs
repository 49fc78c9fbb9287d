//! Edge of a proxy: accepts callers' connections over the PostgreSQL wire protocol.
//!
//! The crate owns the callers' sockets and sessions. Server connections belong to the owner of a
//! database group (`corktack_owner`); the edge reaches owners over the messages of `corktack_protocol`.
//! `corktack_core` classifies SQL texts, and the configuration in force says which proxy owns a group.
//!
//! Path of a statement:
//!
//! 1. [`Edge::start`] (`handle`) accepts connections on each arbiter, an Actix thread with its own
//!    event loop, up to the connection limit that `sessions` enforces. `startup` reads the startup
//!    message and authenticates the caller against `credentials`.
//! 2. `caller` reads the socket, `codec` frames and validates messages, and `batch` groups the messages
//!    that are answered together.
//! 3. `session` plans each batch and either answers it or sends it to the owner of the database's
//!    group: `route` looks the owner up, `link` holds the connection to the owner, and a transaction is
//!    one stream on that connection.
//! 4. `session` passes the owner's answer back to `caller`; `answer` encodes the messages that the edge
//!    itself sends.
//! 5. If the answer is incomplete, [`retry`] decides whether the batch is sent again, with the timeouts
//!    in `times`. `error` holds the errors that callers get otherwise, and `metrics` counts outcomes.
//!
//! State shared by arbiters (the session table) is sharded, each shard under its own lock; all other
//! state belongs to one arbiter and is kept in its `context`. No lock and no `RefCell` borrow is held
//! across an `await`.

#![deny(clippy::await_holding_lock, clippy::await_holding_refcell_ref)]

mod answer;
mod batch;
mod caller;
mod codec;
mod context;
mod credentials;
mod error;
mod handle;
mod link;
mod metrics;
pub mod retry;
mod route;
mod session;
mod sessions;
mod settings;
mod startup;
mod times;

pub use error::{EdgeError, Rejection};
pub use handle::{Edge, EdgeHandle};
pub use settings::{Authentication, EdgeSettings, UserSecret};
