//! The transaction itself: batches out on a leased connection, answers back.
//!
//! The module owns the lease and what is known of the batch in flight (`state`); it relies on `batch` for
//! what a text may do, on `connection` for the wire, and on `decisions` for what a lost connection or a stale
//! answer comes to.
//!
//! `run` takes the transaction from batch to batch. Each is sent and answered by `send`, which takes in what
//! the back end says with `replies`; a write under an idempotency key goes through `keyed`, which wraps it
//! with `claim` and the owner's `own` statements. `ending` closes the transaction. `keyed_write` and
//! `unfinished` keep the books of a keyed write and of a flushed batch.

mod claim;
mod ending;
mod keyed;
mod keyed_write;
mod own;
mod replies;
mod run;
mod send;
mod state;
mod unfinished;

pub(crate) use state::{Exchange, Exit};
