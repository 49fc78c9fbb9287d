//! Calls about registered back ends: their targets, the traits that make them, and their results.

use corktack_core::identity::{GroupName, MemberName};
use corktack_core::registry::{MemberAnswer, PromotionAnswer};
use corktack_core::time::Timestamp;
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// The registered back end that a call goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTarget {
    /// The group that the member belongs to.
    pub group: GroupName,
    /// The member's name, which is unique in the registry.
    pub member: MemberName,
    /// The address that the call connects to.
    pub address: SocketAddr,
}

/// How the leader reaches registered back ends and the authority that promotes them.
#[derive(Clone, Debug)]
pub struct RegistryCalls {
    /// Calls the members themselves.
    pub members: Arc<dyn MemberCalls>,
    /// Calls the authority that promotes members.
    pub authority: Arc<dyn PromotionAuthority>,
}

/// Calls registered back ends on behalf of the leader.
pub trait MemberCalls: Send + Sync + std::fmt::Debug {
    /// Requests a member's status. With `hold`, first stops the member from receiving replication, in a
    /// term above its own.
    fn status(&self, call: MemberTarget, hold: bool) -> LocalBoxFuture<'static, MemberAnswer>;

    /// Lets a held member receive replication again.
    fn release(&self, call: MemberTarget) -> LocalBoxFuture<'static, ()>;
}

/// The external authority that promotes members.
pub trait PromotionAuthority: Send + Sync + std::fmt::Debug {
    /// Requests a promotion once, with the fencing token `fence` of the decision.
    fn promote(
        &self,
        group: GroupName,
        target: MemberName,
        fence: u64,
    ) -> LocalBoxFuture<'static, PromotionAnswer>;
}

/// The result of a call.
#[derive(Debug)]
pub(crate) enum RegistryAnswer {
    /// The result of a status call to a member, with the time at which the leader asked for it.
    Status(MemberTarget, Timestamp, MemberAnswer),
    /// The authority's answer to the promotion request with a fencing token.
    Promotion(GroupName, u64, PromotionAnswer),
}
