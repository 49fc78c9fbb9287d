//! The consensus thread: the one place that owns the replica, its log and its state.
//!
//! Everything reaches it as a [`ConsensusInput`] through a channel, so nothing here
//! needs a lock. It performs the core's actions in their order: what a batch of
//! inputs wants persisted is synced before anything of the batch is sent,
//! applied or answered.

mod apply;
mod handle;
mod inputs;
mod outcomes;
mod pending;
mod repair;
mod status;
mod thread;

pub(crate) use handle::{ConsensusHandle, ConsensusInput, ProxyRevisions, StateReader};
pub use status::ReplicaStatus;
pub(crate) use thread::{ConsensusParts, ConsensusThread};
