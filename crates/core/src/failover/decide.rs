//! What to do next about one group.
//!
//! Takes the phase of a group further, by what is known of its members and by what the control state says. Owns
//! the rules; what is known of the group is in [`super::monitor`], the steps of a procedure in
//! [`super::procedure`], who counts as failed in [`super::suspicion`]. Relies on the manager to carry out what
//! is wanted and to bring the answers back.

use super::calls::FailoverAction;
use super::evaluation::{Evaluation, Wanted};
use super::evidence::{MemberHealth, confirmed_primary, highest_promise, reachable};
use super::monitor::Monitor;
use super::procedure::{Phase, Promoting, begin_step, target};
use super::settings::FailoverSettings;
use super::suspicion::{LONE_OBSERVER_FACTOR, Suspicion, is_observed, weigh};
use crate::position::Term;
use crate::resources::MemberSpec;
use crate::state::command::FailoverStep;
use crate::time::Timestamp;
use std::time::Duration;

/// Between two evaluations of a group that is not at rest. Chosen, not measured: a bound on how late a step is
/// taken where no event comes; with less, an unsettled group costs more evaluations.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(20);

/// Promotions asked of one member before a higher term is begun. Chosen, not measured: with one, a lost answer
/// costs a term; with more, a group whose chosen member has gone stays longer without a primary.
const PROMOTE_ATTEMPTS: u32 = 2;

/// How old a probe may be that speaks for a planned switch: five probes at the interval of a group in doubt.
/// Chosen, not measured.
const FRESH_PROBE: Duration = Duration::from_secs(1);

/// How closely a group is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attention {
    /// Its owner sees a healthy primary.
    Sweep,
    /// No proxy reports on its primary.
    Unobserved,
    /// There is doubt, or no primary.
    Close,
}

impl Monitor {
    /// Takes all steps that are due.
    pub fn advance(&mut self, evaluation: Evaluation<'_>, wanted: &mut Wanted) {
        while let Some(next) = self.next_phase(evaluation, wanted) {
            self.phase = next;
        }
        let attention = self.attention(evaluation);
        self.probe(evaluation, attention, wanted);
        self.due = match attention {
            Attention::Close => evaluation.now + ACTIVE_INTERVAL,
            _ => {
                self.last_probe.unwrap_or(evaluation.now) + interval(attention, evaluation.settings)
            }
        };
    }

    fn next_phase(&mut self, evaluation: Evaluation<'_>, wanted: &mut Wanted) -> Option<Phase> {
        match &self.phase {
            Phase::Steady => self.watch(evaluation),
            Phase::Assessing { since, patience } => self.assess(evaluation, *since, *patience),
            Phase::Decided(step) => {
                wanted.steps.push((evaluation.name.clone(), step.clone()));
                Some(Phase::Proposed { step: step.clone(), since: evaluation.now })
            }
            Phase::Proposed { since, .. } => {
                let waited = evaluation.now.saturating_since(*since);
                (waited >= evaluation.settings.answer_timeout)
                    .then(|| self.stored_phase(evaluation.now, evaluation.settings))
            }
            Phase::Fencing(_) => self.fence(evaluation, wanted),
            Phase::Promoting(_) => self.promote(evaluation, wanted),
        }
    }

    /// A group with a primary: is it alive, and should it stay?
    fn watch(&mut self, evaluation: Evaluation<'_>) -> Option<Phase> {
        if let Some(step) = self.adoption(evaluation) {
            return Some(Phase::Decided(step));
        }
        let suspicion = self.suspicion(evaluation);
        let wait = match suspicion {
            Suspicion::None | Suspicion::Doubt => {
                self.suspected_since = None;
                return self.planned_switch(evaluation);
            }
            Suspicion::Deposed(term) if term > evaluation.view.term => {
                let patience = evaluation.settings.adoption_wait;
                return Some(self.assessing(evaluation.now, evaluation.settings, patience));
            }
            Suspicion::Deposed(_) => Duration::ZERO,
            Suspicion::Missed => evaluation.settings.suspicion,
            Suspicion::LoneObserver => evaluation.settings.suspicion * LONE_OBSERVER_FACTOR,
        };
        let since = *self.suspected_since.get_or_insert(evaluation.now);
        let convicted = evaluation.now.saturating_since(since) >= wait;
        let ready =
            convicted && self.has_cooled_down(evaluation) && self.can_fence(evaluation, since);
        ready.then(|| Phase::Decided(begin_step(&self.evidence, evaluation.view)))
    }

