//! A caller's session: it reads batches and answers them one after another.
//!
//! A session keeps its prepared statements, portals, token and idempotency key between batches, and the
//! stream of a transaction or batch that has not ended. [`crate::retry`] decides what may be sent
//! again, and `corktack_core` classifies SQL texts.
//!
//! Path of a batch, with the module of each step:
//!
//! 1. `serve` reads the caller's messages until a batch is complete, and records its outcome.
//! 2. `plan` decides where the batch is answered and rewrites its messages for the owner.
//! 3. `local` answers what the edge answers itself. `forward` sends other batches to the group's owner,
//!    which `owner_wait` looks up, and sends them again where that is safe.
//! 4. `pass_answer` passes the owner's answer on to the caller.
//! 5. `flushed` continues a batch that the caller flushed before its `Sync`, which is kept as an
//!    `unfinished` one.
//!
//! All steps work on the session's `state`. A step may use later steps and the state, but no earlier
//! step.

mod flushed;
mod forward;
mod local;
mod owner_wait;
mod pass_answer;
mod plan;
mod serve;
mod state;
mod unfinished;

pub use state::Session;
