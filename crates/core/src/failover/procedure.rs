//! The steps between the decision for a new term and its primary.
//!
//! Owns the data of each phase and the rule for which fenced member is promoted. Relies on [`super::decide`] to go
//! from one phase to the next.

use super::calls::CallTarget;
use super::evidence::{GroupEvidence, highest_promise};
use crate::identity::{GroupName, MemberName};
use crate::position::{Position, Term};
use crate::resources::{DatabaseGroupSpec, MemberSpec};
use crate::state::command::{FailoverStep, Refusal};
use crate::time::Timestamp;
use crate::view::GroupView;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where a group stands.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// It has a primary.
    Steady,
    /// The leader waits for a primary that the group may have already, for at least `patience`.
    Assessing { since: Timestamp, patience: Duration },
    /// A step is to be proposed, together with those of other groups.
    Decided(FailoverStep),
    /// A step is proposed.
    Proposed { step: FailoverStep, since: Timestamp },
    /// The term is committed and members are asked to promise it.
    Fencing(Fencing),
    /// One member is asked to become primary.
    Promoting(Promoting),
}

/// Outcome of one step of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StepResult {
    Accepted,
    Refused(Refusal),
    Unknown,
}

/// Members are asked to promise a term.
#[derive(Clone, Debug)]
pub(super) struct Fencing {
    pub term: Term,
    /// Ends of the logs of the members that promised exactly the term.
    pub answers: BTreeMap<MemberName, Position>,
    /// When a majority had answered.
    pub majority_at: Option<Timestamp>,
    /// When the members that have not answered are asked again.
    pub ask_at: Timestamp,
    pub attempts: u32,
}

impl Fencing {
    pub fn new(term: Term, now: Timestamp) -> Self {
        Self { term, answers: BTreeMap::new(), majority_at: None, ask_at: now, attempts: 0 }
    }

    /// The member to promote, once a majority is fenced.
    ///
    /// Every committed entry is held by some member of any majority, so the most
    /// advanced member of a fenced majority holds them all. Members that are not
    /// draining are taken alone when they are a majority by themselves; else one
    /// that is not draining wins among equally advanced ones.
    pub fn most_advanced(&self, view: &GroupView) -> Option<&MemberName> {
        let majority = view.spec.majority();
        let staying = |name: &MemberName| !view.draining.contains(name);
        let fenced = || self.answers.iter().filter(|(name, _)| view.spec.member(name).is_some());
        if fenced().count() < majority {
            return None;
        }
        let enough_stay = fenced().filter(|(name, _)| staying(name)).count() >= majority;
        let candidates = fenced().filter(|(name, _)| !enough_stay || staying(name));
        let best = candidates.max_by_key(|(name, last)| (**last, staying(name)));
        best.map(|(name, _)| name)
    }

    /// Whether every member has answered.
    pub fn is_complete(&self, spec: &DatabaseGroupSpec) -> bool {
        spec.members.iter().all(|member| self.answers.contains_key(&member.name))
    }
}

/// One member is asked to become primary. Invariant: no other is in this term.
#[derive(Clone, Debug)]
pub(super) struct Promoting {
    pub term: Term,
    pub member: MemberName,
    /// When it is asked, or asked again.
    pub ask_at: Timestamp,
    pub attempts: u32,
}

impl Promoting {
    pub const fn new(term: Term, member: MemberName, now: Timestamp) -> Self {
        Self { term, member, ask_at: now, attempts: 0 }
    }
}

/// Where a call to a member goes.
pub(super) fn target(
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

/// The step that begins a term above all that are known.
pub(super) fn begin_step(evidence: &GroupEvidence, view: &GroupView) -> FailoverStep {
    let highest = highest_promise(evidence).max(view.term);
    FailoverStep::Begin { term: Term(highest.0 + 1) }
}
