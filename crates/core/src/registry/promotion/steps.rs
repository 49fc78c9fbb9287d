//! Steps of a replacement: asks the members, keeps the primary or chooses a member, and calls the
//! promotion authority.
//!
//! Each step moves the group to its next phase. The most advanced member that answered is chosen; a
//! member that the authority refused, or that did not become primary, is excluded for a time.

use super::evidence::{candidates, primary_of, statuses};
use super::{GroupState, LOG_TARGET, Phase, PromotionAction, PromotionManager};
use crate::identity::GroupName;
use crate::position::Position;
use crate::registry::back_end::{BackEndRole, BackEndState};
use crate::registry::state::{RegistryCommand, RegistryState};
use crate::time::Timestamp;
use std::collections::BTreeMap;

impl PromotionManager {
    /// Asks the candidates of the group for their status.
    pub(super) fn ask_members(
        &self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        group_state: &mut GroupState,
        hold_replicas: bool,
        actions: &mut Vec<PromotionAction>,
    ) {
        group_state.refused.retain(|_, until| now < *until);
        let Phase::Asking { suspect, .. } = &group_state.phase else { return };
        let suspect = suspect.clone();
        let primary = primary_of(state, group);
        let mut answers = BTreeMap::new();
        for (member, back_end) in candidates(state, group) {
            let is_excluded_primary =
                primary.as_ref() == Some(member) && suspect.as_ref() != Some(member);
            if is_excluded_primary || group_state.refused.contains_key(member) {
                continue;
            }
            answers.insert(member.clone(), None);
            actions.push(PromotionAction::RequestStatus {
                group: group.clone(),
                member: member.clone(),
                address: back_end.address,
                // A primary that is only suspected keeps running.
                hold: hold_replicas && suspect.as_ref() != Some(member),
            });
        }
        group_state.phase = Phase::Asking { since: now, suspect, answers };
    }

    /// Keeps the primary, and releases the members that were held.
    pub(super) fn keep_primary(
        &mut self,
        state: &RegistryState,
        group: &GroupName,
        group_state: &mut GroupState,
        hold_replicas: bool,
        actions: &mut Vec<PromotionAction>,
    ) {
        log::info!(target: LOG_TARGET, group:% = group; "primary is kept");
        if hold_replicas {
            actions.extend(candidates(state, group).map(|(member, back_end)| {
                let (group, member) = (group.clone(), member.clone());
                PromotionAction::Release { group, member, address: back_end.address }
            }));
        }
        // Gateways that still cannot reach the primary report it again.
        self.unreachable_reports.retain(|(suspected, _), _| suspected != group);
        group_state.phase = Phase::Steady;
    }

    /// Proposes to promote the most advanced member that answered.
    pub(super) fn choose_candidate(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Phase::Asking { answers, .. } = &group_state.phase else { return };
        let order = |position: &Position| (position.term, position.index);
        let best = statuses(answers).max_by_key(|(_, status)| order(&status.received));
        let Some((target, status)) = best else {
            group_state.phase = Self::asking_phase(None);
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
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Phase::Calling { since, target, fence, next_call, in_flight, accepted } =
            &mut group_state.phase
        else {
            return;
        };
        let is_primary =
            state.back_end(target).is_some_and(|back_end| back_end.role == BackEndRole::Primary);
        if is_primary {
            log::info!(
                target: LOG_TARGET, group:% = group, member:% = target, fence = *fence,
                after_ms = (now - *since).as_millis() as u64;
                "member leads"
            );
            group_state.phase = Phase::Steady;
            return;
        }
        let is_gone =
            state.back_end(target).is_none_or(|back_end| back_end.state == BackEndState::Draining);
        if is_gone || now.saturating_since(*since) >= self.settings.promotion_timeout {
            log::warn!(
                target: LOG_TARGET, group:% = group, member:% = target, fence = *fence;
                "promoted member did not become primary"
            );
            group_state.refused.insert(target.clone(), now + self.settings.refusal_cooldown);
            group_state.phase = Self::asking_phase(None);
            return;
        }
        if !*in_flight && !*accepted && now >= *next_call {
            *in_flight = true;
            let (target, fence) = (target.clone(), *fence);
            actions.push(PromotionAction::RequestPromotion { group: group.clone(), target, fence });
        }
    }
}
