//! All groups of one leader.
//!
//! Brings events to the groups' monitors, has each that is due evaluated, and joins the steps that they decide
//! into one command. Owns the monitors and the proposals under way. Relies on the shell for calls to members, for
//! proposals to the log, and for the clock.

use super::calls::{FailoverAction, FailoverEvent, ProposalId};
use super::evaluation::{Evaluation, Wanted};
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

/// Time over which a new leader spreads its first evaluations, as each sends probes. Chosen, not measured: with
/// less, all groups' probes leave together; with more, groups without a primary wait for the new leader.
const FIRST_EVALUATIONS_SPREAD: Duration = Duration::from_millis(500);

/// Steps of the spread: 10 ms each.
const FIRST_EVALUATIONS_STEPS: u32 = 50;

/// Observations kept until their groups are followed, a bound on memory: some for each member of the fleets that
/// are aimed at. Chosen, not measured.
const EARLY_EVENT_LIMIT: usize = 10_000;

/// Decides the primary of every group; see the [module](super).
///
/// The shell feeds events as they come, then calls [`FailoverManager::advance`]
/// once for all that were waiting, and again at [`FailoverManager::next_deadline`].
/// Decisions that fall together are one command.
#[derive(Debug)]
pub struct FailoverManager {
    settings: FailoverSettings,
    monitors: BTreeMap<GroupName, Monitor>,
    proposals: BTreeMap<ProposalId, Vec<(GroupName, FailoverStep)>>,
    next_proposal: u64,
    followed: Option<Revision>,
    early: Vec<(Timestamp, FailoverEvent)>,
}

impl FailoverManager {
    /// A manager for a replica that just became leader.
    #[must_use]
    pub fn new(settings: FailoverSettings) -> Self {
        Self {
            settings,
            monitors: BTreeMap::new(),
            proposals: BTreeMap::new(),
            next_proposal: 0,
            followed: None,
            early: Vec::new(),
        }
    }

    /// Takes in what happened. Nothing is decided before the next [`FailoverManager::advance`].
    pub fn handle(&mut self, now: Timestamp, event: FailoverEvent) {
        match event {
            FailoverEvent::Observed { proxy, group, member, health } => {
                match self.monitors.get_mut(&group) {
                    Some(monitor) => monitor.observed(now, proxy, &member, health),
                    None => {
                        self.keep(now, FailoverEvent::Observed { proxy, group, member, health })
                    }
                }
            }
            FailoverEvent::Probed { group, member, status } => {
                if let Some(monitor) = self.monitors.get_mut(&group) {
                    monitor.probed(now, &member, status.as_ref());
                }
            }
            FailoverEvent::Fenced { group, member, term, result } => {
                if let Some(monitor) = self.monitors.get_mut(&group) {
                    monitor.fenced(now, member, term, result);
                }
            }
            FailoverEvent::Promoted { group, member, term, result } => {
                if let Some(monitor) = self.monitors.get_mut(&group) {
                    monitor.promoted(now, &self.settings, &member, term, result);
                }
            }
            FailoverEvent::Proposed { proposal, outcome } => {
                self.proposed(now, proposal, outcome.as_ref());
            }
        }
    }

    /// Keeps an observation of a group that is not followed yet: proxies report
    /// changes once, so it would not come again.
    fn keep(&mut self, now: Timestamp, event: FailoverEvent) {
        if self.early.len() < EARLY_EVENT_LIMIT {
            self.early.push((now, event));
        }
    }

    fn proposed(&mut self, now: Timestamp, proposal: ProposalId, outcome: Option<&Outcome>) {
        let steps = self.proposals.remove(&proposal).unwrap_or_default();
        for (place, (group, step)) in steps.into_iter().enumerate() {
            let Some(monitor) = self.monitors.get_mut(&group) else { continue };
            monitor.proposed(now, &self.settings, &step, &step_result(place, outcome));
        }
    }

    /// Decides what is due. `state` is the state applied so far.
    pub fn advance(&mut self, now: Timestamp, state: &ControlState) -> Vec<FailoverAction> {
        self.follow(now, state);
        for (at, event) in std::mem::take(&mut self.early) {
            self.handle(at, event);
        }
        // What is early still is of a group that does not exist here.
        self.early.clear();
        let mut wanted = Wanted::default();
        for (name, monitor) in &mut self.monitors {
            if monitor.due > now {
                continue;
            }
            let Some(group) = state.group(name) else { continue };
            let settings = &self.settings;
            let evaluation = Evaluation { now, settings, state, name, view: &group.view };
            monitor.advance(evaluation, &mut wanted);
        }
        let mut actions = wanted.calls;
        if !wanted.steps.is_empty() {
            actions.push(self.propose(wanted.steps));
        }
        actions
    }

    /// When [`FailoverManager::advance`] is due again if nothing happens.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.monitors.values().map(|monitor| monitor.due).min()
    }

    /// Takes up new groups and drops deleted ones.
    fn follow(&mut self, now: Timestamp, state: &ControlState) {
        let revision = state.view_revision();
        if self.followed == Some(revision) {
            return;
        }
        let first = self.followed.is_none();
        self.followed = Some(revision);
        self.monitors.retain(|name, _| state.group(name).is_some());
        for (place, (name, group)) in (0..).zip(state.groups()) {
            if let Some(monitor) = self.monitors.get_mut(name) {
                monitor.follow(now, &self.settings, group);
                continue;
            }
            let start = if first { now + first_evaluation_delay(place) } else { now };
            let monitor = Monitor::new(now, start, &self.settings, group);
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

/// How long after its start a new leader first evaluates the group in this place.
fn first_evaluation_delay(place: u32) -> Duration {
    FIRST_EVALUATIONS_SPREAD * (place % FIRST_EVALUATIONS_STEPS) / FIRST_EVALUATIONS_STEPS
}

fn step_result(place: usize, outcome: Option<&Outcome>) -> StepResult {
    match outcome {
        Some(Outcome::Batch { refused }) => {
            let refusal = refused.iter().find(|(refused, _)| *refused == place);
            refusal.map_or(StepResult::Accepted, |(_, why)| StepResult::Refused(why.clone()))
        }
        Some(Outcome::Refused(refusal)) => StepResult::Refused(refusal.clone()),
        Some(Outcome::Accepted { .. } | Outcome::Registry(_)) | None => StepResult::Unknown,
    }
}
