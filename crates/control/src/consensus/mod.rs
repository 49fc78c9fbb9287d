//! The consensus thread: the one place that owns the replica, its log and its state.
//!
//! Everything reaches it as a [`ConsensusInput`] through a channel, so nothing here
//! needs a lock. It performs the core's actions in their order: what a batch of
//! inputs wants persisted is synced before anything of the batch is sent,
//! applied or answered.
//!
//! Relies on the core for every decision of the consensus, on the log for what is synced, and on the links
//! for what goes to other replicas. [`ConsensusHandle`] is how the rest of the process reaches it.

mod apply;
mod dispatch;
mod handle;
mod input;
mod outcomes;
mod pending;
mod proposals;
mod proxies;
mod repair;
mod repair_state;
mod status;
mod thread;

pub(crate) use handle::ConsensusHandle;
pub(crate) use input::{ConsensusInput, ProxyRevisions, StateReader};
pub use status::ReplicaStatus;
pub(crate) use thread::{ConsensusParts, ConsensusThread};
