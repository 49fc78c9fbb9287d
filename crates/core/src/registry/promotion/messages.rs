//! What the duty of promotions takes and asks for.

use super::super::state::RegistryCommand;
use crate::identity::{GroupName, MemberName, ProxyName};
use crate::statement::MemberStatus;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromotionSettings {
    /// How long answers of the members are waited for before the best of them is taken.
    pub answers_limit: Duration,
    /// How long a promoted member may take to lead before another decision.
    pub lead_limit: Duration,
    /// Pause before a call without an answer is made again.
    pub call_pause: Duration,
    /// How long a group may be without a primary before one is chosen.
    pub vacancy_limit: Duration,
    /// How long a member that the authority refused is not chosen again.
    pub refused_pause: Duration,
    /// How long a few gateways may not reach a primary before the leader looks for itself: by then
    /// the others have said the same, or are silent.
    pub suspicion_pause: Duration,
    /// How long a primary is kept that those who are heard do not reach while more gateways are
    /// silent: they may be on its side of a cut, and served by it.
    pub cut_patience: Duration,
}

/// The gateways as the leader hears of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayContact {
    /// Heard within the last moments.
    pub heard: usize,
    /// Not heard now, but not long ago.
    pub silent: usize,
}

impl Default for PromotionSettings {
    fn default() -> Self {
        Self {
            answers_limit: Duration::from_millis(350),
            lead_limit: Duration::from_millis(3_500),
            call_pause: Duration::from_millis(300),
            vacancy_limit: Duration::from_secs(3),
            refused_pause: Duration::from_secs(3),
            suspicion_pause: Duration::from_millis(800),
            cut_patience: Duration::from_secs(7),
        }
    }
}

/// What a gateway found when it used a member as primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachReport {
    /// The gateway.
    pub gateway: ProxyName,
    /// The group.
    pub group: GroupName,
    /// The member.
    pub member: MemberName,
    /// Whether it could be reached.
    pub reached: bool,
}

/// What came of a question to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAnswer {
    /// Nothing accepts connections at its address.
    Unreachable,
    /// It accepts connections and gave no answer: it may only have too much to do.
    Silent,
    /// Its status.
    Status(MemberStatus),
}

/// What the authority answered to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// It carries the call out.
    Accepted,
    /// It refuses: the fence is too low, or the member is not running.
    Refused,
    /// No answer: the call may be carried out later.
    Unknown,
}

/// What the leader must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionAction {
    /// Ask a member for its status.
    Ask {
        /// Its group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// Where it is.
        address: SocketAddr,
        /// Whether to keep it from receiving before it answers.
        hold: bool,
    },
    /// Let a member receive again that was held for a choice that is not made.
    Release {
        /// Its group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// Where it is.
        address: SocketAddr,
    },
    /// Put a decision into the log.
    Propose(RegistryCommand),
    /// Call the authority.
    Call {
        /// The group.
        group: GroupName,
        /// The member that shall lead.
        target: MemberName,
        /// The fence of the decision.
        fence: u64,
    },
}
