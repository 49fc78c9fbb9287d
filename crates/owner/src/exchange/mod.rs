//! Execution of a transaction: sends its batches on a leased connection and relays the answers.
//!
//! An [`Exchange`] holds the lease and the state of the batch in flight (`state`). `batch` classifies
//! statement texts, and `decisions` says what follows from a lost connection or a stale answer.
//!
//! `run` loops over the batches of the transaction. `send` sends each batch and waits for its answer, which
//! `replies` reads; a write under an idempotency key goes through `keyed`, which wraps the write with `claim`
//! and with the owner's `own` statements. `ending` closes the transaction. `keyed_write` and `unfinished`
//! track the state of a keyed write and of a flushed batch.

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
