//! What the registry and the members' answers allow: who may be chosen, and whether enough is known to choose.
//!
//! Owns nothing. Relies on answers that were asked for after the primary went out of reach.

use super::super::back_end::{BackEndRole, BackEndState, RegisteredBackEnd};
use super::super::state::RegistryState;
use super::messages::MemberAnswer;
use crate::identity::{GroupName, MemberName};
use crate::statement::MemberStatus;
use std::collections::BTreeMap;

/// The member that leads a group as far as the registry knows.
pub(super) fn primary_of(state: &RegistryState, group: &GroupName) -> Option<MemberName> {
    let leads = |member: &MemberName| {
        state.back_end(member).is_some_and(|it| it.role == BackEndRole::Primary)
    };
    let promoted = state.promotion(group).map(|promotion| promotion.target.clone());
    promoted.filter(leads).or_else(|| {
        let mut members = state.back_ends().filter(|(_, it)| it.group == *group);
        members.find(|(_, it)| it.role == BackEndRole::Primary).map(|(name, _)| name.clone())
    })
}

pub(super) fn candidates<'s>(
    state: &'s RegistryState,
    group: &'s GroupName,
) -> impl Iterator<Item = (&'s MemberName, &'s RegisteredBackEnd)> {
    let members = state.back_ends().map(|(name, it)| (name, it.as_ref()));
    members.filter(move |(_, it)| it.group == *group && it.state == BackEndState::Ready)
}

/// What the answers so far allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// A member leads and answers.
    PrimaryServes,
    /// A choice, and nothing more will come.
    Complete,
    /// A choice; more may come.
    Enough,
    /// The suspected primary may be alive.
    Doubtful,
    /// No choice yet.
    Lacking,
}

pub(super) type Answers = BTreeMap<MemberName, Option<MemberAnswer>>;

pub(super) fn statuses(
    answers: &Answers,
) -> impl Iterator<Item = (&MemberName, &MemberStatus)> + Clone {
    answers.iter().filter_map(|(name, answer)| match answer {
        Some(MemberAnswer::Status(status)) => Some((name, status)),
        _ => None,
    })
}

/// Judges the answers: one replica's is enough, but every replica's is needed where the log of any
/// of them may hold the only copy of an acknowledged commit; a primary that is only suspected must
/// be out of the leader's reach as well.
pub(super) fn judge(
    state: &RegistryState,
    group: &GroupName,
    suspect: Option<&MemberName>,
    answers: &Answers,
    holds: bool,
) -> Evidence {
    if statuses(answers).any(|(_, status)| status.primary) {
        return Evidence::PrimaryServes;
    }
    let answer_of = |name: &MemberName| answers.get(name).and_then(Option::as_ref);
    if suspect.is_some_and(|name| answer_of(name) != Some(&MemberAnswer::Unreachable)) {
        return Evidence::Doubtful;
    }
    let answered = |name: &MemberName| matches!(answer_of(name), Some(MemberAnswer::Status(_)));
    let primary = primary_of(state, group);
    let members = state.back_ends().filter(|(_, it)| it.group == *group).map(|(name, _)| name);
    let mut replicas = members.filter(|name| primary.as_ref() != Some(name));
    let enough = if holds { replicas.all(answered) } else { replicas.any(answered) };
    match (enough, answers.values().all(Option::is_some)) {
        (true, true) => Evidence::Complete,
        (true, false) => Evidence::Enough,
        (false, _) => Evidence::Lacking,
    }
}
