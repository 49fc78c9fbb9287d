//! A caller's session: batches in, answers out, one after another.
//!
//! The module owns what a session keeps between its batches: its statements, portals, token and key, and the
//! stream of a transaction or batch that is not over. It relies on the caller's socket, on the connections to
//! owners, on [`crate::retry`] for what may be sent again, and on `corktack_core` for what a text does.
//!
//! The way of a batch, with the module of each step:
//!
//! 1. `serve` takes a caller's messages until a batch is whole, and notes how it ended,
//! 2. `plan` decides where the batch is answered and rewrites it for the owner,
//! 3. `local` answers what the edge answers itself, `forward` sends the others to the group's owner, which
//!    `owner_wait` finds, and sends them again where that is safe,
//! 4. `pass_answer` passes the owner's answer on to the caller,
//! 5. `flushed` goes on with a batch that the caller flushed before its `Sync`, kept as an `unfinished` one.
//!
//! All of them work on the `state` of the session. The steps use later ones and the state, never earlier ones.

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
