//! What the failover manager takes in and what it wants done.
//!
//! Forms only: the shell carries out each action and answers it with an event, if only that it failed.

use super::evidence::MemberHealth;
use crate::backend::MemberStatus;
use crate::identity::{GroupName, MemberName, ProxyName};
use crate::position::{Position, Term};
use crate::state::command::{Command, Outcome};
use std::net::SocketAddr;

/// Number of a proposal of one manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalId(pub u64);

/// The member of a group that a call goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallTarget {
    /// The group.
    pub group: GroupName,
    /// The member.
    pub member: MemberName,
    /// Its address.
    pub address: SocketAddr,
    /// Database to connect to.
    pub database: String,
}

/// What the shell is to do. Every call gets an answer, if only that it failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Propose a command, and report with [`FailoverEvent::Proposed`].
    Propose {
        /// Number for the report.
        proposal: ProposalId,
        /// The command.
        command: Command,
    },
    /// Ask a member for its status, and report with [`FailoverEvent::Probed`].
    Probe(CallTarget),
    /// Make a member promise a term, and report with [`FailoverEvent::Fenced`].
    Fence {
        /// The member.
        target: CallTarget,
        /// The term.
        term: Term,
    },
    /// Make a fenced member primary, and report with [`FailoverEvent::Promoted`].
    Promote {
        /// The member.
        target: CallTarget,
        /// The term.
        term: Term,
    },
}

/// Why a fence or a promotion did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// The member promised a higher term, named where the answer does.
    #[error("a higher term was promised")]
    HigherTerm(Option<Term>),
    /// No answer, or another error: it may or may not have happened.
    #[error("the call failed")]
    Failed,
}

/// A member's answer to a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceAnswer {
    /// The highest term it promised.
    pub promised: Term,
    /// Term and index of the last entry of its log.
    pub last_position: Position,
}

/// What the manager takes in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverEvent {
    /// A proxy saw a change in the health of a member.
    Observed {
        /// The proxy.
        proxy: ProxyName,
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// What it saw.
        health: MemberHealth,
    },
    /// Answer to [`FailoverAction::Probe`]; none when the member gave none.
    Probed {
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// What it said.
        status: Option<MemberStatus>,
    },
    /// Answer to [`FailoverAction::Fence`].
    Fenced {
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// Term of the call.
        term: Term,
        /// What it answered.
        result: Result<FenceAnswer, CallFailure>,
    },
    /// Answer to [`FailoverAction::Promote`].
    Promoted {
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// Term of the call.
        term: Term,
        /// An entry of the new term that a majority holds.
        result: Result<Position, CallFailure>,
    },
    /// Answer to [`FailoverAction::Propose`].
    Proposed {
        /// Number of the proposal.
        proposal: ProposalId,
        /// The outcome once committed and applied; none when it is not known.
        outcome: Option<Outcome>,
    },
}
