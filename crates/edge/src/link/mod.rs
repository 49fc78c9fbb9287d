//! Connections to owners, each shared by all sessions of one arbiter.
//!
//! Each connection multiplexes streams, one for each transaction, and tracks which streams are open,
//! which batches may have reached the owner, and how many bytes of answers are buffered. The frames and
//! messages are those of `corktack_protocol`; the configuration in force says when an owner's
//! incarnation has ended.
//!
//! `pool` finds or creates the connection to an owner and starts its `task`, which reads and writes the
//! socket; `connection` holds the state of the streams. A session sends on its [`OwnerStream`] and
//! receives each [`StreamEvent`] from it.

mod connection;
mod error;
mod event;
mod pool;
mod stream;
mod task;

pub use event::StreamEvent;
pub use pool::LinkPool;
pub use stream::OwnerStream;
