//! Rules by which the phase of one group advances.
//!
//! Each evaluation advances the phase of a group by the observations of its members and by the
//! control state. The state of a group is in [`super::monitor`], the data of each phase in
//! [`super::procedure`], and the failure detection in [`super::suspicion`]. The manager performs
//! the requested actions and delivers the answers.

use super::calls::FailoverAction;
use super::evaluation::{EvaluationContext, RequestedActions};
use super::evidence::{MemberHealth, confirmed_primary, highest_promised_term, reachable};
use super::monitor::Monitor;
use super::procedure::{Phase, Promoting, call_target, failover_begin_step};
use super::settings::FailoverSettings;
use super::suspicion::{SINGLE_OBSERVER_FACTOR, Suspicion, evaluate_observations, is_observed};
use crate::position::Term;
use crate::resources::MemberSpec;
use crate::state::command::FailoverStep;
use crate::time::Timestamp;
use std::time::Duration;

/// Interval between two evaluations of a group that is probed intensively. Bounds how late a step
/// is taken when no event arrives; with a shorter interval, such a group costs more evaluations.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(20);

/// Promotion calls to one member before the leader begins a higher term. With one call, a lost
/// answer costs a term; with more than two, a group whose chosen member is gone stays longer
/// without a primary.
const PROMOTE_ATTEMPTS: u32 = 2;

/// Greatest age of a probe that counts for a planned switchover: five probes at the interval of a
/// group in doubt.
const PROBE_MAX_AGE: Duration = Duration::from_secs(1);

/// Which members of a group are probed, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeMode {
    /// A proxy reports on the primary, and the primary is healthy.
    Sweep,
    /// No proxy reports on the primary.
    Unobserved,
    /// The primary is in doubt, draining or missing; all members are probed.
    Intensive,
}

impl Monitor {
    /// Takes all steps that are due, sends probes and sets the time of the next evaluation.
    pub fn advance(&mut self, context: EvaluationContext<'_>, requested: &mut RequestedActions) {
        while let Some(next) = self.next_phase(context, requested) {
            self.phase = next;
        }
        let mode = self.probe_mode(context);
        self.probe(context, mode, requested);
        self.due = match mode {
            ProbeMode::Intensive => context.now + ACTIVE_INTERVAL,
            _ => self.last_probe.unwrap_or(context.now) + probe_interval(mode, context.settings),
        };
    }

    fn next_phase(
        &mut self,
        context: EvaluationContext<'_>,
        requested: &mut RequestedActions,
    ) -> Option<Phase> {
        match &self.phase {
            Phase::Steady => self.advance_steady(context),
            Phase::Assessing { since, min_wait } => {
                self.advance_assessing(context, *since, *min_wait)
            }
            Phase::Decided(step) => {
                requested.steps.push((context.name.clone(), step.clone()));
                Some(Phase::Proposed { step: step.clone(), since: context.now })
            }
            Phase::Proposed { since, .. } => {
                let waited = context.now.saturating_since(*since);
                (waited >= context.settings.answer_timeout)
                    .then(|| self.phase_from_stored(context.now, context.settings))
            }
            Phase::Fencing(_) => self.advance_fencing(context, requested),
            Phase::Promoting(_) => self.advance_promoting(context, requested),
        }
    }

    /// Checks whether the primary is alive and whether it must be replaced.
    fn advance_steady(&mut self, context: EvaluationContext<'_>) -> Option<Phase> {
        if let Some(step) = self.adoption_step(context) {
            return Some(Phase::Decided(step));
        }
        let suspicion = self.suspicion(context);
        let wait = match suspicion {
            Suspicion::None | Suspicion::Inconclusive => {
                self.suspected_since = None;
                return self.planned_switchover(context);
            }
            Suspicion::Deposed(term) if term > context.view.term => {
                let min_wait = context.settings.adoption_wait;
                return Some(self.assessing_phase(context.now, context.settings, min_wait));
            }
            Suspicion::Deposed(_) => Duration::ZERO,
            Suspicion::Unreachable => context.settings.suspicion,
            Suspicion::SingleObserver => context.settings.suspicion * SINGLE_OBSERVER_FACTOR,
        };
        let since = *self.suspected_since.get_or_insert(context.now);
        let wait_elapsed = context.now.saturating_since(since) >= wait;
        let ready = wait_elapsed && self.has_cooled_down(context) && self.can_fence(context, since);
        ready.then(|| Phase::Decided(failover_begin_step(&self.evidence, context.view)))
    }

