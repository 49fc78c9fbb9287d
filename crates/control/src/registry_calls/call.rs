//! Calls about registered back ends, how they are made, and what came of them.

use corktack_core::identity::{GroupName, MemberName};
use corktack_core::registry::{MemberAnswer, PromotionAnswer};
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whom a call of a registered back end goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberCall {
    /// Its group.
    pub group: GroupName,
    /// The member.
    pub member: MemberName,
    /// Where it is.
    pub address: SocketAddr,
}

/// How the leader reaches registered back ends and the authority that promotes them.
#[derive(Clone, Debug)]
pub struct RegistryCalls {
    /// How it reaches back ends.
    pub members: Arc<dyn MemberCalls>,
    /// The authority.
    pub authority: Arc<dyn PromotionAuthority>,
}

/// How the leader reaches registered back ends.
pub trait MemberCalls: Send + Sync + std::fmt::Debug {
    /// Requests a member's status; with `hold`, keeps it from receiving first, in a term above
    /// its own.
    fn status(&self, call: MemberCall, hold: bool) -> LocalBoxFuture<'static, MemberAnswer>;

    /// Lets a held member receive again.
    fn release(&self, call: MemberCall) -> LocalBoxFuture<'static, ()>;
}

/// The outside authority that promotes members.
pub trait PromotionAuthority: Send + Sync + std::fmt::Debug {
    /// Calls for a promotion, once, under the fence of the decision.
    fn promote(
        &self,
        group: GroupName,
        target: MemberName,
        fence: u64,
    ) -> LocalBoxFuture<'static, PromotionAnswer>;
}

/// What came of a call.
#[derive(Debug)]
pub(crate) enum RegistryAnswer {
    /// What came of a call of a member.
    Status(MemberCall, MemberAnswer),
    /// The authority's answer to the call under a fence.
    Promotion(GroupName, u64, PromotionAnswer),
}
