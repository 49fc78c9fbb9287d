//! Decides which clients a process keeps when connections or memory run short.
//!
//! Clients are callers outside the deployment, which nobody controls. [`ClientTable`] records for each open
//! connection what the process waits for and how many bytes it holds for the client: unread input, a session's
//! values, an answer that is being sent; [`BytePace`] paces what is read of large messages. Invariants: no more connections are open than
//! [`ClientLimits::max_connections`], and no more bytes are granted than [`ClientLimits::max_bytes`].
//!
//! When a limit is reached, the table names connections to close: those that waited longest for their client,
//! and for memory those with the most bytes times waiting time. A connection is never closed while the process
//! works on a request of its client. The owner of the connections closes the named ones and reports it by
//! [`ClientTable::disconnect`].

mod pace;
mod phase;
mod table;

pub use pace::BytePace;
pub use phase::ClientPhase;
pub use table::{ByteGrant, ClientId, ClientLimits, ClientTable, ClientTotals, Connected};
