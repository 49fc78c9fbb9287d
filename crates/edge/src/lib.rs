//! The edge of a proxy: callers' connections.
//!
//! [`Edge::start`] serves the PostgreSQL wire protocol on a listener. Each caller
//! is a session on one arbiter; a transaction of a session is a stream to the
//! owner of the database's group.
//!
//! State that arbiters share is in shards (the table of sessions), each under a lock of its own; all
//! else belongs to one arbiter. No lock and no borrow is held across an `await`.

#![deny(clippy::await_holding_lock, clippy::await_holding_refcell_ref)]

mod answer;
mod batch;
mod caller;
mod codec;
mod context;
mod error;
mod handle;
mod link;
mod metrics;
mod retry;
mod route;
mod session;
mod sessions;
mod settings;
mod startup;

pub use error::{EdgeError, Rejection};
pub use handle::{Edge, EdgeHandle};
pub use settings::{Authentication, EdgeSettings, UserSecret};
