//! The edge of a proxy: callers' connections.
//!
//! [`Edge::start`] serves the PostgreSQL wire protocol on a listener. Each caller
//! is a session on one arbiter; a transaction of a session is a stream to the
//! owner of the database's group.

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
