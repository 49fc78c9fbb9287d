//! The consensus thread, which alone owns the replica, its log and its state.
//!
//! All inputs reach the thread as [`ConsensusInput`]s through a channel, so its data needs no lock. The core
//! decides, and the thread performs the core's actions in order: the entries of a batch of inputs are
//! synced before any message of the batch is sent, entry applied or request answered.
//!
//! The rest of the process reaches the thread through [`ConsensusHandle`].

mod apply;
mod dispatch;
mod handle;
mod input;
mod outage;
mod outcomes;
mod pending;
mod proposals;
mod proxies;
mod repair;
mod stalls;
mod status;
mod thread;

pub(crate) use handle::ConsensusHandle;
pub(crate) use input::{ConsensusInput, ProxyRevisions, StateReader};
pub use status::ReplicaStatus;
pub(crate) use thread::{ConsensusParts, ConsensusThread};