    /// A draining primary is replaced once a majority of staying members follows it.
    fn planned_switch(&self, evaluation: Evaluation<'_>) -> Option<Phase> {
        let view = evaluation.view;
        let leaving = view.primary.as_ref().is_some_and(|it| view.draining.contains(it));
        if !leaving || !self.has_cooled_down(evaluation) {
            return None;
        }
        // Nothing was probed before the origin of the clock.
        let since = evaluation.now.before(FRESH_PROBE).unwrap_or(Timestamp::ZERO);
        let following = Some(MemberHealth::Replica(view.term));
        let staying = self.evidence.iter().filter(|(name, _)| !view.draining.contains(*name));
        let ready = staying.filter(|(_, it)| it.control_since(since) == following).count();
        let enough = ready >= view.spec.majority();
        enough.then(|| Phase::Decided(begin_step(&self.evidence, view)))
    }

    /// A group that may have a primary that is not announced.
    fn assess(
        &self,
        evaluation: Evaluation<'_>,
        since: Timestamp,
        patience: Duration,
    ) -> Option<Phase> {
        if let Some(step) = self.adoption(evaluation) {
            return Some(Phase::Decided(step));
        }
        let announced = evaluation.view.primary.is_some();
        if announced && self.suspicion(evaluation) == Suspicion::None {
            return Some(Phase::Steady);
        }
        let waited = evaluation.now.saturating_since(since) >= patience;
        let cooled_down = !announced || self.has_cooled_down(evaluation);
        let ready = waited && cooled_down && self.can_fence(evaluation, since);
        ready.then(|| Phase::Decided(begin_step(&self.evidence, evaluation.view)))
    }

    fn fence(&mut self, evaluation: Evaluation<'_>, wanted: &mut Wanted) -> Option<Phase> {
        let overtaken = self.overtaken(evaluation);
        let Phase::Fencing(fencing) = &mut self.phase else { return None };
        if overtaken > Some(fencing.term) {
            return Some(self.assessing(
                evaluation.now,
                evaluation.settings,
                evaluation.settings.adoption_wait,
            ));
        }
        if let Some(member) = fencing.most_advanced(evaluation.view) {
            let member = member.clone();
            let since = *fencing.majority_at.get_or_insert(evaluation.now);
            let settled = !evaluation.view.draining.contains(&member)
                || fencing.is_complete(&evaluation.view.spec)
                || evaluation.now.saturating_since(since) >= evaluation.settings.fence_settle;
            if settled {
                return Some(Phase::Promoting(Promoting::new(
                    fencing.term,
                    member,
                    evaluation.now,
                )));
            }
        }
        if evaluation.now >= fencing.ask_at {
            fencing.attempts += 1;
            fencing.ask_at = evaluation.now + evaluation.settings.retry(fencing.attempts);
            let unanswered = |it: &&MemberSpec| !fencing.answers.contains_key(&it.name);
            let asked = evaluation.view.spec.members.iter().filter(unanswered);
            let term = fencing.term;
            wanted.calls.extend(asked.map(|member| FailoverAction::Fence {
                target: target(evaluation.name, &evaluation.view.spec, member),
                term,
            }));
        }
        None
    }

