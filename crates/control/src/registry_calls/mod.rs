//! Calls on behalf of the leader: to registered back ends, and to the authority that promotes them.
//!
//! What is called and when is decided by the core's promotion duty; how it is done by what the settings
//! bring as [`RegistryCalls`].

mod call;
mod caller;

pub(crate) use call::RegistryAnswer;
pub use call::{MemberCall, MemberCalls, PromotionAuthority, RegistryCalls};
pub(crate) use caller::RegistryCaller;
