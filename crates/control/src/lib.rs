//! The control replica: consensus shell, resource interface, watch and failover.
//!
//! One thread owns the replica, its log and its state (see the `consensus` module);
//! arbiters serve the sockets round it and reach it through a channel.

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
pub use error::{ControlError, RequestError};
pub use identity::{Identity, find_identity};
pub use registry::{RegistryError, RegistryHandle};
pub use registry_calls::{MemberCall, MemberCalls, PromotionAuthority, RegistryCalls};
pub use replica::{ControlHandle, ControlReplica};
pub use settings::{CellStart, ControlListeners, ControlSettings, PlatformSource};
