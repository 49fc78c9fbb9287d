//! Failover of all groups, for one leadership.
//!
//! The manager owns the monitors of the groups and the proposals in flight. It passes events to the
//! monitors, evaluates each monitor that is due, and joins the resulting steps into one command.
//! The calling process performs the calls to members and the proposals to the log, and supplies the
//! clock.

use super::calls::{FailoverAction, FailoverEvent, ProposalId};
use super::evaluation::{EvaluationContext, RequestedActions};
use super::monitor::Monitor;
use super::procedure::StepResult;
use super::settings::FailoverSettings;
use crate::identity::GroupName;
use crate::state::ControlState;
use crate::state::command::{Command, FailoverStep, Outcome};
use crate::time::Timestamp;
use crate::view::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which a new leader spreads its first evaluations, as each evaluation sends probes.
/// With less time, the probes of all groups leave together; with more, groups without a primary
/// wait longer for the new leader.
const FIRST_EVALUATION_SPREAD: Duration = Duration::from_millis(500);

/// Number of distinct delays within the spread: one every 10 ms.
const FIRST_EVALUATION_SLOTS: u32 = 50;

/// Most observations kept for groups that have no monitor yet. Bounds the memory, and leaves room
/// for several observations of each member of the largest supported fleets.
const EARLY_EVENT_LIMIT: usize = 10_000;

/// Decides the primary of every group; see the [module](super).
///
/// The calling process passes events to [`FailoverManager::handle`], then calls
/// [`FailoverManager::advance`] once for all waiting events, and again at
/// [`FailoverManager::next_deadline`]. The steps decided in one call form one command.
#[derive(Debug)]
pub struct FailoverManager {
    settings: FailoverSettings,
    monitors: BTreeMap<GroupName, Monitor>,
    proposals: BTreeMap<ProposalId, Vec<(GroupName, FailoverStep)>>,
    next_proposal: u64,
    applied_revision: Option<Revision>,
    early_events: Vec<(Timestamp, FailoverEvent)>,
}

impl FailoverManager {
    /// Returns a manager for a replica that just became leader.
    #[must_use]
    pub fn new(settings: FailoverSettings) -> Self {
        Self {
            settings,
            monitors: BTreeMap::new(),
            proposals: BTreeMap::new(),
            next_proposal: 0,
            applied_revision: None,
            early_events: Vec::new(),
        }
    }

    /// Records an event. The next call of [`FailoverManager::advance`] takes the decisions.
    pub fn handle(&mut self, now: Timestamp, event: FailoverEvent) {
        match event {
            FailoverEvent::Observed { proxy, group, member, health } => {
                match self.monitors.get_mut(&group) {
                    Some(monitor) => monitor.on_observation(now, proxy, &member, health),
                    None => self
                        .store_early(now, FailoverEvent::Observed { proxy, group, member, health }),
                }
            }
            FailoverEvent::Probed { group, member, status } => {
                if let Some(monitor) = self.monitors.get_mut(&group) {
                    monitor.on_probe_result(now, &member, status.as_ref());
                }
            }
            FailoverEvent::Fenced { group, member, term, result } => {
                if let Some(monitor) = self.monitors.get_mut(&group) {
                    monitor.on_fence_result(now, member, term, result);
                }
            }
            FailoverEvent::Promoted { group, member, term, result } => {
                if let Some(monitor) = self.monitors.get_mut(&group) {
                    monitor.on_promotion_result(now, &self.settings, &member, term, result);
                }
            }
            FailoverEvent::Proposed { proposal, outcome } => {
                self.on_proposal_outcome(now, proposal, outcome.as_ref());
            }
        }
    }

    /// Stores an observation of a group that has no monitor yet. Proxies report each change
    /// once, so a dropped observation would not be repeated.
    fn store_early(&mut self, now: Timestamp, event: FailoverEvent) {
        if self.early_events.len() < EARLY_EVENT_LIMIT {
            self.early_events.push((now, event));
        }
    }

    fn on_proposal_outcome(
        &mut self,
        now: Timestamp,
        proposal: ProposalId,
        outcome: Option<&Outcome>,
    ) {
        let steps = self.proposals.remove(&proposal).unwrap_or_default();
        for (index, (group, step)) in steps.into_iter().enumerate() {
            let Some(monitor) = self.monitors.get_mut(&group) else { continue };
            monitor.on_step_result(now, &self.settings, &step, &step_result(index, outcome));
        }
    }

    /// Evaluates every group that is due and returns the resulting actions. `state` is the control
    /// state after all entries applied so far.
    pub fn advance(&mut self, now: Timestamp, state: &ControlState) -> Vec<FailoverAction> {
        self.update_monitors(now, state);
        for (received_at, event) in std::mem::take(&mut self.early_events) {
            self.handle(received_at, event);
        }
        // The remaining early events belong to groups that do not exist in this state.
        self.early_events.clear();
        let mut requested = RequestedActions::default();
        for (name, monitor) in &mut self.monitors {
            if monitor.due > now {
                continue;
            }
            let Some(group) = state.group(name) else { continue };
            let settings = &self.settings;
            let context = EvaluationContext { now, settings, state, name, view: &group.view };
            monitor.advance(context, &mut requested);
        }
        let mut actions = requested.calls;
        if !requested.steps.is_empty() {
            actions.push(self.propose(requested.steps));
        }
        actions
    }

    /// Returns when [`FailoverManager::advance`] is due again if no event arrives.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.monitors.values().map(|monitor| monitor.due).min()
    }

    /// Adds monitors for new groups, removes those of deleted groups and updates the others.
    fn update_monitors(&mut self, now: Timestamp, state: &ControlState) {
        let revision = state.view_revision();
        if self.applied_revision == Some(revision) {
            return;
        }
        let is_first_update = self.applied_revision.is_none();
        self.applied_revision = Some(revision);
        self.monitors.retain(|name, _| state.group(name).is_some());
        for (index, (name, group)) in (0..).zip(state.groups()) {
            if let Some(monitor) = self.monitors.get_mut(name) {
                monitor.apply_record(now, &self.settings, group);
                continue;
            }
            let first_evaluation =
                if is_first_update { now + first_evaluation_delay(index) } else { now };
            let monitor = Monitor::new(now, first_evaluation, &self.settings, group);
            self.monitors.insert(name.clone(), monitor);
        }
    }

    fn propose(&mut self, steps: Vec<(GroupName, FailoverStep)>) -> FailoverAction {
        let proposal = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.proposals.insert(proposal, steps.clone());
        FailoverAction::Propose { proposal, command: Command::Failover(steps) }
    }
}

/// Returns how long after its start a new leader first evaluates the group at `index`.
fn first_evaluation_delay(index: u32) -> Duration {
    FIRST_EVALUATION_SPREAD * (index % FIRST_EVALUATION_SLOTS) / FIRST_EVALUATION_SLOTS
}

fn step_result(index: usize, outcome: Option<&Outcome>) -> StepResult {
    match outcome {
        Some(Outcome::Batch { refused }) => {
            let refusal = refused.iter().find(|(refused_index, _)| *refused_index == index);
            refusal
                .map_or(StepResult::Accepted, |(_, refusal)| StepResult::Refused(refusal.clone()))
        }
        Some(Outcome::Refused(refusal)) => StepResult::Refused(refusal.clone()),
        Some(Outcome::Accepted { .. } | Outcome::Registry(_)) | None => StepResult::Unknown,
    }
}
