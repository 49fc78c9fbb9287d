//! What lasts as long as one leadership.
//!
//! Owns the core's duties of a leader, when each is due, and what of the reports is known already.
//! Relies on the caller for the time and for the state as it is applied.

use super::contacts::GatewayContacts;
use super::convert::{observed, reach_report};
use super::limits::LeaderLimits;
use crate::back_end::Operation;
use corktack_core::failover::{
    CallTarget, FailoverAction, FailoverEvent, FailoverManager, FailoverSettings, ProposalId,
};
use corktack_core::identity::{GroupName, MemberName, ProxyName};
use corktack_core::membership::{Membership, MembershipSettings};
use corktack_core::registry::{PromotionAction, PromotionDuty, PromotionSettings};
use corktack_core::state::ControlState;
use corktack_core::state::command::{Command, FailoverStep, Outcome};
use corktack_core::time::Timestamp;
use corktack_core::view::{ProxyState, Revision};
use corktack_protocol::cell::ProxyReport;
use corktack_protocol::control::{MemberHealth, Observation};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Longest time between two evaluations of the proxies' heartbeats, and of the failover where it names
/// no deadline. Chosen, not measured; a lower value wakes an idle leader more often, a higher one adds
/// to the time until a silent proxy counts as down.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(100);

/// Proposals of the failover, and its calls of back ends.
pub(super) type FailoverWork = (Vec<(ProposalId, Command)>, Vec<(CallTarget, Operation)>);

type ObservationKey = (ProxyName, GroupName, MemberName);

/// What lasts as long as one leadership.
pub(super) struct Leadership {
    pub(super) membership: Membership,
    pub(super) membership_due: Timestamp,
    /// Commands of the last evaluation whose outcome is not known.
    membership_open: usize,
    pub(super) failover: FailoverManager,
    pub(super) failover_due: Timestamp,
    pub(super) promotion: PromotionDuty,
    pub(super) contacts: GatewayContacts,
    pub(super) limits: LeaderLimits,
    /// Revision of the state that was evaluated last.
    followed: Option<Revision>,
    /// What each proxy reported last of each member.
    observed: HashMap<ObservationKey, MemberHealth>,
    /// When the failover of each group without a primary was decided on.
    pub(super) begun: HashMap<GroupName, Timestamp>,
}

impl Leadership {
    pub(super) fn new(
        now: Timestamp,
        membership: &MembershipSettings,
        failover: &FailoverSettings,
        limits: LeaderLimits,
    ) -> Self {
        Self {
            membership: Membership::new(membership.clone(), now),
            membership_due: now,
            membership_open: 0,
            failover: FailoverManager::new(failover.clone()),
            failover_due: now,
            promotion: PromotionDuty::new(PromotionSettings::default()),
            contacts: GatewayContacts::new(now),
            limits,
            followed: None,
            observed: HashMap::new(),
            begun: HashMap::new(),
        }
    }

    /// A change of the state is a reason to decide afresh.
    pub(super) fn follow(&mut self, now: Timestamp, state: &ControlState) {
        let revision = Some(state.view_revision());
        if self.followed != revision {
            self.followed = revision;
            self.failover_due = now;
        }
    }

    pub(super) fn membership_commands(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<Command> {
        if now < self.membership_due {
            return Vec::new();
        }
        self.membership_due = now + MEMBERSHIP_INTERVAL;
        let commands = self.membership.on_tick(now, state);
        self.membership_open += commands.len();
        commands
    }

    fn failover_actions(&mut self, now: Timestamp, state: &ControlState) -> Vec<FailoverAction> {
        if now < self.failover_due {
            return Vec::new();
        }
        let actions = self.failover.advance(now, state);
        let next = self.failover.next_deadline();
        self.failover_due = next.unwrap_or(now + MEMBERSHIP_INTERVAL);
        actions
    }

    /// What the failover wants proposed and called, in the order in which it decided.
    pub(super) fn advance_failover(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> FailoverWork {
        let (mut proposals, mut calls) = (Vec::new(), Vec::new());
        for action in self.failover_actions(now, state) {
            match action {
                FailoverAction::Propose { proposal, command } => {
                    self.note_begun(now, &command);
                    proposals.push((proposal, command));
                }
                FailoverAction::Probe(target) => calls.push((target, Operation::Probe)),
                FailoverAction::Fence { target, term } => {
                    calls.push((target, Operation::Fence(term)));
                }
                FailoverAction::Promote { target, term } => {
                    calls.push((target, Operation::Promote(term)));
                }
            }
        }
        (proposals, calls)
    }

    pub(super) fn promotion_actions(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<PromotionAction> {
        let live = state.proxies().filter(|(_, proxy)| proxy.state == ProxyState::Live);
        let live: BTreeSet<ProxyName> = live.map(|(name, _)| name.clone()).collect();
        self.promotion.retain_gateways(&live);
        let contact = self.contacts.contact(now, &live);
        self.promotion.advance(now, state.registry(), contact)
    }

    fn note_begun(&mut self, now: Timestamp, command: &Command) {
        let Command::Failover(steps) = command else { return };
        let begun = steps.iter().filter(|(_, step)| matches!(step, FailoverStep::Begin { .. }));
        for (group, _) in begun {
            self.begun.entry(group.clone()).or_insert(now);
        }
    }

    pub(super) fn take_membership_outcome(&mut self, now: Timestamp) {
        self.membership_open = self.membership_open.saturating_sub(1);
        if self.membership_open == 0 {
            self.membership.on_outcome();
            self.membership_due = now;
        }
    }

    pub(super) fn take_failover_outcome(
        &mut self,
        now: Timestamp,
        proposal: ProposalId,
        outcome: Option<Outcome>,
    ) {
        let event = FailoverEvent::Proposed { proposal, outcome };
        self.failover.handle(now, event);
        self.failover_due = now;
    }

    /// Reports repeat observations, for leaders that are new. To one that knows
    /// them they are news only from the group's owner: what another proxy reported
    /// must grow old in the failover manager.
    pub(super) fn take_observations(
        &mut self,
        now: Timestamp,
        report: ProxyReport,
        state: &ControlState,
    ) {
        for observation in report.observations {
            let Observation { group, member, health } = &observation;
            if state.registry().back_end(member).is_some() {
                self.promotion.report(reach_report(&report.proxy, &observation));
                continue;
            }
            let owner = state.group(group).and_then(|group| group.view.owner.as_ref());
            let key = (report.proxy.clone(), group.clone(), member.clone());
            let known = self.observed.insert(key, *health);
            if owner == Some(&report.proxy) || known != Some(*health) {
                self.failover.handle(now, observed(report.proxy.clone(), observation));
                self.failover_due = now;
            }
        }
    }
}