    /// Replaces a draining primary once a majority of members that are not draining follows it.
    fn planned_switchover(&self, context: EvaluationContext<'_>) -> Option<Phase> {
        let view = context.view;
        let draining = view.primary.as_ref().is_some_and(|primary| view.draining.contains(primary));
        if !draining || !self.has_cooled_down(context) {
            return None;
        }
        // No probe was sent before the origin of the clock.
        let since = context.now.checked_sub(PROBE_MAX_AGE).unwrap_or(Timestamp::ZERO);
        let following = Some(MemberHealth::Replica(view.term));
        let not_draining = self.evidence.iter().filter(|(name, _)| !view.draining.contains(*name));
        let ready =
            not_draining.filter(|(_, member)| member.control_since(since) == following).count();
        let has_majority = ready >= view.spec.majority();
        has_majority.then(|| Phase::Decided(failover_begin_step(&self.evidence, view)))
    }

    /// Looks for a primary that is not announced yet, and begins a term when none appears in time.
    fn advance_assessing(
        &self,
        context: EvaluationContext<'_>,
        since: Timestamp,
        min_wait: Duration,
    ) -> Option<Phase> {
        if let Some(step) = self.adoption_step(context) {
            return Some(Phase::Decided(step));
        }
        let announced = context.view.primary.is_some();
        if announced && self.suspicion(context) == Suspicion::None {
            return Some(Phase::Steady);
        }
        let waited = context.now.saturating_since(since) >= min_wait;
        let cooled_down = !announced || self.has_cooled_down(context);
        let ready = waited && cooled_down && self.can_fence(context, since);
        ready.then(|| Phase::Decided(failover_begin_step(&self.evidence, context.view)))
    }

    fn advance_fencing(
        &mut self,
        context: EvaluationContext<'_>,
        requested: &mut RequestedActions,
    ) -> Option<Phase> {
        let superseding_term = self.superseding_term(context);
        let Phase::Fencing(fencing) = &mut self.phase else { return None };
        if superseding_term > Some(fencing.term) {
            return Some(self.assessing_phase(
                context.now,
                context.settings,
                context.settings.adoption_wait,
            ));
        }
        if let Some(member) = fencing.most_advanced(context.view) {
            let member = member.clone();
            let since = *fencing.majority_at.get_or_insert(context.now);
            let settled = !context.view.draining.contains(&member)
                || fencing.is_complete(&context.view.spec)
                || context.now.saturating_since(since) >= context.settings.fence_settle;
            if settled {
                return Some(Phase::Promoting(Promoting::new(fencing.term, member, context.now)));
            }
        }
        if context.now >= fencing.next_ask_at {
            fencing.attempts += 1;
            fencing.next_ask_at = context.now + context.settings.retry_delay(fencing.attempts);
            let unanswered = |member: &&MemberSpec| !fencing.answers.contains_key(&member.name);
            let asked = context.view.spec.members.iter().filter(unanswered);
            let term = fencing.term;
            requested.calls.extend(asked.map(|member| FailoverAction::Fence {
                target: call_target(context.name, &context.view.spec, member),
                term,
            }));
        }
        None
    }

