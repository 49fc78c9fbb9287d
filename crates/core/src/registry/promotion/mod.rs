//! Replaces primaries of registered groups through an external promotion authority.
//!
//! Only the leader of the cell replaces primaries. The log holds a decision before the leader calls the
//! authority, and the index of the decision is the fence of the call: a later decision has a higher
//! fence, so that the authority refuses a delayed call once it has seen the newer one, and no two
//! leaders use the same fence. The latter rests on the state that a new leader begins with: it must
//! contain every decision that earlier leaders committed, which the leader then never acts on
//! ([`Replica::has_applied_own_term`](crate::consensus::Replica::has_applied_own_term)).
//!
//! The candidate is the most advanced member, asked after the primary became unreachable. Where
//! commits are acknowledged only once replicas hold them, the promoted member must hold every
//! acknowledged commit:
//! - Each replica first stops receiving from the primary, and stays so until the replacement ends.
//! - Each log that may hold an acknowledged commit counts: those of all replicas, whether or not they
//!   can be promoted, and of replicas that left, until the successor at their address has registered.
//!   No member is chosen that is behind one of them.
//! - The primary is kept if it is back before a decision; replicas are released only if no decision
//!   can be carried out any more.
//!
//! The module holds the phase of each group and the gateways' reports on primaries, for one
//! leadership. Primaries and decisions come from the registry state, and the leader performs the
//! actions. `evaluation` decides when a primary is replaced, `evidence` whether the members'
//! answers suffice, `steps` performs the replacement, and `holds` holds and releases replicas.

mod evaluation;
mod evidence;
mod group_state;
mod holds;
mod messages;
mod steps;

pub use messages::{
    GatewayContact, MemberAnswer, PromotionAction, PromotionAnswer, PromotionSettings, ReachReport,
};

use super::state::RegistryState;
use crate::identity::{GroupName, MemberName, ProxyName};
use crate::time::Timestamp;
use evidence::{AnswerAssessment, assess_answers};
use group_state::{GroupContext, GroupState, Phase, Reason};
use std::collections::{BTreeMap, BTreeSet};

/// Target of the log lines of `evaluation` and `steps`, by which operators may filter.
const LOG_TARGET: &str = module_path!();
/// Number of answer timeouts after which members that are held are asked again, which is longer than a call to
/// a member takes.
const HELD_ANSWER_TIMEOUTS: u32 = 2;

/// Replaces primaries of registered groups, for the duration of one leadership.
#[derive(Clone, Debug)]
pub struct PromotionManager {
    settings: PromotionSettings,
    groups: BTreeMap<GroupName, GroupState>,
    /// Gateways that report a member as unreachable.
    unreachable_reports: BTreeMap<(GroupName, MemberName), BTreeSet<ProxyName>>,
}

impl PromotionManager {
    /// Returns the state of a new leadership.
    #[must_use]
    pub fn new(settings: PromotionSettings) -> Self {
        Self { settings, groups: BTreeMap::new(), unreachable_reports: BTreeMap::new() }
    }

    /// Records a gateway's report.
    pub fn record_reach_report(&mut self, report: ReachReport) {
        let key = (report.group, report.member);
        if report.reached {
            if let Some(gateways) = self.unreachable_reports.get_mut(&key) {
                gateways.remove(&report.gateway);
            }
        } else {
            self.unreachable_reports.entry(key).or_default().insert(report.gateway);
        }
    }

    /// Removes the reports of gateways that are not in `live`.
    pub fn retain_gateways(&mut self, live: &BTreeSet<ProxyName>) {
        for gateways in self.unreachable_reports.values_mut() {
            gateways.retain(|gateway| live.contains(gateway));
        }
        self.unreachable_reports.retain(|_, gateways| !gateways.is_empty());
    }

    /// Records the result of a [`PromotionAction::RequestStatus`] of the time `asked_at`. An answer to an
    /// older request is ignored: the member may have received more since.
    pub fn record_member_answer(
        &mut self,
        group: &GroupName,
        member: &MemberName,
        asked_at: Timestamp,
        answer: MemberAnswer,
    ) {
        let Some(group_state) = self.groups.get_mut(group) else { return };
        let Phase::Asking { since, answers, .. } = &mut group_state.phase else { return };
        if *since != asked_at {
            return;
        }
        if let Some(entry) = answers.get_mut(member) {
            *entry = Some(answer);
        }
    }

