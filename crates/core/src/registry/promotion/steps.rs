//! Steps of a replacement: asks the members, keeps the primary or chooses a member, and calls the
//! promotion authority.
//!
//! Each step moves the group to its next phase. The most advanced member that answered is chosen; a
//! member that the authority refused, or that did not become primary, is excluded for a time.

use super::evidence::{best_candidate, primary_of, statuses};
use super::{
    GroupContext, GroupState, LOG_TARGET, Phase, PromotionAction, PromotionManager, Reason,
};
use crate::registry::back_end::{BackEndRole, BackEndState};
use crate::registry::state::RegistryCommand;
use std::collections::BTreeMap;

impl PromotionManager {
    /// Asks the candidates of the group for their status, and, where replicas are held, every member whose log
    /// counts. If an earlier request allowed no choice, asks a primary that may be back as well.
    pub(super) fn ask_members(
        &self,
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let GroupContext { now, state, group, holds_replicas, .. } = context;
        group_state.refused.retain(|_, until| now < *until);
        let Phase::Asking { suspect, answers: earlier, .. } = &group_state.phase else { return };
        let (suspect, is_repeated) = (suspect.clone(), !earlier.is_empty());
        if is_repeated {
            log::info!(
                target: LOG_TARGET, group:% = group, asked = earlier.len(),
                answered = statuses(earlier).count(),
                without_successor = state.replicas_without_successor(group).count();
                "answers allow no choice: members are asked again"
            );
        }
        let primary = primary_of(state, group);
        let asks_primary =
            is_repeated && group_state.reason == Reason::Unreachable && group_state.open_calls == 0;
        let mut answers = BTreeMap::new();
        let members = state.back_ends().filter(|(_, back_end)| back_end.group == *group);
        for (member, back_end) in members {
            let is_primary = primary.as_ref() == Some(member);
            let is_suspect = suspect.as_ref() == Some(member);
            let is_candidate =
                back_end.state == BackEndState::Ready && !group_state.refused.contains_key(member);
            let is_excluded_primary = is_primary && !is_suspect && !asks_primary;
            group_state.known.insert(member.clone());
            if is_excluded_primary || !(is_candidate || holds_replicas) {
                continue;
            }
            answers.insert(member.clone(), None);
            // A primary that may serve keeps running.
            let hold = holds_replicas && !is_primary;
            actions.push(PromotionAction::RequestStatus {
                group: group.clone(),
                member: member.clone(),
                address: back_end.address,
                hold,
                asked_at: now,
            });
        }
        group_state.phase = Phase::Asking { since: now, suspect, answers };
    }

    /// Keeps the primary, and releases the members that were held.
    pub(super) fn keep_primary(
        &mut self,
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let group = context.group;
        log::info!(target: LOG_TARGET, group:% = group; "primary is kept");
        // Gateways that still cannot reach the primary report it again.
        self.unreachable_reports.retain(|(suspected, _), _| suspected != group);
        Self::end_replacement(context, group_state, actions);
    }

    /// Proposes to promote the most advanced member that answered.
    pub(super) fn choose_candidate(
        &mut self,
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let GroupContext { now, group, .. } = context;
        let Phase::Asking { answers, .. } = &group_state.phase else { return };
        let Some((target, status)) = best_candidate(context, group_state, answers) else {
            group_state.ask_anew(None);
            return;
        };
        let target = target.clone();
        log::info!(
            target: LOG_TARGET, group:% = group, member:% = target, received:% = status.received;
            "member is to be promoted"
        );
        self.unreachable_reports.remove(&(group.clone(), target.clone()));
        let command = RegistryCommand::Promote { group: group.clone(), target: target.clone() };
        actions.push(PromotionAction::Propose(command));
        group_state.phase = Phase::Deciding { since: now, target };
    }

    /// Calls the authority, and ends the phase when the member is primary or is given up.
    pub(super) fn call_authority(
        &self,
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let GroupContext { now, state, group, .. } = context;
        let Phase::Calling { since, target, fence, next_call, in_flight, accepted } =
            &mut group_state.phase
        else {
            return;
        };
        let back_end = state.back_end(target);
        if back_end.is_some_and(|back_end| back_end.role == BackEndRole::Primary) {
            log::info!(
                target: LOG_TARGET, group:% = group, member:% = target, fence = *fence,
                after_ms = (now - *since).as_millis() as u64;
                "member leads"
            );
            Self::end_replacement(context, group_state, actions);
            return;
        }
        let is_gone = back_end.is_none_or(|back_end| back_end.state == BackEndState::Draining);
        if is_gone || now.saturating_since(*since) >= self.settings.promotion_timeout {
            log::warn!(
                target: LOG_TARGET, group:% = group, member:% = target, fence = *fence;
                "promoted member did not become primary"
            );
            group_state.refused.insert(target.clone(), now + self.settings.refusal_cooldown);
            group_state.ask_anew(None);
            return;
        }
        if !*in_flight && !*accepted && now >= *next_call {
            *in_flight = true;
            group_state.open_calls += 1;
            let (target, fence) = (target.clone(), *fence);
            actions.push(PromotionAction::RequestPromotion { group: group.clone(), target, fence });
        }
    }
}
