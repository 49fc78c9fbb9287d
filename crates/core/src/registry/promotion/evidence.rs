//! Candidates for a promotion, and whether the members' answers suffice to choose among them.
//!
//! The module holds no state. The answers must have been requested after the primary became unreachable.

use super::super::back_end::{BackEndRole, BackEndState, RegisteredBackEnd};
use super::super::state::RegistryState;
use super::messages::MemberAnswer;
use crate::identity::{GroupName, MemberName};
use crate::statement::MemberStatus;
use std::collections::BTreeMap;

/// Returns the primary of a group according to the registry.
pub(super) fn primary_of(state: &RegistryState, group: &GroupName) -> Option<MemberName> {
    let is_primary = |member: &MemberName| {
        state.back_end(member).is_some_and(|back_end| back_end.role == BackEndRole::Primary)
    };
    let promoted = state.promotion(group).map(|promotion| promotion.target.clone());
    promoted.filter(is_primary).or_else(|| {
        let mut members = state.back_ends().filter(|(_, back_end)| back_end.group == *group);
        members
            .find(|(_, back_end)| back_end.role == BackEndRole::Primary)
            .map(|(name, _)| name.clone())
    })
}

/// Returns the members of a group that are ready.
pub(super) fn candidates<'s>(
    state: &'s RegistryState,
    group: &'s GroupName,
) -> impl Iterator<Item = (&'s MemberName, &'s RegisteredBackEnd)> {
    let members = state.back_ends().map(|(name, back_end)| (name, back_end.as_ref()));
    members.filter(move |(_, back_end)| {
        back_end.group == *group && back_end.state == BackEndState::Ready
    })
}

/// Whether the answers so far allow a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerAssessment {
    /// A member answers that it is primary.
    PrimaryServes,
    /// The answers allow a choice, and no answer is outstanding.
    Complete,
    /// The answers allow a choice, and more answers may arrive.
    Sufficient,
    /// The suspected primary is not known to be unreachable for the leader, and may still serve.
    SuspectMayServe,
    /// The answers do not allow a choice yet.
    Insufficient,
}

/// Answers by member; none while an answer is outstanding.
pub(super) type Answers = BTreeMap<MemberName, Option<MemberAnswer>>;

/// Returns the members that answered with their status.
pub(super) fn statuses(
    answers: &Answers,
) -> impl Iterator<Item = (&MemberName, &MemberStatus)> + Clone {
    answers.iter().filter_map(|(name, answer)| match answer {
        Some(MemberAnswer::Status(status)) => Some((name, status)),
        _ => None,
    })
}

/// Assesses the answers. One replica's status suffices, unless the log of any replica may hold the
/// only copy of an acknowledged commit (`hold_replicas`): then the status of every replica is needed.
/// A primary that is only suspected must be unreachable for the leader as well.
pub(super) fn assess_answers(
    state: &RegistryState,
    group: &GroupName,
    suspect: Option<&MemberName>,
    answers: &Answers,
    hold_replicas: bool,
) -> AnswerAssessment {
    if statuses(answers).any(|(_, status)| status.primary) {
        return AnswerAssessment::PrimaryServes;
    }
    let answer_of = |name: &MemberName| answers.get(name).and_then(Option::as_ref);
    if suspect.is_some_and(|name| answer_of(name) != Some(&MemberAnswer::Unreachable)) {
        return AnswerAssessment::SuspectMayServe;
    }
    let answered = |name: &MemberName| matches!(answer_of(name), Some(MemberAnswer::Status(_)));
    let primary = primary_of(state, group);
    let members =
        state.back_ends().filter(|(_, back_end)| back_end.group == *group).map(|(name, _)| name);
    let mut replicas = members.filter(|name| primary.as_ref() != Some(name));
    let sufficient = if hold_replicas { replicas.all(answered) } else { replicas.any(answered) };
    match (sufficient, answers.values().all(Option::is_some)) {
        (true, true) => AnswerAssessment::Complete,
        (true, false) => AnswerAssessment::Sufficient,
        (false, _) => AnswerAssessment::Insufficient,
    }
}
