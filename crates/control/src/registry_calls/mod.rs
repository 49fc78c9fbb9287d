//! The leader's calls to registered back ends, and to the authority that promotes them.
//!
//! The core's promotion duty decides on the calls. The implementation comes with the settings, as
//! [`RegistryCalls`].

mod call;
mod caller;
mod order;

pub(crate) use call::RegistryAnswer;
pub use call::{MemberCalls, MemberTarget, PromotionAuthority, RegistryCalls};
pub(crate) use caller::RegistryCaller;
pub(crate) use order::CallOrder;
