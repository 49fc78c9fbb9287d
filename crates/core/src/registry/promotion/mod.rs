//! Replaces primaries of registered groups through an outside authority.
//!
//! Only the leader of the cell does this. A decision stands in the log before the authority is
//! called, and its index fences the call: a later decision has a higher fence, so that a call that
//! is carried out late is refused once the newer one was seen, and no two leaders share a fence.
//!
//! The candidate is the most advanced member, asked after the primary is out of reach. Where
//! commits are acknowledged only once replicas hold them, the replicas are first held from
//! receiving, all of them answer, and none is chosen that is behind another.
//!
//! Owns the phase of each group and the gateways' word on primaries, for one leadership. Relies on the registry
//! in the log for who leads and what was decided, and on the leader to carry out its actions. `evaluation` says
//! when a primary is replaced, `evidence` what the members' answers allow, `steps` what is done.

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
use evidence::{Evidence, judge};
use std::collections::{BTreeMap, BTreeSet};

/// Target of the log lines of `evaluation` and `steps`: operators may filter by it.
const LOG_TARGET: &str = module_path!();

#[derive(Clone, Debug)]
enum Phase {
    /// The primary serves, as far as is known.
    Steady,
    /// The members are asked how far they are.
    Asking {
        since: Timestamp,
        /// The primary, where the leader has to see for itself that it is out of reach.
        suspect: Option<MemberName>,
        /// Answers; none while one is waited for.
        answers: BTreeMap<MemberName, Option<MemberAnswer>>,
    },
    /// The decision is on its way into the log.
    Deciding { since: Timestamp, target: MemberName },
    /// The authority is called until the member leads.
    Calling {
        since: Timestamp,
        target: MemberName,
        fence: u64,
        next_call: Timestamp,
        in_flight: bool,
        accepted: bool,
    },
}

#[derive(Clone, Debug)]
struct GroupDuty {
    phase: Phase,
    vacant_since: Option<Timestamp>,
    /// Since when too few gateways do not reach the primary.
    suspected_since: Option<Timestamp>,
    refused: BTreeMap<MemberName, Timestamp>,
    /// The fence of a decision made by this leadership; those of others are not acted on.
    known_fence: u64,
}

/// Replaces primaries of registered groups; lasts as long as one leadership.
#[derive(Clone, Debug)]
pub struct PromotionDuty {
    settings: PromotionSettings,
    groups: BTreeMap<GroupName, GroupDuty>,
    unreached: BTreeMap<(GroupName, MemberName), BTreeSet<ProxyName>>,
}

impl GroupDuty {
    fn new(known_fence: u64) -> Self {
        Self {
            phase: Phase::Steady,
            vacant_since: None,
            suspected_since: None,
            refused: BTreeMap::new(),
            known_fence,
        }
    }
}

impl PromotionDuty {
    /// The duty of a new leadership.
    #[must_use]
    pub fn new(settings: PromotionSettings) -> Self {
        Self { settings, groups: BTreeMap::new(), unreached: BTreeMap::new() }
    }

    /// Takes a gateway's word.
    pub fn report(&mut self, report: ReachReport) {
        let key = (report.group, report.member);
        if report.reached {
            if let Some(gateways) = self.unreached.get_mut(&key) {
                gateways.remove(&report.gateway);
            }
        } else {
            self.unreached.entry(key).or_default().insert(report.gateway);
        }
    }

    /// Forgets what gateways said that are gone.
    pub fn retain_gateways(&mut self, live: &BTreeSet<ProxyName>) {
        for gateways in self.unreached.values_mut() {
            gateways.retain(|gateway| live.contains(gateway));
        }
        self.unreached.retain(|_, gateways| !gateways.is_empty());
    }

    /// Takes what came of [`PromotionAction::Ask`].
    pub fn take_status(&mut self, group: &GroupName, member: &MemberName, answer: MemberAnswer) {
        let Some(duty) = self.groups.get_mut(group) else { return };
        let Phase::Asking { answers, .. } = &mut duty.phase else { return };
        if let Some(place) = answers.get_mut(member) {
            *place = Some(answer);
        }
    }

