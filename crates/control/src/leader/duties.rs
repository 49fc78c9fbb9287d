//! The leader's duties, driven by the consensus thread.
//!
//! Owns the settings of the duties, and the state of the current leadership if this replica is the leader.
//! [`BackEndCaller`] and [`RegistryCaller`] make the calls that the duties request.

use super::convert::{failover_event, heartbeat};
use super::leadership::Leadership;
use super::limits::LeaderLimits;
use crate::back_end::{BackEndCall, BackEndCaller, BackEndResult, Operation};
use crate::metrics::{Metrics, PhaseLabel};
use crate::registry_calls::{MemberTarget, RegistryAnswer, RegistryCaller};
use crate::settings::ControlSettings;
use corktack_core::failover::{CallTarget, FailoverSettings, ProposalId};
use corktack_core::limits::{AllowanceGrant, AllowanceReport, LimitBounds};
use corktack_core::membership::{MembershipSettings, PlatformList};
use corktack_core::position::Term;
use corktack_core::registry::PromotionAction;
use corktack_core::state::ControlState;
use corktack_core::state::command::{Command, Outcome};
use corktack_core::time::Timestamp;
use corktack_protocol::cell::ProxyReport;
use std::time::Duration;

/// The duty and the leadership that a proposal belongs to, to which its outcome is delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DutyId {
    leadership: u64,
    duty: Duty,
}

#[derive(Clone, Copy, Debug)]
enum Duty {
    Membership,
    Failover(ProposalId),
    /// The duty reads its decisions from the applied state, so the outcome is ignored.
    Promotion,
    Limits,
}

/// A command that a duty of the leader proposes for the log.
#[derive(Debug)]
pub(crate) struct DutyProposal {
    pub(crate) id: DutyId,
    pub(crate) command: Command,
}

/// The duties that only the leader performs.
pub(crate) struct LeaderDuties {
    membership: MembershipSettings,
    failover: FailoverSettings,
    call_timeout: Duration,
    probe_timeout: Duration,
    back_ends: BackEndCaller,
    registry: Option<RegistryCaller>,
    limits: LimitBounds,
    metrics: Metrics,
    /// The number of times this replica has become the leader.
    leaderships: u64,
    current: Option<Leadership>,
}

impl LeaderDuties {
    pub(crate) fn new(
        settings: &ControlSettings,
        back_ends: BackEndCaller,
        registry: Option<RegistryCaller>,
        metrics: Metrics,
    ) -> Self {
        let timeout = settings.proxy_heartbeat_timeout;
        Self {
            membership: MembershipSettings {
                heartbeat_timeout: timeout,
                grace_period: timeout,
                ..MembershipSettings::default()
            },
            failover: settings.failover.clone(),
            call_timeout: settings.back_end_timeout,
            probe_timeout: settings.probe_timeout,
            back_ends,
            registry,
            limits: settings.limits,
            metrics,
            leaderships: 0,
            current: None,
        }
    }

    /// Starts a leadership when this replica becomes the leader of a term, and ends it when the replica steps
    /// down.
    pub(crate) fn apply_role(&mut self, now: Timestamp, leader_term: Option<Term>) {
        let Some(term) = leader_term else {
            self.current = None;
            return;
        };
        if self.current.as_ref().is_none_or(|leadership| leadership.term != term) {
            self.leaderships += 1;
            let limits = LeaderLimits::new(term, self.limits);
            let leadership = Leadership::new(now, term, &self.membership, &self.failover, limits);
            self.current = Some(leadership);
        }
    }

    /// Begins the duties of the current leadership, unless they have begun. The state must contain every
    /// entry that earlier leaders committed; `applied` is the index of its last entry.
    pub(crate) fn begin(&mut self, now: Timestamp, applied: u64, state: &ControlState) {
        let Some(leadership) = self.current.as_mut().filter(|elected| !elected.has_begun()) else {
            return;
        };
        let waited = now.saturating_since(leadership.elected_at);
        self.metrics.duties_wait_seconds.observe(waited.as_secs_f64());
        log::info!(
            term = leadership.term.0, applied, waited_ms = waited.as_millis() as u64;
            "duties of the leader begin"
        );
        leadership.begin(now, state);
    }

    /// Returns the current leadership if its duties have begun.
    fn begun(&mut self) -> Option<&mut Leadership> {
        self.current.as_mut().filter(|leadership| leadership.has_begun())
    }