    fn advance_promoting(
        &mut self,
        context: EvaluationContext<'_>,
        requested: &mut RequestedActions,
    ) -> Option<Phase> {
        if let Some(step) = self.adoption_step(context) {
            return Some(Phase::Decided(step));
        }
        let superseding_term = self.superseding_term(context);
        let Phase::Promoting(promoting) = &mut self.phase else { return None };
        if superseding_term > Some(promoting.term) {
            return Some(self.assessing_phase(
                context.now,
                context.settings,
                context.settings.adoption_wait,
            ));
        }
        if context.now < promoting.next_ask_at {
            return None;
        }
        let member = context.view.spec.member(&promoting.member);
        let Some(member) = member.filter(|_| promoting.attempts < PROMOTE_ATTEMPTS) else {
            // The leader may ask another member only in a higher term.
            return Some(Phase::Decided(failover_begin_step(&self.evidence, context.view)));
        };
        promoting.attempts += 1;
        promoting.next_ask_at = context.now + context.settings.answer_timeout;
        let target = call_target(context.name, &context.view.spec, member);
        requested.calls.push(FailoverAction::Promote { target, term: promoting.term });
        None
    }

    /// Returns the highest promised term if it is above the stored term.
    fn superseding_term(&self, context: EvaluationContext<'_>) -> Option<Term> {
        Some(highest_promised_term(&self.evidence)).filter(|promised| *promised > context.view.term)
    }

    /// Returns the step that announces a primary which the group elected by itself.
    fn adoption_step(&self, context: EvaluationContext<'_>) -> Option<FailoverStep> {
        let (term, primary) = confirmed_primary(&self.evidence, context.view.spec.majority())?;
        let is_new = term > context.view.term
            || (term == context.view.term && context.view.primary.is_none());
        is_new.then(|| FailoverStep::Adopt { primary: primary.clone(), term })
    }

    fn suspicion(&self, context: EvaluationContext<'_>) -> Suspicion {
        let primary = context.view.primary.as_ref().and_then(|name| self.evidence.get(name));
        primary.map_or(Suspicion::None, |evidence| {
            evaluate_observations(
                evidence,
                context.view,
                context.state,
                self.stored_at,
                context.now,
            )
        })
    }

    /// Reports whether a majority of the members answers, without which no member could be promoted.
    fn can_fence(&self, context: EvaluationContext<'_>, since: Timestamp) -> bool {
        reachable(&self.evidence, since).count() >= context.view.spec.majority()
    }

    fn probe_mode(&self, context: EvaluationContext<'_>) -> ProbeMode {
        match self.phase {
            Phase::Steady => {}
            _ => return ProbeMode::Intensive,
        }
        let Some(primary) = &context.view.primary else { return ProbeMode::Intensive };
        let higher =
            |health| matches!(health, MemberHealth::Primary(term) if term > context.view.term);
        let has_higher_primary = self.evidence.values().any(|member| member.healths().any(higher));
        let is_suspected = self.suspicion(context) != Suspicion::None;
        if has_higher_primary || is_suspected || context.view.draining.contains(primary) {
            return ProbeMode::Intensive;
        }
        let evidence = self.evidence.get(primary);
        let observed = evidence.is_some_and(|evidence| {
            is_observed(evidence, context.view, context.state, context.now)
        });
        if observed { ProbeMode::Sweep } else { ProbeMode::Unobserved }
    }

    /// Probes all members in mode [`ProbeMode::Intensive`], otherwise only the primary.
    fn probe(
        &mut self,
        context: EvaluationContext<'_>,
        mode: ProbeMode,
        requested: &mut RequestedActions,
    ) {
        let interval = probe_interval(mode, context.settings);
        if self.last_probe.is_some_and(|last| context.now.saturating_since(last) < interval) {
            return;
        }
        self.last_probe = Some(context.now);
        let primary = context.view.primary.as_ref();
        for member in &context.view.spec.members {
            let Some(evidence) = self.evidence.get_mut(&member.name) else { continue };
            let is_probed = mode == ProbeMode::Intensive || primary == Some(&member.name);
            if is_probed && !evidence.is_being_probed(context.now, context.settings.answer_timeout)
            {
                evidence.probe_sent = Some(context.now);
                let target = call_target(context.name, &context.view.spec, member);
                requested.calls.push(FailoverAction::Probe(target));
            }
        }
    }
}

const fn probe_interval(mode: ProbeMode, settings: &FailoverSettings) -> Duration {
    match mode {
        ProbeMode::Sweep => settings.sweep_interval,
        ProbeMode::Unobserved => settings.unobserved_interval,
        ProbeMode::Intensive => settings.probe_interval,
    }
}
