//! Phases of a failover, from the decision to begin a term to its primary.
//!
//! The module defines the data of each phase and the rule for which fenced member is promoted.
//! [`super::decide`] moves a group from one phase to the next.

use super::calls::CallTarget;
use super::evidence::{GroupEvidence, highest_promised_term};
use crate::identity::{GroupName, MemberName};
use crate::position::{Position, Term};
use crate::resources::{DatabaseGroupSpec, MemberSpec};
use crate::state::command::{FailoverStep, Refusal};
use crate::time::Timestamp;
use crate::view::GroupView;
use std::collections::BTreeMap;
use std::time::Duration;

/// Phase of a group.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The group has a primary.
    Steady,
    /// The leader waits at least `min_wait` for a primary that the group may have already.
    Assessing { since: Timestamp, min_wait: Duration },
    /// A step is to be proposed, in one command with the steps of other groups.
    Decided(FailoverStep),
    /// A step is proposed, and its outcome is not known yet.
    Proposed { step: FailoverStep, since: Timestamp },
    /// The term is committed, and the leader asks the members to promise it.
    Fencing(Fencing),
    /// The leader asks one member to become primary.
    Promoting(Promoting),
}

/// Outcome of one step of a proposed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StepResult {
    Accepted,
    Refused(Refusal),
    Unknown,
}

/// State of the phase in which the leader asks the members to promise a term.
#[derive(Clone, Debug)]
pub(super) struct Fencing {
    pub term: Term,
    /// Last log positions of the members that promised exactly this term.
    pub answers: BTreeMap<MemberName, Position>,
    /// When a majority of the members had answered.
    pub majority_at: Option<Timestamp>,
    /// When the members that have not answered are asked next.
    pub next_ask_at: Timestamp,
    pub attempts: u32,
}

impl Fencing {
    pub fn new(term: Term, now: Timestamp) -> Self {
        Self { term, answers: BTreeMap::new(), majority_at: None, next_ask_at: now, attempts: 0 }
    }

    /// Returns the member to promote, once a majority is fenced.
    ///
    /// Every committed entry is held by some member of any majority, so the most
    /// advanced member of a fenced majority holds all committed entries. If the members
    /// that are not draining form a majority, only they are candidates; otherwise a member
    /// that is not draining is preferred among equally advanced members.
    pub fn most_advanced(&self, view: &GroupView) -> Option<&MemberName> {
        let majority = view.spec.majority();
        let not_draining = |name: &MemberName| !view.draining.contains(name);
        let fenced = || self.answers.iter().filter(|(name, _)| view.spec.member(name).is_some());
        if fenced().count() < majority {
            return None;
        }
        let has_majority_not_draining =
            fenced().filter(|(name, _)| not_draining(name)).count() >= majority;
        let candidates =
            fenced().filter(|(name, _)| !has_majority_not_draining || not_draining(name));
        let best = candidates.max_by_key(|(name, last)| (**last, not_draining(name)));
        best.map(|(name, _)| name)
    }

    /// Reports whether every member has answered.
    pub fn is_complete(&self, spec: &DatabaseGroupSpec) -> bool {
        spec.members.iter().all(|member| self.answers.contains_key(&member.name))
    }
}

/// State of the phase in which the leader asks one member to become primary. Invariant: no other
/// member is asked in this term.
#[derive(Clone, Debug)]
pub(super) struct Promoting {
    pub term: Term,
    pub member: MemberName,
    /// When the member is asked next.
    pub next_ask_at: Timestamp,
    pub attempts: u32,
}

impl Promoting {
    pub const fn new(term: Term, member: MemberName, now: Timestamp) -> Self {
        Self { term, member, next_ask_at: now, attempts: 0 }
    }
}

/// Returns the target of a call to a member.
pub(super) fn call_target(
    group: &GroupName,
    spec: &DatabaseGroupSpec,
    member: &MemberSpec,
) -> CallTarget {
    CallTarget {
        group: group.clone(),
        member: member.name.clone(),
        address: member.address,
        database: spec.database.clone(),
    }
}

/// Returns the step that begins a term above every known term.
pub(super) fn failover_begin_step(evidence: &GroupEvidence, view: &GroupView) -> FailoverStep {
    let highest = highest_promised_term(evidence).max(view.term);
    FailoverStep::Begin { term: Term(highest.0 + 1) }
}
