//! What to do next about one group.

use super::calls::FailoverAction;
use super::evidence::{MemberHealth, confirmed_primary, highest_promise, reachable};
use super::monitor::Monitor;
use super::procedure::{Phase, Promoting, begin_step, target};
use super::settings::FailoverSettings;
use super::suspicion::{LONE_OBSERVER_FACTOR, Suspicion, is_observed, weigh};
use crate::identity::GroupName;
use crate::resources::MemberSpec;
use crate::state::ControlState;
use crate::state::command::FailoverStep;
use crate::time::Timestamp;
use crate::view::GroupView;
use std::time::Duration;

/// Between two looks at a group that is not at rest.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(20);

/// Promotions asked of one member before a higher term is begun.
const PROMOTE_ATTEMPTS: u32 = 2;

/// How old a probe may be that speaks for a planned switch.
const FRESH_PROBE: Duration = Duration::from_secs(1);

/// What the groups want done at one time.
#[derive(Debug, Default)]
pub(super) struct Wanted {
    pub calls: Vec<FailoverAction>,
    pub steps: Vec<(GroupName, FailoverStep)>,
}

/// What one look at a group has at hand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Look<'a> {
    pub now: Timestamp,
    pub settings: &'a FailoverSettings,
    pub state: &'a ControlState,
    pub name: &'a GroupName,
    pub view: &'a GroupView,
}

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
    pub fn advance(&mut self, look: Look<'_>, wanted: &mut Wanted) {
        while let Some(next) = self.next_phase(look, wanted) {
            self.phase = next;
        }
        let attention = self.attention(look);
        self.probe(look, attention, wanted);
        self.due = match attention {
            Attention::Close => look.now + ACTIVE_INTERVAL,
            _ => self.last_probe.unwrap_or(look.now) + interval(attention, look.settings),
        };
    }

    fn next_phase(&mut self, look: Look<'_>, wanted: &mut Wanted) -> Option<Phase> {
        match &self.phase {
            Phase::Steady => self.watch(look),
            Phase::Assessing { since, patience } => self.assess(look, *since, *patience),
            Phase::Decided(step) => {
                wanted.steps.push((look.name.clone(), step.clone()));
                Some(Phase::Proposed { step: step.clone(), since: look.now })
            }
            Phase::Proposed { since, .. } => {
                let waited = look.now.saturating_since(*since);
                (waited >= look.settings.answer_timeout)
                    .then(|| self.resting_phase(look.now, look.settings))
            }
            Phase::Fencing(_) => self.fence(look, wanted),
            Phase::Promoting(_) => self.promote(look, wanted),
        }
    }

    /// A group with a primary: is it alive, and should it stay?
    fn watch(&mut self, look: Look<'_>) -> Option<Phase> {
        if let Some(step) = self.adoption(look) {
            return Some(Phase::Decided(step));
        }
        let suspicion = self.suspicion(look);
        let wait = match suspicion {
            Suspicion::None | Suspicion::Doubt => {
                self.suspected_since = None;
                return self.planned_switch(look);
            }
            Suspicion::Deposed(term) if term > look.view.term => {
                let patience = look.settings.adoption_wait;
                return Some(self.assessing(look.now, look.settings, patience));
            }
            Suspicion::Deposed(_) => Duration::ZERO,
            Suspicion::Missed => look.settings.suspicion,
            Suspicion::LoneObserver => look.settings.suspicion * LONE_OBSERVER_FACTOR,
        };
        let since = *self.suspected_since.get_or_insert(look.now);
        let convicted = look.now.saturating_since(since) >= wait;
        let ready = convicted && self.has_cooled_down(look) && self.can_fence(look, since);
        ready.then(|| Phase::Decided(begin_step(&self.evidence, look.view)))
    }

    /// A draining primary is replaced once a majority of staying members follows it.
    fn planned_switch(&self, look: Look<'_>) -> Option<Phase> {
        let view = look.view;
        let leaving = view.primary.as_ref().is_some_and(|it| view.draining.contains(it));
        if !leaving || !self.has_cooled_down(look) {
            return None;
        }
        // Nothing was probed before the origin of the clock.
        let since = look.now.before(FRESH_PROBE).unwrap_or(Timestamp::ZERO);
        let following = Some(MemberHealth::Replica(view.term));
        let staying = self.evidence.iter().filter(|(name, _)| !view.draining.contains(*name));
        let ready = staying.filter(|(_, it)| it.control_since(since) == following).count();
        let enough = ready >= view.spec.majority();
        enough.then(|| Phase::Decided(begin_step(&self.evidence, view)))
    }

    /// A group that may have a primary that is not announced.
    fn assess(&self, look: Look<'_>, since: Timestamp, patience: Duration) -> Option<Phase> {
        if let Some(step) = self.adoption(look) {
            return Some(Phase::Decided(step));
        }
        let announced = look.view.primary.is_some();
        if announced && self.suspicion(look) == Suspicion::None {
            return Some(Phase::Steady);
        }
        let waited = look.now.saturating_since(since) >= patience;
        let cooled_down = !announced || self.has_cooled_down(look);
        let ready = waited && cooled_down && self.can_fence(look, since);
        ready.then(|| Phase::Decided(begin_step(&self.evidence, look.view)))
    }

    fn fence(&mut self, look: Look<'_>, wanted: &mut Wanted) -> Option<Phase> {
        let overtaken = self.overtaken(look);
        let Phase::Fencing(fencing) = &mut self.phase else { return None };
        if overtaken > Some(fencing.term) {
            return Some(self.assessing(look.now, look.settings, look.settings.adoption_wait));
        }
        if let Some(member) = fencing.most_advanced(look.view) {
            let member = member.clone();
            let since = *fencing.majority_at.get_or_insert(look.now);
            let settled = !look.view.draining.contains(&member)
                || fencing.is_complete(&look.view.spec)
                || look.now.saturating_since(since) >= look.settings.fence_settle;
            if settled {
                return Some(Phase::Promoting(Promoting::new(fencing.term, member, look.now)));
            }
        }
        if look.now >= fencing.ask_at {
            fencing.attempts += 1;
            fencing.ask_at = look.now + look.settings.retry(fencing.attempts);
            let unanswered = |it: &&MemberSpec| !fencing.answers.contains_key(&it.name);
            let asked = look.view.spec.members.iter().filter(unanswered);
            let term = fencing.term;
            wanted.calls.extend(asked.map(|member| FailoverAction::Fence {
                target: target(look.name, &look.view.spec, member),
                term,
            }));
        }
        None
    }

    fn promote(&mut self, look: Look<'_>, wanted: &mut Wanted) -> Option<Phase> {
        if let Some(step) = self.adoption(look) {
            return Some(Phase::Decided(step));
        }
        let overtaken = self.overtaken(look);
        let Phase::Promoting(promoting) = &mut self.phase else { return None };
        if overtaken > Some(promoting.term) {
            return Some(self.assessing(look.now, look.settings, look.settings.adoption_wait));
        }
        if look.now < promoting.ask_at {
            return None;
        }
        let member = look.view.spec.member(&promoting.member);
        let Some(member) = member.filter(|_| promoting.attempts < PROMOTE_ATTEMPTS) else {
            // Another member may only be asked in a higher term.
            return Some(Phase::Decided(begin_step(&self.evidence, look.view)));
        };
        promoting.attempts += 1;
        promoting.ask_at = look.now + look.settings.answer_timeout;
        let target = target(look.name, &look.view.spec, member);
        wanted.calls.push(FailoverAction::Promote { target, term: promoting.term });
        None
    }

    /// The highest promise that is above the stored term.
    fn overtaken(&self, look: Look<'_>) -> Option<crate::position::Term> {
        Some(highest_promise(&self.evidence)).filter(|promised| *promised > look.view.term)
    }

    /// The announcement of a primary that the group has by itself.
    fn adoption(&self, look: Look<'_>) -> Option<FailoverStep> {
        let (term, primary) = confirmed_primary(&self.evidence, look.view.spec.majority())?;
        let news = term > look.view.term || (term == look.view.term && look.view.primary.is_none());
        news.then(|| FailoverStep::Adopt { primary: primary.clone(), term })
    }

    fn suspicion(&self, look: Look<'_>) -> Suspicion {
        let primary = look.view.primary.as_ref().and_then(|name| self.evidence.get(name));
        primary.map_or(Suspicion::None, |evidence| {
            weigh(evidence, look.view, look.state, self.stored_at, look.now)
        })
    }

    /// Whether a majority answers, without which a higher term leads nowhere.
    fn can_fence(&self, look: Look<'_>, since: Timestamp) -> bool {
        reachable(&self.evidence, since).count() >= look.view.spec.majority()
    }

    fn attention(&self, look: Look<'_>) -> Attention {
        match self.phase {
            Phase::Steady => {}
            _ => return Attention::Close,
        }
        let Some(primary) = &look.view.primary else { return Attention::Close };
        let higher =
            |health| matches!(health, MemberHealth::Primary(term) if term > look.view.term);
        let moved = self.evidence.values().any(|member| member.healths().any(higher));
        let doubted = self.suspicion(look) != Suspicion::None;
        if moved || doubted || look.view.draining.contains(primary) {
            return Attention::Close;
        }
        let evidence = self.evidence.get(primary);
        let observed = evidence.is_some_and(|it| is_observed(it, look.view, look.state, look.now));
        if observed { Attention::Sweep } else { Attention::Unobserved }
    }

    /// Probes all members in doubt, else only the primary.
    fn probe(&mut self, look: Look<'_>, attention: Attention, wanted: &mut Wanted) {
        let interval = interval(attention, look.settings);
        if self.last_probe.is_some_and(|last| look.now.saturating_since(last) < interval) {
            return;
        }
        self.last_probe = Some(look.now);
        let primary = look.view.primary.as_ref();
        for member in &look.view.spec.members {
            let Some(evidence) = self.evidence.get_mut(&member.name) else { continue };
            let meant = attention == Attention::Close || primary == Some(&member.name);
            if meant && !evidence.is_being_probed(look.now, look.settings.answer_timeout) {
                evidence.probe_sent = Some(look.now);
                let target = target(look.name, &look.view.spec, member);
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
