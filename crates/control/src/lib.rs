//! A control replica: consensus, the resource interface for operators, the watch for proxies, and failover.
//!
//! One thread owns the replica, its log and its state (see the `consensus` module). Arbiters serve the
//! sockets and send requests to this thread through a channel.

pub mod api;
mod back_end;
mod backoff;
mod cell;
mod clock;
mod consensus;
mod error;
mod feed;
mod http;
mod identity;
mod joining;
mod leader;
mod metrics;
mod platform;
mod proxies;
mod recovered;
mod registry;
mod registry_calls;
mod render;
mod replica;
mod settings;
mod starting;
mod state_codec;
mod stop;

pub use consensus::ReplicaStatus;
pub use error::{Causes, ControlError, RequestError};
pub use identity::{Identity, find_identity};
pub use registry::{RegistryError, RegistryHandle};
pub use registry_calls::{MemberCalls, MemberTarget, PromotionAuthority, RegistryCalls};
pub use replica::{ControlHandle, ControlReplica};
pub use settings::{CellStart, ControlListeners, ControlSettings, PlatformSource};
