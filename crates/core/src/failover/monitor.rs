//! State that the leader keeps for one group.
//!
//! A monitor holds the phase of the group, the observations of its members, and the number of
//! recent failovers. It applies events and changes of the control state; [`super::decide`] decides
//! what follows from them.

use super::calls::{CallFailure, FenceAnswer};
use super::evaluation::EvaluationContext;
use super::evidence::{GroupEvidence, MemberEvidence, MemberHealth};
use super::procedure::{Fencing, Phase, Promoting, StepResult};
use super::settings::FailoverSettings;
use crate::backend::MemberStatus;
use crate::identity::{MemberName, ProxyName};
use crate::position::{Position, Term};
use crate::resources::{DatabaseGroupSpec, MemberSpec};
use crate::state::GroupRecord;
use crate::state::command::FailoverStep;
use crate::time::Timestamp;
use crate::view::GroupView;
use std::sync::Arc;
use std::time::Duration;

/// Failover state of one group.
#[derive(Debug)]
pub(super) struct Monitor {
    /// View of the group that was applied last; pointer equality tells cheaply that it is unchanged.
    view: Arc<GroupView>,
    pub evidence: GroupEvidence,
    /// Primary and term in the control state.
    stored: (Option<MemberName>, Term),
    /// When this leader first saw the stored primary and term.
    pub stored_at: Timestamp,
    pub phase: Phase,
    pub suspected_since: Option<Timestamp>,
    pub last_probe: Option<Timestamp>,
    /// When the next evaluation is due.
    pub due: Timestamp,
    /// Number of terms begun since the last primary was announced.
    attempts: u32,
    /// Number of recent failovers, from which the cooldown follows.
    failovers: u32,
    last_failover: Option<Timestamp>,
}

impl Monitor {
    /// Returns a monitor of the group whose first evaluation is due at `first_evaluation`.
    pub fn new(
        now: Timestamp,
        first_evaluation: Timestamp,
        settings: &FailoverSettings,
        group: &GroupRecord,
    ) -> Self {
        let members = group.view.spec.members.iter();
        let mut monitor = Self {
            view: Arc::clone(&group.view),
            evidence: members
                .map(|member| (member.name.clone(), MemberEvidence::default()))
                .collect(),
            stored: (group.view.primary.clone(), group.view.term),
            stored_at: now,
            phase: Phase::Steady,
            suspected_since: None,
            last_probe: None,
            due: first_evaluation,
            attempts: 0,
            failovers: 0,
            last_failover: None,
        };
        monitor.phase = monitor.phase_from_stored(now, settings);
        monitor
    }

    /// Applies the group's record in the control state.
    pub fn apply_record(
        &mut self,
        now: Timestamp,
        settings: &FailoverSettings,
        group: &GroupRecord,
    ) {
        if Arc::ptr_eq(&self.view, &group.view) {
            return;
        }
        let before = std::mem::replace(&mut self.view, Arc::clone(&group.view));
        self.due = now;
        self.apply_members(&before.spec);
        let stored = (group.view.primary.clone(), group.view.term);
        if self.stored != stored {
            self.stored = stored;
            self.stored_at = now;
            self.suspected_since = None;
        }
        self.revise_phase(now, settings);
    }

    /// Applies a change of the members or their addresses. A failover under way starts over, as the
    /// majority may be another one. Observations of a member are valid for its address only.
    fn apply_members(&mut self, before: &DatabaseGroupSpec) {
        let spec = &self.view.spec;
        let moved = |member: &MemberSpec| {
            before.member(&member.name).is_none_or(|before| before.address != member.address)
        };
        let is_unchanged =
            spec.members.len() == before.members.len() && !spec.members.iter().any(moved);
        if is_unchanged {
            return;
        }
        self.evidence.retain(|name, _| spec.member(name).is_some_and(|member| !moved(member)));
        for member in &spec.members {
            self.evidence.entry(member.name.clone()).or_default();
        }
        if matches!(self.phase, Phase::Fencing(_) | Phase::Promoting(_)) {
            self.phase = Phase::Steady;
        }
    }

    /// Restarts from the stored primary and term if they supersede the current phase.
    fn revise_phase(&mut self, now: Timestamp, settings: &FailoverSettings) {
        let (primary, term) = &self.stored;
        let is_superseded = match &self.phase {
            Phase::Steady => primary.is_none(),
            Phase::Assessing { .. } => primary.is_some() && self.stored_at == now,
            // The outcome of the proposal decides the next phase.
            Phase::Decided(_) | Phase::Proposed { .. } => false,
            Phase::Fencing(Fencing { term: phase_term, .. })
            | Phase::Promoting(Promoting { term: phase_term, .. }) => {
                term > phase_term || (term == phase_term && primary.is_some())
            }
        };
        if is_superseded {
            self.phase = self.phase_from_stored(now, settings);
        }
    }

