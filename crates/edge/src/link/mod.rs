//! Connections to owners, each shared by the sessions of one arbiter.
//!
//! The module owns the connections and what is under way on them: which streams are open, what of them may
//! have reached the owner, and how many bytes of answers they hold. It relies on the frames and messages of
//! `corktack_protocol` and on the configuration in force, which says when an owner's incarnation is over.
//!
//! `pool` gives the connection to an owner and starts its `task`, which reads and writes the socket and
//! keeps the books in `connection`; a session uses its [`OwnerStream`] and gets a [`StreamEvent`] for
//! whatever happens on it.

mod connection;
mod error;
mod event;
mod pool;
mod stream;
mod task;

pub use event::StreamEvent;
pub use pool::LinkPool;
pub use stream::OwnerStream;