    /// Takes the authority's answer to [`PromotionAction::Call`].
    pub fn take_answer(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        fence: u64,
        answer: PromotionAnswer,
    ) {
        let settings = self.settings;
        let Some(duty) = self.groups.get_mut(group) else { return };
        let Phase::Calling { fence: current, target, next_call, in_flight, accepted, .. } =
            &mut duty.phase
        else {
            return;
        };
        if *current != fence {
            return;
        }
        *in_flight = false;
        match answer {
            PromotionAnswer::Accepted => *accepted = true,
            PromotionAnswer::Unknown => *next_call = now + settings.call_pause,
            PromotionAnswer::Refused => {
                duty.refused.insert(target.clone(), now + settings.refused_pause);
                duty.phase = Self::asking(None);
            }
        }
    }

    /// A phase that asks everyone at the next evaluation.
    fn asking(suspect: Option<MemberName>) -> Phase {
        Phase::Asking { since: Timestamp::ZERO, suspect, answers: BTreeMap::new() }
    }

    /// Decides what is due.
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
            let known = state.promotion(group).map_or(0, |promotion| promotion.fence.0);
            let mut duty = self.groups.remove(group).unwrap_or_else(|| GroupDuty::new(known));
            let holds = service.synchronous_replicas > 0;
            self.advance_group(now, state, group, &mut duty, (gateways, holds), &mut actions);
            self.groups.insert(group.clone(), duty);
        }
        actions
    }

    fn advance_group(
        &mut self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        duty: &mut GroupDuty,
        (gateways, holds): (GatewayContact, bool),
        actions: &mut Vec<PromotionAction>,
    ) {
        if let Phase::Steady = duty.phase {
            self.evaluate_primary(now, state, group, duty, gateways);
        }
        self.advance_asking(now, state, group, duty, holds, actions);
        self.advance_decision(now, state, group, duty);
        self.call(now, state, group, duty, actions);
    }

    /// Judges the members' answers, and asks again, chooses or leaves the lead where it is.
    fn advance_asking(
        &mut self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        duty: &mut GroupDuty,
        holds: bool,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Phase::Asking { since, suspect, answers } = &duty.phase else { return };
        let overdue = now.saturating_since(*since) >= self.settings.answers_limit;
        let evidence = judge(state, group, suspect.as_ref(), answers, holds);
        match evidence {
            _ if answers.is_empty() => self.ask(now, state, group, duty, holds, actions),
            Evidence::PrimaryServes => self.stand_down(state, group, duty, holds, actions),
            Evidence::Complete => self.choose(now, group, duty, actions),
            Evidence::Enough if overdue => {
                self.choose(now, group, duty, actions);
            }
            Evidence::Doubtful if overdue => {
                self.stand_down(state, group, duty, holds, actions);
            }
            Evidence::Lacking if overdue => self.ask(now, state, group, duty, holds, actions),
            _ => (),
        }
    }

    /// Begins to call the authority once the decision is in the log.
    fn advance_decision(
        &self,
        now: Timestamp,
        state: &RegistryState,
        group: &GroupName,
        duty: &mut GroupDuty,
    ) {
        let Phase::Deciding { since, target } = &duty.phase else { return };
        let decided = state.promotion(group);
        let decided = decided.filter(|it| it.fence.0 > duty.known_fence && it.target == *target);
        if let Some(promotion) = decided {
            duty.known_fence = promotion.fence.0;
            duty.phase = Phase::Calling {
                since: now,
                target: target.clone(),
                fence: promotion.fence.0,
                next_call: now,
                in_flight: false,
                accepted: false,
            };
        } else if now.saturating_since(*since) >= self.settings.lead_limit {
            duty.phase = Self::asking(None);
        }
    }
}
