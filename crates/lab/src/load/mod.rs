//! Load generation: the callers of a profile, their operations and the answers that they got.
//!
//! Arrivals are open-loop: each operation has a start time drawn in advance, and its latency counts from that
//! time. A slow system therefore cannot hide its queue by slowing the callers down.

pub mod caller;
pub mod history;
pub mod operation;
pub mod outcome;
pub mod run;
pub mod schema;
mod session;