    fn promote(&mut self, evaluation: Evaluation<'_>, wanted: &mut Wanted) -> Option<Phase> {
        if let Some(step) = self.adoption(evaluation) {
            return Some(Phase::Decided(step));
        }
        let overtaken = self.overtaken(evaluation);
        let Phase::Promoting(promoting) = &mut self.phase else { return None };
        if overtaken > Some(promoting.term) {
            return Some(self.assessing(
                evaluation.now,
                evaluation.settings,
                evaluation.settings.adoption_wait,
            ));
        }
        if evaluation.now < promoting.ask_at {
            return None;
        }
        let member = evaluation.view.spec.member(&promoting.member);
        let Some(member) = member.filter(|_| promoting.attempts < PROMOTE_ATTEMPTS) else {
            // Another member may only be asked in a higher term.
            return Some(Phase::Decided(begin_step(&self.evidence, evaluation.view)));
        };
        promoting.attempts += 1;
        promoting.ask_at = evaluation.now + evaluation.settings.answer_timeout;
        let target = target(evaluation.name, &evaluation.view.spec, member);
        wanted.calls.push(FailoverAction::Promote { target, term: promoting.term });
        None
    }

    /// The highest promise that is above the stored term.
    fn overtaken(&self, evaluation: Evaluation<'_>) -> Option<Term> {
        Some(highest_promise(&self.evidence)).filter(|promised| *promised > evaluation.view.term)
    }

    /// The announcement of a primary that the group has by itself.
    fn adoption(&self, evaluation: Evaluation<'_>) -> Option<FailoverStep> {
        let (term, primary) = confirmed_primary(&self.evidence, evaluation.view.spec.majority())?;
        let news = term > evaluation.view.term
            || (term == evaluation.view.term && evaluation.view.primary.is_none());
        news.then(|| FailoverStep::Adopt { primary: primary.clone(), term })
    }

    fn suspicion(&self, evaluation: Evaluation<'_>) -> Suspicion {
        let primary = evaluation.view.primary.as_ref().and_then(|name| self.evidence.get(name));
        primary.map_or(Suspicion::None, |evidence| {
            weigh(evidence, evaluation.view, evaluation.state, self.stored_at, evaluation.now)
        })
    }

    /// Whether a majority answers, without which a higher term leads nowhere.
    fn can_fence(&self, evaluation: Evaluation<'_>, since: Timestamp) -> bool {
        reachable(&self.evidence, since).count() >= evaluation.view.spec.majority()
    }

    fn attention(&self, evaluation: Evaluation<'_>) -> Attention {
        match self.phase {
            Phase::Steady => {}
            _ => return Attention::Close,
        }
        let Some(primary) = &evaluation.view.primary else { return Attention::Close };
        let higher =
            |health| matches!(health, MemberHealth::Primary(term) if term > evaluation.view.term);
        let moved = self.evidence.values().any(|member| member.healths().any(higher));
        let doubted = self.suspicion(evaluation) != Suspicion::None;
        if moved || doubted || evaluation.view.draining.contains(primary) {
            return Attention::Close;
        }
        let evidence = self.evidence.get(primary);
        let observed = evidence
            .is_some_and(|it| is_observed(it, evaluation.view, evaluation.state, evaluation.now));
        if observed { Attention::Sweep } else { Attention::Unobserved }
    }

    /// Probes all members in doubt, else only the primary.
    fn probe(&mut self, evaluation: Evaluation<'_>, attention: Attention, wanted: &mut Wanted) {
        let interval = interval(attention, evaluation.settings);
        if self.last_probe.is_some_and(|last| evaluation.now.saturating_since(last) < interval) {
            return;
        }
        self.last_probe = Some(evaluation.now);
        let primary = evaluation.view.primary.as_ref();
        for member in &evaluation.view.spec.members {
            let Some(evidence) = self.evidence.get_mut(&member.name) else { continue };
            let meant = attention == Attention::Close || primary == Some(&member.name);
            if meant
                && !evidence.is_being_probed(evaluation.now, evaluation.settings.answer_timeout)
            {
                evidence.probe_sent = Some(evaluation.now);
                let target = target(evaluation.name, &evaluation.view.spec, member);
                wanted.calls.push(FailoverAction::Probe(target));
            }
        }
    }
}

const fn interval(attention: Attention, settings: &FailoverSettings) -> Duration {
    match attention {
        Attention::Sweep => settings.sweep_interval,
        Attention::Unobserved => settings.unobserved_interval,
        Attention::Close => settings.probe_interval,
    }
}
