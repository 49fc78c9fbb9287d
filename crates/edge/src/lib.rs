//! The edge of a proxy: callers' connections over the PostgreSQL wire protocol.
//!
//! The crate owns the callers' sockets and sessions. It relies on `corktack_core` for what a text does and
//! who a caller is, on `corktack_protocol` for the messages to owners, and on the configuration in force. It
//! has no server connections: those are the owner's (`corktack_owner`).
//!
//! The way of a statement:
//!
//! 1. [`Edge::start`] (`handle`) listens on each arbiter, and admits a connection under the limit that
//!    `sessions` counts; `startup` lets the caller in, with `credentials` where it has to prove who it is.
//! 2. `caller` reads the socket, `codec` cuts and checks its messages, `batch` gathers those that are answered
//!    together.
//! 3. `session` plans the batch and answers it, or sends it to the owner of the database's group: `route`
//!    says who that is, `link` has the connection, and a transaction is one stream on it.
//! 4. The answer goes back through `session` to `caller`; `answer` writes what the edge itself says.
//! 5. Where no whole answer comes, [`retry`] decides whether the batch is sent again, within `times`; what
//!    the caller is answered otherwise is in `error`. `metrics` count how it ended.
//!
//! State that arbiters share is in shards (the table of sessions), each under a lock of its own; all
//! else belongs to one arbiter and stands in its `context`. No lock and no borrow is held across an `await`.

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
