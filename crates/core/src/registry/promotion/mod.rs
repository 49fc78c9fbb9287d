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
//! commits are acknowledged only once replicas hold them, the replicas first stop receiving from the
//! primary, all of them must answer, and no replica is chosen that is behind another.
//!
//! The module holds the phase of each group and the gateways' reports on primaries, for one
//! leadership. Primaries and decisions come from the registry state, and the leader performs the
//! actions. `evaluation` decides when a primary is replaced, `evidence` whether the members'
//! answers suffice, and `steps` performs the replacement.

mod evaluation;
mod evidence;
mod messages;
mod steps;

pub use messages::{
    GatewayContact, MemberAnswer, PromotionAction, PromotionAnswer, PromotionSettings, ReachReport,
};

use super::state::RegistryState;
use crate::identity::{GroupName, MemberName, ProxyName};
use crate::time::Timestamp;
use evidence::{AnswerAssessment, assess_answers};
use std::collections::{BTreeMap, BTreeSet};

/// Target of the log lines of `evaluation` and `steps`, by which operators may filter.
const LOG_TARGET: &str = module_path!();

#[derive(Clone, Debug)]
enum Phase {
    /// No failure of the primary is known.
    Steady,
    /// The leader asks the members for their positions.
    Asking {
        since: Timestamp,
        /// Primary that must be unreachable for the leader before another member is chosen; none if
        /// the leader need not check.
        suspect: Option<MemberName>,
        /// Answers by member; none while an answer is outstanding.
        answers: BTreeMap<MemberName, Option<MemberAnswer>>,
    },
    /// The decision is proposed to the log.
    Deciding { since: Timestamp, target: MemberName },
    /// The leader calls the authority until the member is primary.
    Calling {
        since: Timestamp,
        target: MemberName,
        fence: u64,
        next_call: Timestamp,
        in_flight: bool,
        accepted: bool,
    },
}

/// Replacement state of one group.
#[derive(Clone, Debug)]
struct GroupState {
    phase: Phase,
    vacant_since: Option<Timestamp>,
    /// Start of the current suspicion, in which too few gateways for a replacement report the primary
    /// as unreachable.
    suspected_since: Option<Timestamp>,
    /// Members that are not chosen before the given time.
    refused: BTreeMap<MemberName, Timestamp>,
    /// Highest fence handled so far; only decisions above it are acted on, which excludes decisions
    /// of earlier leaders, as the state contained these when the leadership began.
    last_fence: u64,
}

/// Replaces primaries of registered groups, for the duration of one leadership.
#[derive(Clone, Debug)]
pub struct PromotionManager {
    settings: PromotionSettings,
    groups: BTreeMap<GroupName, GroupState>,
    /// Gateways that report a member as unreachable.
    unreachable_reports: BTreeMap<(GroupName, MemberName), BTreeSet<ProxyName>>,
}

impl GroupState {
    fn new(last_fence: u64) -> Self {
        Self {
            phase: Phase::Steady,
            vacant_since: None,
            suspected_since: None,
            refused: BTreeMap::new(),
            last_fence,
        }
    }
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

    /// Records the result of [`PromotionAction::RequestStatus`].
    pub fn record_member_answer(
        &mut self,
        group: &GroupName,
        member: &MemberName,
        answer: MemberAnswer,
    ) {
        let Some(group_state) = self.groups.get_mut(group) else { return };
        let Phase::Asking { answers, .. } = &mut group_state.phase else { return };
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
                group_state.refused.insert(target.clone(), now + settings.refusal_cooldown);
                group_state.phase = Self::asking_phase(None);
            }
        }
    }

    /// Returns the phase that asks all members at the next evaluation.
    fn asking_phase(suspect: Option<MemberName>) -> Phase {
        Phase::Asking { since: Timestamp::ZERO, suspect, answers: BTreeMap::new() }
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
            let hold_replicas = service.synchronous_replicas > 0;
            self.advance_group(
                now,
                state,
                group,
                &mut group_state,
                (gateways, hold_replicas),
                &mut actions,
            );
            self.groups.insert(group.clone(), group_state);
        }
        actions
    }

    fn advance_group(
        &mut self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        group_state: &mut GroupState,
        (gateways, hold_replicas): (GatewayContact, bool),
        actions: &mut Vec<PromotionAction>,
    ) {
        if let Phase::Steady = group_state.phase {
            self.evaluate_primary(now, state, group, group_state, gateways);
        }
        self.advance_asking(now, state, group, group_state, hold_replicas, actions);
        self.advance_decision(now, state, group, group_state);
        self.call_authority(now, state, group, group_state, actions);
    }

    /// Assesses the members' answers, and asks again, chooses a candidate or keeps the primary.
    fn advance_asking(
        &mut self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        group_state: &mut GroupState,
        hold_replicas: bool,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Phase::Asking { since, suspect, answers } = &group_state.phase else { return };
        let overdue = now.saturating_since(*since) >= self.settings.answer_timeout;
        let assessment = assess_answers(state, group, suspect.as_ref(), answers, hold_replicas);
        match assessment {
            _ if answers.is_empty() => {
                self.ask_members(now, state, group, group_state, hold_replicas, actions)
            }
            AnswerAssessment::PrimaryServes => {
                self.keep_primary(state, group, group_state, hold_replicas, actions)
            }
            AnswerAssessment::Complete => self.choose_candidate(now, group, group_state, actions),
            AnswerAssessment::Sufficient if overdue => {
                self.choose_candidate(now, group, group_state, actions);
            }
            AnswerAssessment::SuspectMayServe if overdue => {
                self.keep_primary(state, group, group_state, hold_replicas, actions);
            }
            AnswerAssessment::Insufficient if overdue => {
                self.ask_members(now, state, group, group_state, hold_replicas, actions)
            }
            _ => (),
        }
    }

    /// Begins to call the authority once the decision is in the log.
    fn advance_decision(
        &self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        group_state: &mut GroupState,
    ) {
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
            group_state.phase = Self::asking_phase(None);
        }
    }
}
