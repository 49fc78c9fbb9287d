//! Events that the failover manager handles and actions that it requests.
//!
//! The calling process performs each action and answers it with an event, also when the action failed.

use super::evidence::MemberHealth;
use crate::backend::MemberStatus;
use crate::identity::{GroupName, MemberName, ProxyName};
use crate::position::{Position, Term};
use crate::state::command::{Command, Outcome};
use std::net::SocketAddr;

/// Identifies a proposal among those of one manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalId(pub u64);

/// The member of a group that a call goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTarget {
    /// Group of the member.
    pub group: GroupName,
    /// Name of the member within the group.
    pub member: MemberName,
    /// Address of the member.
    pub address: SocketAddr,
    /// Database to connect to.
    pub database: String,
}

/// An action that the calling process performs. Every action gets an answer, also when it failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Propose a command, and report with [`FailoverEvent::Proposed`].
    Propose {
        /// Identifies the proposal in the report.
        proposal: ProposalId,
        /// Command for the control log.
        command: Command,
    },
    /// Ask a member for its status, and report with [`FailoverEvent::Probed`].
    Probe(CallTarget),
    /// Make a member promise a term, and report with [`FailoverEvent::Fenced`].
    Fence {
        /// Member to fence.
        target: CallTarget,
        /// Term that the member must promise.
        term: Term,
    },
    /// Make a fenced member primary, and report with [`FailoverEvent::Promoted`].
    Promote {
        /// Member to promote; it is fenced at the term.
        target: CallTarget,
        /// Term of the new primary.
        term: Term,
    },
}

/// Why a fence or a promotion did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// The member has promised a higher term, given if the answer names it.
    #[error("a higher term was promised")]
    HigherTerm(Option<Term>),
    /// The call had no answer or another error; it may have taken effect or not.
    #[error("the call failed")]
    Failed,
}

/// A member's answer to a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Highest term that the member promised.
    pub promised: Term,
    /// Term and index of the last entry of the member's log.
    pub last_position: Position,
}

/// An observation, or the answer to an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// A proxy saw a change in the health of a member.
    Observed {
        /// Proxy that reports.
        proxy: ProxyName,
        /// Group of the member.
        group: GroupName,
        /// Member that was observed.
        member: MemberName,
        /// Health that the proxy found.
        health: MemberHealth,
    },
    /// Answer to [`FailoverAction::Probe`].
    Probed {
        /// Group of the member.
        group: GroupName,
        /// Member that was called.
        member: MemberName,
        /// Status of the member; none when the member did not answer.
        status: Option<MemberStatus>,
    },
    /// Answer to [`FailoverAction::Fence`].
    Fenced {
        /// Group of the member.
        group: GroupName,
        /// Member that was called.
        member: MemberName,
        /// Term of the call.
        term: Term,
        /// The member's answer, or why the call failed.
        result: Result<FenceAnswer, CallFailure>,
    },
    /// Answer to [`FailoverAction::Promote`].
    Promoted {
        /// Group of the member.
        group: GroupName,
        /// Member that was called.
        member: MemberName,
        /// Term of the call.
        term: Term,
        /// Position of an entry of the new term that a majority holds, or why the call failed.
        result: Result<Position, CallFailure>,
    },
    /// Answer to [`FailoverAction::Propose`].
    Proposed {
        /// Proposal that the outcome belongs to.
        proposal: ProposalId,
        /// Outcome after the command was committed and applied; none when the outcome is unknown.
        outcome: Option<Outcome>,
    },
}
