//! The state of one leadership, dropped when it ends.
//!
//! Owns the core's duties of a leader, the time at which each is due, and the newest observations of the
//! proxies. The caller passes the time and the applied state, and calls nothing that takes the state before
//! [`Leadership::begin`], except to record reports.

use super::contacts::GatewayContacts;
use super::convert::{observation_event, reach_report};
use super::early_reports::EarlyReports;
use super::limits::LeaderLimits;
use crate::back_end::Operation;
use corktack_core::failover::{
    CallTarget, FailoverAction, FailoverEvent, FailoverManager, FailoverSettings, ProposalId,
};
use corktack_core::identity::{GroupName, MemberName, ProxyName};
use corktack_core::membership::{Membership, MembershipSettings};
use corktack_core::position::Term;
use corktack_core::registry::{PromotionAction, PromotionManager, PromotionSettings};
use corktack_core::state::ControlState;
use corktack_core::state::command::{Command, FailoverStep, Outcome};
use corktack_core::time::Timestamp;
use corktack_core::view::{ProxyState, Revision};
use corktack_protocol::cell::ProxyReport;
use corktack_protocol::control::{MemberHealth, Observation};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Longest time between two evaluations of the proxies' heartbeats, and of the failover if it has no
/// deadline. A shorter interval wakes an idle leader more often; a longer one delays the detection of
/// silent proxies.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(100);

/// The proposals of the failover manager, and its calls to back ends.
pub(super) type FailoverWork = (Vec<(ProposalId, Command)>, Vec<(CallTarget, Operation)>);

type ObservationKey = (ProxyName, GroupName, MemberName);

/// The state of one leadership.
pub(super) struct Leadership {
    pub(super) term: Term,
    pub(super) elected_at: Timestamp,
    /// Reports that wait for the begin of the duties; `None` once they have begun.
    early_reports: Option<EarlyReports>,
    pub(super) membership: Membership,
    pub(super) membership_due: Timestamp,
    /// The number of membership commands whose outcome is unknown.
    membership_in_flight: usize,
    pub(super) failover: FailoverManager,
    pub(super) failover_due: Timestamp,
    pub(super) promotion: PromotionManager,
    pub(super) contacts: GatewayContacts,
    pub(super) limits: LeaderLimits,
    /// The revision of the state that was applied last.
    applied_revision: Option<Revision>,
    /// The health that each proxy last reported for each member.
    last_observed: HashMap<ObservationKey, MemberHealth>,
    /// The time at which the current failover of each group began.
    pub(super) failovers_begun: HashMap<GroupName, Timestamp>,
}

impl Leadership {
    pub(super) fn new(
        now: Timestamp,
        term: Term,
        membership: &MembershipSettings,
        failover: &FailoverSettings,
        limits: LeaderLimits,
    ) -> Self {
        Self {
            term,
            elected_at: now,
            early_reports: Some(EarlyReports::default()),
            membership: Membership::new(membership.clone(), now),
            membership_due: now,
            membership_in_flight: 0,
            failover: FailoverManager::new(failover.clone()),
            failover_due: now,
            promotion: PromotionManager::new(PromotionSettings::default()),
            contacts: GatewayContacts::new(now),
            limits,
            applied_revision: None,
            last_observed: HashMap::new(),
            failovers_begun: HashMap::new(),
        }
    }

    /// Reports whether the duties have begun.
    pub(super) fn has_begun(&self) -> bool {
        self.early_reports.is_none()
    }

    /// Begins the duties, and records the observations that arrived since the election.
    pub(super) fn begin(&mut self, now: Timestamp, state: &ControlState) {
        let Some(early_reports) = self.early_reports.take() else { return };
        for report in early_reports.into_reports() {
            self.record_observations(now, report, state);
        }
    }

    /// Makes the failover evaluation due at once if the state has changed.
    pub(super) fn apply_state(&mut self, now: Timestamp, state: &ControlState) {
        let revision = Some(state.view_revision());
        if self.applied_revision != revision {
            self.applied_revision = revision;
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
        self.membership_in_flight += commands.len();
        commands
    }

    fn failover_actions(&mut self, now: Timestamp, state: &ControlState) -> Vec<FailoverAction> {
        if now < self.failover_due {
            return Vec::new();
        }
        let actions = self.failover.advance(now, state);
        let next_deadline = self.failover.next_deadline();
        self.failover_due = next_deadline.unwrap_or(now + MEMBERSHIP_INTERVAL);
        actions
    }

    /// Evaluates the failover and returns its proposals and calls, in the order of its decisions.
    pub(super) fn advance_failover(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> FailoverWork {
        let (mut proposals, mut calls) = (Vec::new(), Vec::new());
        for action in self.failover_actions(now, state) {
            match action {
                FailoverAction::Propose { proposal, command } => {
                    self.record_failovers_begun(now, &command);
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
        let contact = self.contacts.count(now, &live);
        self.promotion.advance(now, state.registry(), contact)
    }

    fn record_failovers_begun(&mut self, now: Timestamp, command: &Command) {
        let Command::Failover(steps) = command else { return };
        let begin_steps =
            steps.iter().filter(|(_, step)| matches!(step, FailoverStep::Begin { .. }));
        for (group, _) in begin_steps {
            self.failovers_begun.entry(group.clone()).or_insert(now);
        }
    }

    pub(super) fn record_membership_outcome(&mut self, now: Timestamp) {
        self.membership_in_flight = self.membership_in_flight.saturating_sub(1);
        if self.membership_in_flight == 0 {
            self.membership.on_proposal_outcome();
            self.membership_due = now;
        }
    }

    pub(super) fn record_failover_outcome(
        &mut self,
        now: Timestamp,
        proposal: ProposalId,
        outcome: Option<Outcome>,
    ) {
        let event = FailoverEvent::Proposed { proposal, outcome };
        self.failover.handle(now, event);
        self.failover_due = now;
    }

    /// Records the observations of a report, or stores them until the duties begin.
    pub(super) fn record_or_store_observations(
        &mut self,
        now: Timestamp,
        report: ProxyReport,
        state: &ControlState,
    ) {
        match &mut self.early_reports {
            Some(early_reports) => early_reports.store(report),
            None => self.record_observations(now, report, state),
        }
    }

    /// Passes the observations of a report to the failover manager, or to the promotion duty for registered
    /// back ends.
    ///
    /// Reports repeat old observations so that a new leader gets them too. The failover manager must see
    /// observations age, so a repeated one is passed on only if it comes from the group's owner.
    fn record_observations(&mut self, now: Timestamp, report: ProxyReport, state: &ControlState) {
        for observation in report.observations {
            let Observation { group, member, health } = &observation;
            if state.registry().back_end(member).is_some() {
                self.promotion.record_reach_report(reach_report(&report.proxy, &observation));
                continue;
            }
            let owner = state.group(group).and_then(|group| group.view.owner.as_ref());
            let key = (report.proxy.clone(), group.clone(), member.clone());
            let previous = self.last_observed.insert(key, *health);
            if owner == Some(&report.proxy) || previous != Some(*health) {
                self.failover.handle(now, observation_event(report.proxy.clone(), observation));
                self.failover_due = now;
            }
        }
    }
}
