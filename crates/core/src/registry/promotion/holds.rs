//! Holding and releasing replicas in groups whose replicas may hold the only copy of an acknowledged commit.
//!
//! A replica that is held receives nothing, so that its answer stays true. All replicas stay held until the
//! replacement ends: as long as a decision may be carried out, a commit that is acknowledged anywhere else
//! would be lost by it.

use super::evidence::primary_of;
use super::{
    GroupContext, GroupState, LOG_TARGET, Phase, PromotionAction, PromotionManager, Reason,
};
use crate::registry::back_end::BackEndRole;

impl PromotionManager {
    /// Ends a replacement: a primary serves, and the members that were held receive from it again.
    pub(super) fn end_replacement(
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        group_state.phase = Phase::Steady;
        group_state.open_calls = 0;
        group_state.known.clear();
        Self::release_all(context, actions);
    }

    /// Releases all members of the group, where replicas are held.
    fn release_all(context: GroupContext<'_>, actions: &mut Vec<PromotionAction>) {
        let GroupContext { state, group, holds_replicas, .. } = context;
        if !holds_replicas {
            return;
        }
        for (member, back_end) in state.back_ends().filter(|(_, back_end)| back_end.group == *group)
        {
            let (group, member) = (group.clone(), member.clone());
            actions.push(PromotionAction::Release { group, member, address: back_end.address });
        }
    }

    /// Holds replicas that have registered since the members were asked: a primary that is back could have
    /// commits acknowledged with them, which the member that is to be promoted lacks.
    pub(super) fn hold_new_replicas(
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let GroupContext { now, state, group, holds_replicas, .. } = context;
        let (Phase::Deciding { .. } | Phase::Calling { .. }) = group_state.phase else { return };
        if !holds_replicas {
            return;
        }
        for (member, back_end) in state.back_ends().filter(|(_, back_end)| back_end.group == *group)
        {
            if back_end.role == BackEndRole::Primary || !group_state.known.insert(member.clone()) {
                continue;
            }
            let (group, member) = (group.clone(), member.clone());
            let (address, hold, asked_at) = (back_end.address, true, now);
            let request = PromotionAction::RequestStatus { group, member, address, hold, asked_at };
            actions.push(request);
        }
    }

    /// At the begin of a leadership: a decision of an earlier leader that may still be carried out is superseded
    /// by another replacement. Without one, the members that the earlier leader may have held for a choice that
    /// it did not make are released, unless they are needed for a choice now.
    pub(super) fn take_over(
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let GroupContext { state, group, holds_replicas, .. } = context;
        let Some(primary) = primary_of(state, group) else { return };
        if !std::mem::take(&mut group_state.is_new_leadership) || !holds_replicas {
            return;
        }
        let target = state.promotion(group).map(|promotion| &promotion.target);
        let may_be_promoted =
            target.is_some_and(|target| *target != primary && state.back_end(target).is_some());
        let is_steady = matches!(group_state.phase, Phase::Steady);
        if may_be_promoted {
            log::info!(
                target: LOG_TARGET, group:% = group, member:% = primary;
                "decision of an earlier leader may be open: another one is to supersede it"
            );
            group_state.open_calls += 1;
            if is_steady {
                group_state.begin(Reason::EarlierDecision, None);
            }
        } else if is_steady {
            Self::release_all(context, actions);
        }
    }
}