    /// Returns when [`LeaderDuties::advance`] is due if no input arrives before.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let leadership = self.current.as_ref().filter(|leadership| leadership.has_begun())?;
        Some(leadership.membership_due.min(leadership.failover_due))
    }

    /// Evaluates all duties on the state, starts the calls that they request and returns their proposals.
    pub(crate) fn advance(&mut self, now: Timestamp, state: &ControlState) -> Vec<DutyProposal> {
        let current = self.current.as_mut().filter(|leadership| leadership.has_begun());
        let Some(leadership) = current else { return Vec::new() };
        leadership.apply_state(now, state);
        let mut commands: Vec<(Duty, Command)> = Vec::new();
        for command in leadership.membership_commands(now, state) {
            commands.push((Duty::Membership, command));
        }
        if let Some(command) = leadership.limits.advance(now, state) {
            commands.push((Duty::Limits, command));
        }
        let (proposals, calls) = leadership.advance_failover(now, state);
        commands.extend(proposals.into_iter().map(|(id, command)| (Duty::Failover(id), command)));
        if let Some(registry) = &self.registry {
            for action in leadership.promotion_actions(now, state) {
                match action {
                    PromotionAction::Propose(command) => {
                        commands.push((Duty::Promotion, Command::Registry(Box::new(command))));
                    }
                    action => registry.start(action),
                }
            }
        }
        for (target, operation) in calls {
            self.call(target, operation);
        }
        let leadership = self.leaderships;
        let proposal = |(duty, command)| DutyProposal { id: DutyId { leadership, duty }, command };
        commands.into_iter().map(proposal).collect()
    }

    fn call(&self, target: CallTarget, operation: Operation) {
        let (phase, timeout) = match operation {
            Operation::Probe => ("probe", self.probe_timeout),
            Operation::Fence(_) => ("fence", self.call_timeout),
            Operation::Promote(_) => ("promote", self.call_timeout),
        };
        self.metrics.failover_steps.get_or_create(&PhaseLabel { phase }).inc();
        self.back_ends.start(BackEndCall { target, operation }, timeout);
    }

    /// Records the outcome of a proposal, or `None` if it is unknown. Ignores outcomes of proposals from an
    /// earlier leadership.
    pub(crate) fn record_outcome(&mut self, now: Timestamp, id: DutyId, outcome: Option<Outcome>) {
        let is_current = id.leadership == self.leaderships;
        let Some(leadership) = self.current.as_mut().filter(|_| is_current) else { return };
        match id.duty {
            Duty::Membership => leadership.record_membership_outcome(now),
            Duty::Promotion => (),
            Duty::Limits => leadership.limits.record_outcome(outcome.is_some()),
            Duty::Failover(proposal) => leadership.record_failover_outcome(now, proposal, outcome),
        }
    }

    /// Records the reports of proxies, which may be connected to any replica.
    pub(crate) fn record_reports(
        &mut self,
        now: Timestamp,
        reports: Vec<ProxyReport>,
        state: &ControlState,
    ) {
        let Some(leadership) = &mut self.current else { return };
        for report in reports {
            leadership.membership.on_heartbeat(now, heartbeat(&report));
            leadership.contacts.record_report(now, &report.proxy);
            leadership.record_or_store_observations(now, report, state);
        }
    }

    /// Records a gateway's report of its allowances. Returns the grants to it, and to other gateways from
    /// the allowances that it freed; none before the duties begin.
    pub(crate) fn answer_allowances(
        &mut self,
        now: Timestamp,
        report: AllowanceReport,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        let Some(leadership) = &mut self.current else { return Vec::new() };
        if !leadership.has_begun() {
            leadership.limits.store_report(report);
            return Vec::new();
        }
        leadership.limits.answer_report(now, report, state)
    }

    /// Returns the grants that are due without a new report, see [`LeaderLimits::grants_due`].
    pub(crate) fn grants_due(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        self.begun().map_or_else(Vec::new, |leadership| leadership.limits.grants_due(now, state))
    }

    /// Records the result of a back-end call. The failover manager ignores results that name the
    /// term of an earlier leadership.
    pub(crate) fn record_back_end_result(&mut self, now: Timestamp, result: BackEndResult) {
        if let Some(leadership) = self.begun() {
            leadership.failover.handle(now, failover_event(result));
            leadership.failover_due = now;
        }
    }

    /// Records the result of a call about registered back ends.
    pub(crate) fn record_registry_answer(&mut self, now: Timestamp, answer: RegistryAnswer) {
        let Some(leadership) = self.begun() else { return };
        match answer {
            RegistryAnswer::Status(MemberTarget { group, member, .. }, asked_at, status) => {
                leadership.promotion.record_member_answer(&group, &member, asked_at, status);
            }
            RegistryAnswer::Promotion(group, fence, answer) => {
                leadership.promotion.record_authority_answer(now, &group, fence, answer);
            }
        }
    }

    /// Records a list polled from the platform, and makes the membership evaluation due at once.
    pub(crate) fn record_platform_list(&mut self, now: Timestamp, list: PlatformList) {
        if let Some(leadership) = &mut self.current {
            leadership.membership.on_platform_list(list);
            leadership.membership_due = now;
        }
    }

    /// Records the duration of each failover that the state shows as complete: the group has a primary
    /// again.
    pub(crate) fn record_new_primaries(&mut self, now: Timestamp, state: &ControlState) {
        let Some(leadership) = &mut self.current else { return };
        let metrics = &self.metrics;
        leadership.failovers_begun.retain(|name, begun_at| {
            let Some(group) = state.group(name) else { return false };
            if group.view.primary.is_some() {
                metrics.failover_seconds.observe((now - *begun_at).as_secs_f64());
            }
            group.view.primary.is_none()
        });
    }
}
