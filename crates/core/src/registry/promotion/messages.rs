//! What the duty of promotions takes in and asks for: its settings, the answers, the actions.

use super::super::state::RegistryCommand;
use crate::identity::{GroupName, MemberName, ProxyName};
use crate::statement::MemberStatus;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the duty, all times. Each is chosen, not measured, where nothing else is said at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromotionSettings {
    /// How long answers of the members are waited for before the best of them is taken: eight round trips
    /// between the users' regions. With less, a member that is more advanced may answer too late; with more, a
    /// group whose members are lost together stays longer without a primary.
    pub answers_limit: Duration,
    /// How long a promoted member may take to lead before another decision. With less, members that are
    /// merely slow are given up.
    pub lead_limit: Duration,
    /// Pause before a call to the authority without an answer is made again.
    pub call_pause: Duration,
    /// How long a group may be without a primary before one is chosen: members that register after a start
    /// have it to say that they lead.
    pub vacancy_limit: Duration,
    /// How long a member that the authority refused, or that did not come to lead, is not chosen again.
    pub refused_pause: Duration,
    /// How long a few gateways may not reach a primary before the leader asks it itself: by then
    /// the others have said the same, or are silent. With less, a cut that only a few see replaces a primary;
    /// with more, one that is gone stays longer where few gateways use it.
    pub suspicion_pause: Duration,
    /// How long a primary is kept that those who report do not reach while more gateways are
    /// silent: they may be on its side of a cut, and served by it. The cut of that day lasted 8 s.
    pub cut_patience: Duration,
}

/// The gateways as they report to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayContact {
    /// That reported within the last moments.
    pub reporting: usize,
    /// That don't report now, but did not long ago.
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
