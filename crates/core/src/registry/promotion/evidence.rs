//! Candidates for a promotion, and whether the members' answers suffice to choose among them.
//!
//! The module holds no state. The answers must have been requested after the primary became unreachable.

use super::super::back_end::{BackEndRole, BackEndState, RegisteredBackEnd};
use super::super::state::RegistryState;
use super::group_state::Answers;
use super::messages::MemberAnswer;
use super::{GroupContext, GroupState, Phase};
use crate::identity::{GroupName, MemberName};
use crate::position::Term;
use crate::statement::MemberStatus;

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

/// Returns the members that answered with their status.
pub(super) fn statuses(
    answers: &Answers,
) -> impl Iterator<Item = (&MemberName, &MemberStatus)> + Clone {
    answers.iter().filter_map(|(name, answer)| match answer {
        Some(MemberAnswer::Status(status)) => Some((name, status)),
        _ => None,
    })
}

/// Order of logs: the log of a later term is ahead.
const fn log_order(status: &MemberStatus) -> (Term, u64) {
    (status.received.term, status.received.index)
}

/// Returns the most advanced replica that may be promoted, if its answer and those of the other replicas allow
/// the choice.
pub(super) fn best_candidate<'a>(
    context: GroupContext<'_>,
    group_state: &GroupState,
    answers: &'a Answers,
) -> Option<(&'a MemberName, &'a MemberStatus)> {
    let primary = primary_of(context.state, context.group);
    let replicas = statuses(answers).filter(|(name, _)| primary.as_ref() != Some(*name));
    let may_be_chosen = |name: &MemberName| {
        let back_end = context.state.back_end(name);
        let is_ready = back_end.is_some_and(|back_end| back_end.state == BackEndState::Ready);
        is_ready && !group_state.refused.contains_key(name)
    };
    let eligible = replicas.clone().filter(|(name, _)| may_be_chosen(name));
    let best = eligible.max_by_key(|(_, status)| log_order(status))?;
    let is_ahead =
        |(_, status): (&MemberName, &MemberStatus)| log_order(status) > log_order(best.1);
    let lacks_commits = context.holds_replicas && replicas.clone().any(is_ahead);
    (!lacks_commits).then_some(best)
}

/// Reports whether every log that may hold the only copy of an acknowledged commit has been read: those of all
/// replicas, also of the leaving ones, which receive and acknowledge until they end. The log of a replica that
/// left is at the successor at its address, once that one has registered.
fn all_logs_are_read(context: GroupContext<'_>, answers: &Answers) -> bool {
    let GroupContext { state, group, .. } = context;
    let has_answered =
        |name: &MemberName| matches!(answers.get(name), Some(Some(MemberAnswer::Status(_))));
    let primary = primary_of(state, group);
    let members =
        state.back_ends().filter(|(_, back_end)| back_end.group == *group).map(|(name, _)| name);
    let mut replicas = members.filter(|name| primary.as_ref() != Some(name));
    replicas.all(has_answered) && state.replicas_without_successor(group).next().is_none()
}

/// Assesses the answers. One replica's status suffices, unless the log of any replica may hold the
/// only copy of an acknowledged commit: then the status of every replica is needed. A primary that
/// is only suspected must be unreachable for the leader as well.
pub(super) fn assess_answers(
    context: GroupContext<'_>,
    group_state: &GroupState,
) -> AnswerAssessment {
    let Phase::Asking { suspect, answers, .. } = &group_state.phase else {
        return AnswerAssessment::Insufficient;
    };
    if statuses(answers).any(|(_, status)| status.primary) {
        return AnswerAssessment::PrimaryServes;
    }
    let answer_of = |name: &MemberName| answers.get(name).and_then(Option::as_ref);
    if suspect.as_ref().is_some_and(|name| answer_of(name) != Some(&MemberAnswer::Unreachable)) {
        return AnswerAssessment::SuspectMayServe;
    }
    let has_candidate = best_candidate(context, group_state, answers).is_some();
    let sufficient =
        has_candidate && (!context.holds_replicas || all_logs_are_read(context, answers));
    match (sufficient, answers.values().all(Option::is_some)) {
        (true, true) => AnswerAssessment::Complete,
        (true, false) => AnswerAssessment::Sufficient,
        (false, _) => AnswerAssessment::Insufficient,
    }
}
