//! The leader's duties as the consensus thread drives them.
//!
//! Owns the settings of the duties and the current leadership, if there is one. Relies on the back ends'
//! and the registry's callers for the calls that the duties want.

use super::convert::{failover_event, heartbeat};
use super::leadership::Leadership;
use super::limits::LeaderLimits;
use crate::back_end::{BackEndCall, BackEndResult, BackEnds, Operation};
use crate::metrics::{Metrics, PhaseLabel};
use crate::registry_calls::{RegistryAnswer, RegistryCaller};
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

/// Whose proposal it is, to find the right one for its outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DutyId {
    leadership: u64,
    duty: Duty,
}

#[derive(Clone, Copy, Debug)]
enum Duty {
    Membership,
    Failover(ProposalId),
    /// What is decided is read from the state.
    Promotion,
    Limits,
}

/// A command that the leader's duties want in the log.
#[derive(Debug)]
pub(crate) struct DutyProposal {
    pub(crate) id: DutyId,
    pub(crate) command: Command,
}

/// What only the leader does.
pub(crate) struct LeaderDuties {
    membership: MembershipSettings,
    failover: FailoverSettings,
    call_timeout: Duration,
    probe_timeout: Duration,
    back_ends: BackEnds,
    registry: Option<RegistryCaller>,
    limits: LimitBounds,
    metrics: Metrics,
    /// Counts the times this replica became leader.
    leaderships: u64,
    current: Option<Leadership>,
}

impl LeaderDuties {
    pub(crate) fn new(
        settings: &ControlSettings,
        back_ends: BackEnds,
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

    /// Begins or ends the duties with the leadership of a term.
    pub(crate) fn follow_role(&mut self, now: Timestamp, leads: Option<Term>) {
        let Some(term) = leads else {
            self.current = None;
            return;
        };
        if self.current.is_none() {
            self.leaderships += 1;
            let limits = LeaderLimits::new(term, self.limits);
            self.current = Some(Leadership::new(now, &self.membership, &self.failover, limits));
        }
    }

    /// When [`LeaderDuties::advance`] is due if nothing happens before.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let leadership = self.current.as_ref()?;
        Some(leadership.membership_due.min(leadership.failover_due))
    }

    /// Lets the core decide what is due, starts its calls and gives its commands.
    pub(crate) fn advance(&mut self, now: Timestamp, state: &ControlState) -> Vec<DutyProposal> {
        let Some(leadership) = &mut self.current else { return Vec::new() };
        leadership.follow(now, state);
        let mut commands: Vec<(Duty, Command)> = Vec::new();
        for command in leadership.membership_commands(now, state) {
            commands.push((Duty::Membership, command));
        }
        if let Some(command) = leadership.limits.advance(now, state) {
            commands.push((Duty::Limits, command));
        }
        let (proposals, calls) = leadership.advance_failover(now, state);
        commands.extend(proposals.into_iter().map(|(id, it)| (Duty::Failover(id), it)));
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
        let (phase, limit) = match operation {
            Operation::Probe => ("probe", self.probe_timeout),
            Operation::Fence(_) => ("fence", self.call_timeout),
            Operation::Promote(_) => ("promote", self.call_timeout),
        };
        self.metrics.failover_steps.get_or_create(&PhaseLabel { phase }).inc();
        self.back_ends.start(BackEndCall { target, operation }, limit);
    }

    /// Takes the outcome of a proposal; none when it is not known.
    pub(crate) fn take_outcome(&mut self, now: Timestamp, id: DutyId, outcome: Option<Outcome>) {
        let current = id.leadership == self.leaderships;
        let Some(leadership) = self.current.as_mut().filter(|_| current) else { return };
        match id.duty {
            Duty::Membership => leadership.take_membership_outcome(now),
            Duty::Promotion => (),
            Duty::Limits => leadership.limits.take_outcome(outcome.is_some()),
            Duty::Failover(proposal) => leadership.take_failover_outcome(now, proposal, outcome),
        }
    }

    /// Takes what proxies reported, here or to another replica.
    pub(crate) fn take_reports(
        &mut self,
        now: Timestamp,
        reports: Vec<ProxyReport>,
        state: &ControlState,
    ) {
        let Some(leadership) = &mut self.current else { return };
        for report in reports {
            leadership.membership.on_report(now, heartbeat(&report));
            leadership.contacts.note_report(now, &report.proxy);
            leadership.take_observations(now, report, state);
        }
    }

    /// Answers what a gateway holds of tenants' limits, and gives others what became free.
    pub(crate) fn take_allowances(
        &mut self,
        now: Timestamp,
        report: AllowanceReport,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        let leadership = self.current.as_mut();
        leadership
            .map_or_else(Vec::new, |leadership| leadership.limits.take_report(now, report, state))
    }

    /// What gateways are given of tenants' limits beside the answers to their reports.
    pub(crate) fn grants_due(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        let leadership = self.current.as_mut();
        leadership.map_or_else(Vec::new, |leadership| leadership.limits.grants_due(now, state))
    }

    /// Takes a back end's answer. One to an earlier leadership names a term that
    /// the failover manager does not act on.
    pub(crate) fn take_answer(&mut self, now: Timestamp, result: BackEndResult) {
        if let Some(leadership) = &mut self.current {
            leadership.failover.handle(now, failover_event(result));
            leadership.failover_due = now;
        }
    }

    /// Takes an answer about registered back ends.
    pub(crate) fn take_registry_answer(&mut self, now: Timestamp, answer: RegistryAnswer) {
        let Some(leadership) = &mut self.current else { return };
        match answer {
            RegistryAnswer::Status(call, status) => {
                leadership.promotion.take_status(&call.group, &call.member, status);
            }
            RegistryAnswer::Promotion(group, fence, answer) => {
                leadership.promotion.take_answer(now, &group, fence, answer);
            }
        }
    }

    /// Takes the platform's list.
    pub(crate) fn take_platform(&mut self, now: Timestamp, list: PlatformList) {
        if let Some(leadership) = &mut self.current {
            leadership.membership.on_platform(list);
            leadership.membership_due = now;
        }
    }

    /// Counts a group's new primary, and how long it took to decide on it.
    pub(crate) fn note_primaries(&mut self, now: Timestamp, state: &ControlState) {
        let Some(leadership) = &mut self.current else { return };
        let metrics = &self.metrics;
        leadership.begun.retain(|name, begun| {
            let Some(group) = state.group(name) else { return false };
            if group.view.primary.is_some() {
                metrics.failover_seconds.observe((now - *begun).as_secs_f64());
            }
            group.view.primary.is_none()
        });
    }
}
