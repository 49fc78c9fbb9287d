//! An open transaction block and the connection that holds it.

use crate::engine::Engine;
use crate::entry::WriteStatement;
use corktack_core::position::Term;
use tokio::sync::OwnedMutexGuard;

/// An open write transaction of the engine.
pub struct WriteTransaction {
    /// The one writing connection, held until the transaction ends.
    pub engine: OwnedMutexGuard<Engine>,
    /// Term under which it was opened.
    pub term: Term,
    /// Its write statements so far.
    pub writes: Vec<WriteStatement>,
}

/// Where a transaction block runs.
#[derive(Default)]
pub enum Holder {
    /// Nothing ran yet.
    #[default]
    Nothing,
    /// On the session's reading connection, with the applied index it sees.
    Reader(u64),
    /// On the writing connection.
    Writer(WriteTransaction),
}

/// A transaction block.
#[derive(Default)]
pub struct Block {
    /// Opened by a query string with several statements, not by `BEGIN`.
    pub implicit: bool,
    /// Writes are refused.
    pub read_only: bool,
    /// A statement failed; only the end is taken.
    pub failed: bool,
    /// Where it runs.
    pub holder: Holder,
}
