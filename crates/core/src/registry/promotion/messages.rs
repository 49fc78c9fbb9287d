//! Settings, inputs and actions of the replacement of primaries.

use super::super::state::RegistryCommand;
use crate::identity::{GroupName, MemberName, ProxyName};
use crate::statement::MemberStatus;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeouts and delays of the replacement of primaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromotionSettings {
    /// How long the leader waits for the members' answers before it chooses among those received:
    /// eight round trips between the users' regions. With less time, a more advanced member may
    /// answer too late; with more, a group whose members are lost together stays longer without a
    /// primary.
    pub answer_timeout: Duration,
    /// How long a promoted member may take to become primary before the leader decides anew. With
    /// less time, members that are merely slow are given up.
    pub promotion_timeout: Duration,
    /// Delay before the leader retries a call to the promotion authority that had no answer.
    pub call_retry_delay: Duration,
    /// How long a group may be without a primary before the leader promotes a member. Members that
    /// register after a start have this time to report that they are primary.
    pub vacancy_timeout: Duration,
    /// How long a member is not chosen again after the authority refused it or it did not become
    /// primary.
    pub refusal_cooldown: Duration,
    /// How long a primary may be unreachable for a few gateways before the leader asks the primary
    /// itself: by then the other gateways have reported the same, or are silent. With less time, a
    /// network partition that only a few gateways see replaces a primary; with more, a lost primary
    /// that few gateways use stays in place longer.
    pub suspicion_delay: Duration,
    /// How long the leader keeps a primary that is unreachable for the reporting gateways while
    /// more gateways are silent: the silent gateways may be on the primary's side of a network
    /// partition and be served by it. One such partition lasted 8 s.
    pub partition_grace: Duration,
}

/// Numbers of gateways that report to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayContact {
    /// Number of gateways that reported recently.
    pub reporting: usize,
    /// Number of gateways that have not reported recently, but did shortly before.
    pub silent: usize,
}

impl Default for PromotionSettings {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_millis(350),
            promotion_timeout: Duration::from_millis(3_500),
            call_retry_delay: Duration::from_millis(300),
            vacancy_timeout: Duration::from_secs(3),
            refusal_cooldown: Duration::from_secs(3),
            suspicion_delay: Duration::from_millis(800),
            partition_grace: Duration::from_secs(7),
        }
    }
}

/// Whether a gateway reached a member that it used as primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachReport {
    /// Gateway that reports.
    pub gateway: ProxyName,
    /// Group of the member.
    pub group: GroupName,
    /// Member that the gateway used as primary.
    pub member: MemberName,
    /// Whether the gateway reached the member.
    pub reached: bool,
}

/// Result of asking a member for its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAnswer {
    /// No process accepts connections at the member's address.
    Unreachable,
    /// The member accepts connections but did not answer; it may only be overloaded.
    Silent,
    /// The member answered with its status.
    Status(MemberStatus),
}

/// Answer of the promotion authority to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The authority performs the promotion.
    Accepted,
    /// The authority refuses: the fence is too low, or the member is not running.
    Refused,
    /// No answer arrived: the authority may still perform the promotion.
    Unknown,
}

/// An action that the leader performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionAction {
    /// Ask a member for its status.
    RequestStatus {
        /// Group of the member.
        group: GroupName,
        /// Member to ask.
        member: MemberName,
        /// Address of the member.
        address: SocketAddr,
        /// Whether the member must stop receiving from the primary before it answers.
        hold: bool,
        /// Time of the request, which its answer must name.
        asked_at: Timestamp,
    },
    /// Let a member receive from the primary again after it was held. This call and those that hold the
    /// member must be made one after the other, in the order of the actions.
    Release {
        /// Group of the member.
        group: GroupName,
        /// Member to release.
        member: MemberName,
        /// Address of the member.
        address: SocketAddr,
    },
    /// Propose a decision to the log.
    Propose(RegistryCommand),
    /// Call the promotion authority.
    RequestPromotion {
        /// Group of the member.
        group: GroupName,
        /// Member to promote.
        target: MemberName,
        /// Fence of the decision, its index in the log.
        fence: u64,
    },
}