    /// Handles the authority's answer to [`PromotionAction::RequestPromotion`]. An answer to an older call is
    /// ignored.
    pub fn record_authority_answer(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        fence: u64,
        answer: PromotionAnswer,
    ) {
        let settings = self.settings;
        let Some(group_state) = self.groups.get_mut(group) else { return };
        let Phase::Calling { fence: current, target, next_call, in_flight, accepted, .. } =
            &mut group_state.phase
        else {
            return;
        };
        if *current != fence {
            return;
        }
        *in_flight = false;
        match answer {
            PromotionAnswer::Accepted => *accepted = true,
            PromotionAnswer::Unknown => *next_call = now + settings.call_retry_delay,
            PromotionAnswer::Refused => {
                group_state.open_calls = group_state.open_calls.saturating_sub(1);
                group_state.refused.insert(target.clone(), now + settings.refusal_cooldown);
                group_state.ask_anew(None);
            }
        }
    }

    /// Advances every group and returns the actions that the leader must perform. `state` must contain
    /// every entry that earlier leaders committed.
    pub fn advance(
        &mut self,
        now: Timestamp,
        state: &RegistryState,
        gateways: GatewayContact,
    ) -> Vec<PromotionAction> {
        let mut actions = Vec::new();
        let Some(document) = state.document() else { return actions };
        let services = &document.document.services;
        self.groups.retain(|name, _| services.iter().any(|service| service.name == *name));
        for service in services {
            let group = &service.name;
            let last_fence = state.promotion(group).map_or(0, |promotion| promotion.fence.0);
            let mut group_state =
                self.groups.remove(group).unwrap_or_else(|| GroupState::new(last_fence));
            let holds_replicas = service.synchronous_replicas > 0;
            let context = GroupContext { now, state, group, gateways, holds_replicas };
            self.advance_group(context, &mut group_state, &mut actions);
            self.groups.insert(group.clone(), group_state);
        }
        actions
    }

    fn advance_group(
        &mut self,
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        if let Phase::Steady = group_state.phase {
            self.evaluate_primary(context, group_state);
        }
        Self::take_over(context, group_state, actions);
        self.advance_asking(context, group_state, actions);
        self.advance_decision(context, group_state);
        self.call_authority(context, group_state, actions);
        Self::hold_new_replicas(context, group_state, actions);
    }

    /// Assesses the members' answers, and asks again, chooses a candidate or keeps the primary.
    fn advance_asking(
        &mut self,
        context: GroupContext<'_>,
        group_state: &mut GroupState,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Phase::Asking { since, answers, .. } = &group_state.phase else { return };
        let elapsed = context.now.saturating_since(*since);
        let overdue = elapsed >= self.settings.answer_timeout;
        // A member that is held answers two requests; an answer that comes after the next request is lost.
        let is_answered = answers.values().all(Option::is_some);
        let may_repeat = !context.holds_replicas
            || is_answered
            || elapsed >= self.settings.answer_timeout * HELD_ANSWER_TIMEOUTS;
        let assessment = assess_answers(context, group_state);
        match assessment {
            _ if answers.is_empty() => self.ask_members(context, group_state, actions),
            AnswerAssessment::PrimaryServes => self.keep_primary(context, group_state, actions),
            AnswerAssessment::Complete => self.choose_candidate(context, group_state, actions),
            AnswerAssessment::Sufficient if overdue => {
                self.choose_candidate(context, group_state, actions);
            }
            AnswerAssessment::SuspectMayServe if overdue => {
                self.keep_primary(context, group_state, actions);
            }
            AnswerAssessment::Insufficient if overdue && self.is_back(context, group_state) => {
                self.keep_primary(context, group_state, actions);
            }
            AnswerAssessment::Insufficient if overdue && may_repeat => {
                self.ask_members(context, group_state, actions);
            }
            _ => (),
        }
    }

    /// Begins to call the authority once the decision is in the log.
    fn advance_decision(&self, context: GroupContext<'_>, group_state: &mut GroupState) {
        let GroupContext { now, state, group, .. } = context;
        let Phase::Deciding { since, target } = &group_state.phase else { return };
        let decided = state.promotion(group);
        let decided = decided.filter(|promotion| {
            promotion.fence.0 > group_state.last_fence && promotion.target == *target
        });
        if let Some(promotion) = decided {
            log::info!(
                target: LOG_TARGET, group:% = group, member:% = target, fence = promotion.fence.0,
                after_ms = (now - *since).as_millis() as u64;
                "decision to promote is committed"
            );
            group_state.last_fence = promotion.fence.0;
            group_state.phase = Phase::Calling {
                since: now,
                target: target.clone(),
                fence: promotion.fence.0,
                next_call: now,
                in_flight: false,
                accepted: false,
            };
        } else if now.saturating_since(*since) >= self.settings.promotion_timeout {
            group_state.ask_anew(None);
        }
    }
}
