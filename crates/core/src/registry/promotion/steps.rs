//! The steps of a replacement: asks the members, leaves the lead where it is or chooses a member,
//! and calls the authority.
//!
//! Each step goes on to the next phase of the group. The most advanced member that answered is chosen; a member
//! that the authority refused, or that did not come to lead, is left aside for a time.

use super::evidence::{candidates, primary_of, statuses};
use super::{GroupDuty, LOG_TARGET, Phase, PromotionAction, PromotionDuty};
use crate::identity::GroupName;
use crate::position::Position;
use crate::registry::back_end::{BackEndRole, BackEndState};
use crate::registry::state::{RegistryCommand, RegistryState};
use crate::time::Timestamp;
use std::collections::BTreeMap;

impl PromotionDuty {
    pub(super) fn ask(
        &self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        duty: &mut GroupDuty,
        holds: bool,
        actions: &mut Vec<PromotionAction>,
    ) {
        duty.refused.retain(|_, until| now < *until);
        let Phase::Asking { suspect, .. } = &duty.phase else { return };
        let suspect = suspect.clone();
        let primary = primary_of(state, group);
        let mut answers = BTreeMap::new();
        for (member, back_end) in candidates(state, group) {
            let leads = primary.as_ref() == Some(member) && suspect.as_ref() != Some(member);
            if leads || duty.refused.contains_key(member) {
                continue;
            }
            answers.insert(member.clone(), None);
            actions.push(PromotionAction::Ask {
                group: group.clone(),
                member: member.clone(),
                address: back_end.address,
                // A primary that is only suspected goes on.
                hold: holds && suspect.as_ref() != Some(member),
            });
        }
        duty.phase = Phase::Asking { since: now, suspect, answers };
    }

    /// Leaves the lead where it is; what was held receives again.
    pub(super) fn stand_down(
        &mut self,
        state: &RegistryState,
        group: &GroupName,
        duty: &mut GroupDuty,
        holds: bool,
        actions: &mut Vec<PromotionAction>,
    ) {
        log::info!(target: LOG_TARGET, group:% = group; "the lead stays where it is");
        if holds {
            actions.extend(candidates(state, group).map(|(member, back_end)| {
                let (group, member) = (group.clone(), member.clone());
                PromotionAction::Release { group, member, address: back_end.address }
            }));
        }
        // Gateways that still do not reach the primary say so again.
        self.unreached.retain(|(suspected, _), _| suspected != group);
        duty.phase = Phase::Steady;
    }

    /// The most advanced member that answered.
    pub(super) fn choose(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        duty: &mut GroupDuty,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Phase::Asking { answers, .. } = &duty.phase else { return };
        let order = |position: &Position| (position.term, position.index);
        let best = statuses(answers).max_by_key(|(_, status)| order(&status.received));
        let Some((target, status)) = best else {
            duty.phase = Self::asking(None);
            return;
        };
        let target = target.clone();
        log::info!(
            target: LOG_TARGET, group:% = group, member:% = target, received:% = status.received;
            "member is to be promoted"
        );
        self.unreached.remove(&(group.clone(), target.clone()));
        let command = RegistryCommand::Promote { group: group.clone(), target: target.clone() };
        actions.push(PromotionAction::Propose(command));
        duty.phase = Phase::Deciding { since: now, target };
    }

    pub(super) fn call(
        &self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        duty: &mut GroupDuty,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Phase::Calling { since, target, fence, next_call, in_flight, accepted } =
            &mut duty.phase
        else {
            return;
        };
        let leads = state.back_end(target).is_some_and(|it| it.role == BackEndRole::Primary);
        if leads {
            log::info!(
                target: LOG_TARGET, group:% = group, member:% = target, fence = *fence,
                after_ms = (now - *since).as_millis() as u64;
                "member leads"
            );
            duty.phase = Phase::Steady;
            return;
        }
        let gone = state.back_end(target).is_none_or(|it| it.state == BackEndState::Draining);
        if gone || now.saturating_since(*since) >= self.settings.lead_limit {
            log::warn!(
                target: LOG_TARGET, group:% = group, member:% = target, fence = *fence;
                "member does not lead"
            );
            duty.refused.insert(target.clone(), now + self.settings.refused_pause);
            duty.phase = Self::asking(None);
            return;
        }
        if !*in_flight && !*accepted && now >= *next_call {
            *in_flight = true;
            let (target, fence) = (target.clone(), *fence);
            actions.push(PromotionAction::Call { group: group.clone(), target, fence });
        }
    }
}