    /// Returns the phase that follows from the stored primary and term alone.
    pub fn phase_from_stored(&mut self, now: Timestamp, settings: &FailoverSettings) -> Phase {
        if self.stored.0.is_some() {
            self.attempts = 0;
            return Phase::Steady;
        }
        let new_group = self.stored.1 == Term::default();
        let min_wait = if new_group { settings.bootstrap_wait } else { settings.resume_wait };
        self.assessing_phase(now, settings, min_wait)
    }

    /// Returns the phase that looks for an existing primary. Its wait grows with the number of terms
    /// that were begun without a primary.
    pub fn assessing_phase(
        &self,
        now: Timestamp,
        settings: &FailoverSettings,
        min_wait: Duration,
    ) -> Phase {
        let backoff =
            if self.attempts == 0 { Duration::ZERO } else { settings.retry_delay(self.attempts) };
        Phase::Assessing { since: now, min_wait: min_wait.max(backoff) }
    }

    /// Reports whether the cooldown after the last failover has passed.
    pub fn has_cooled_down(&self, context: EvaluationContext<'_>) -> bool {
        self.last_failover.is_none_or(|last| {
            context.now.saturating_since(last) >= context.settings.cooldown(self.failovers)
        })
    }

    fn record_failover(&mut self, now: Timestamp, settings: &FailoverSettings) {
        let is_quiet = |last: Timestamp| now.saturating_since(last) >= settings.quiet_time;
        if self.last_failover.is_some_and(is_quiet) {
            self.failovers = 0;
        }
        self.failovers += 1;
        self.last_failover = Some(now);
    }

    /// Records the report of a proxy on a member.
    pub fn on_observation(
        &mut self,
        now: Timestamp,
        proxy: ProxyName,
        member: &MemberName,
        health: MemberHealth,
    ) {
        self.due = now;
        if let Some(evidence) = self.evidence.get_mut(member) {
            evidence.record_observation(now, proxy, health);
        }
    }

    /// Records the answer to a probe; `status` is none when the member did not answer.
    pub fn on_probe_result(
        &mut self,
        now: Timestamp,
        member: &MemberName,
        status: Option<&MemberStatus>,
    ) {
        self.due = now;
        if let Some(evidence) = self.evidence.get_mut(member) {
            evidence.record_probe(now, status);
        }
    }

    /// Records the answer to a fence call.
    pub fn on_fence_result(
        &mut self,
        now: Timestamp,
        member: MemberName,
        term: Term,
        result: Result<FenceAnswer, CallFailure>,
    ) {
        self.due = now;
        let Some(evidence) = self.evidence.get_mut(&member) else { return };
        match result {
            Ok(answer) => {
                evidence.record_term(Some(answer.promised));
                if let Phase::Fencing(fencing) = &mut self.phase
                    && fencing.term == term
                    && answer.promised == term
                {
                    fencing.answers.insert(member, answer.last_position);
                }
            }
            Err(failure) => evidence.record_term(promised_term(failure, term)),
        }
    }

    /// Records the answer to a promotion call.
    pub fn on_promotion_result(
        &mut self,
        now: Timestamp,
        settings: &FailoverSettings,
        member: &MemberName,
        term: Term,
        result: Result<Position, CallFailure>,
    ) {
        self.due = now;
        if let Err(failure) = result {
            let evidence = self.evidence.get_mut(member);
            evidence
                .into_iter()
                .for_each(|evidence| evidence.record_term(promised_term(failure, term)));
        }
        let Phase::Promoting(promoting) = &mut self.phase else { return };
        if promoting.term != term || promoting.member != *member {
            return;
        }
        if result.is_err() {
            promoting.next_ask_at = now + settings.retry_delay(promoting.attempts);
        } else {
            let step = FailoverStep::Complete { primary: member.clone(), term };
            self.phase = Phase::Decided(step);
        }
    }

    /// Handles the result of a proposed step.
    pub fn on_step_result(
        &mut self,
        now: Timestamp,
        settings: &FailoverSettings,
        step: &FailoverStep,
        result: &StepResult,
    ) {
        let Phase::Proposed { step: proposed, .. } = &self.phase else { return };
        if proposed != step {
            return;
        }
        self.due = now;
        match (step, result) {
            (FailoverStep::Begin { term }, StepResult::Accepted) => {
                self.attempts += 1;
                self.phase = Phase::Fencing(Fencing::new(*term, now));
            }
            (_, StepResult::Accepted) => {
                if self.attempts > 0 {
                    self.record_failover(now, settings);
                }
                self.phase = self.phase_from_stored(now, settings);
            }
            // The step was refused or its outcome is unknown: the control state and the members decide
            // the next phase.
            _ => self.phase = self.phase_from_stored(now, settings),
        }
    }
}

/// Returns the term that the member must have promised for the call to fail as it did.
fn promised_term(failure: CallFailure, term: Term) -> Option<Term> {
    match failure {
        CallFailure::HigherTerm(promised) => Some(promised.unwrap_or(Term(term.0 + 1))),
        CallFailure::Failed => None,
    }
}
