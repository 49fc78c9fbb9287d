//! One group as the leader follows it.
//!
//! Owns the phase of the group, what is known of its members, and how often it has failed over lately. Takes in
//! events and changes of the control state; what follows from them is decided in [`super::decide`].

use super::calls::{CallFailure, FenceAnswer};
use super::evaluation::Evaluation;
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

/// One group as the leader follows it.
#[derive(Debug)]
pub(super) struct Monitor {
    /// The view that was followed last, to tell quickly whether it changed.
    view: Arc<GroupView>,
    pub evidence: GroupEvidence,
    /// The stored primary and term.
    stored: (Option<MemberName>, Term),
    /// Since when they are known here.
    pub stored_at: Timestamp,
    pub phase: Phase,
    pub suspected_since: Option<Timestamp>,
    pub last_probe: Option<Timestamp>,
    /// When the next evaluation is due.
    pub due: Timestamp,
    /// Terms begun since the last primary was announced.
    attempts: u32,
    /// Recent failovers.
    failovers: u32,
    last_failover: Option<Timestamp>,
}

impl Monitor {
    /// Follows a group from now on, with the first evaluation at `start`.
    pub fn new(
        now: Timestamp,
        start: Timestamp,
        settings: &FailoverSettings,
        group: &GroupRecord,
    ) -> Self {
        let members = group.view.spec.members.iter();
        let mut monitor = Self {
            view: Arc::clone(&group.view),
            evidence: members.map(|it| (it.name.clone(), MemberEvidence::default())).collect(),
            stored: (group.view.primary.clone(), group.view.term),
            stored_at: now,
            phase: Phase::Steady,
            suspected_since: None,
            last_probe: None,
            due: start,
            attempts: 0,
            failovers: 0,
            last_failover: None,
        };
        monitor.phase = monitor.stored_phase(now, settings);
        monitor
    }

    /// Takes in what the control state says of the group.
    pub fn follow(&mut self, now: Timestamp, settings: &FailoverSettings, group: &GroupRecord) {
        if Arc::ptr_eq(&self.view, &group.view) {
            return;
        }
        let before = std::mem::replace(&mut self.view, Arc::clone(&group.view));
        self.due = now;
        self.follow_members(&before.spec);
        let stored = (group.view.primary.clone(), group.view.term);
        if self.stored != stored {
            self.stored = stored;
            self.stored_at = now;
            self.suspected_since = None;
        }
        self.follow_phase(now, settings);
    }

    /// A failover under way counts members that may have changed, so it starts over.
    /// What is known of a member holds for its address only.
    fn follow_members(&mut self, before: &DatabaseGroupSpec) {
        let spec = &self.view.spec;
        let moved = |it: &MemberSpec| {
            before.member(&it.name).is_none_or(|before| before.address != it.address)
        };
        let same = spec.members.len() == before.members.len() && !spec.members.iter().any(moved);
        if same {
            return;
        }
        self.evidence.retain(|name, _| spec.member(name).is_some_and(|it| !moved(it)));
        for member in &spec.members {
            self.evidence.entry(member.name.clone()).or_default();
        }
        if matches!(self.phase, Phase::Fencing(_) | Phase::Promoting(_)) {
            self.phase = Phase::Steady;
        }
    }

    fn follow_phase(&mut self, now: Timestamp, settings: &FailoverSettings) {
        let (primary, term) = &self.stored;
        let overtaken = match &self.phase {
            Phase::Steady => primary.is_none(),
            Phase::Assessing { .. } => primary.is_some() && self.stored_at == now,
            // The outcome of the proposal tells how to go on.
            Phase::Decided(_) | Phase::Proposed { .. } => false,
            Phase::Fencing(Fencing { term: own, .. })
            | Phase::Promoting(Promoting { term: own, .. }) => {
                term > own || (term == own && primary.is_some())
            }
        };
        if overtaken {
            self.phase = self.stored_phase(now, settings);
        }
    }

    /// The phase that follows from the stored primary alone.
    pub fn stored_phase(&mut self, now: Timestamp, settings: &FailoverSettings) -> Phase {
        if self.stored.0.is_some() {
            self.attempts = 0;
            return Phase::Steady;
        }
        let new_group = self.stored.1 == Term::default();
        let patience = if new_group { settings.bootstrap_wait } else { settings.resume_wait };
        self.assessing(now, settings, patience)
    }

    /// Looks for a primary, the longer the more terms were begun in vain.
    pub fn assessing(
        &self,
        now: Timestamp,
        settings: &FailoverSettings,
        patience: Duration,
    ) -> Phase {
        let backoff =
            if self.attempts == 0 { Duration::ZERO } else { settings.retry(self.attempts) };
        Phase::Assessing { since: now, patience: patience.max(backoff) }
    }

    /// Whether the last failover is long enough ago for a next one.
    pub fn has_cooled_down(&self, evaluation: Evaluation<'_>) -> bool {
        self.last_failover.is_none_or(|last| {
            evaluation.now.saturating_since(last) >= evaluation.settings.cooldown(self.failovers)
        })
    }

    fn count_failover(&mut self, now: Timestamp, settings: &FailoverSettings) {
        let quiet = |last: Timestamp| now.saturating_since(last) >= settings.quiet_time;
        if self.last_failover.is_some_and(quiet) {
            self.failovers = 0;
        }
        self.failovers += 1;
        self.last_failover = Some(now);
    }

    pub fn observed(
        &mut self,
        now: Timestamp,
        proxy: ProxyName,
        member: &MemberName,
        health: MemberHealth,
    ) {
        self.due = now;
        if let Some(evidence) = self.evidence.get_mut(member) {
            evidence.observe(now, proxy, health);
        }
    }

    pub fn probed(&mut self, now: Timestamp, member: &MemberName, status: Option<&MemberStatus>) {
        self.due = now;
        if let Some(evidence) = self.evidence.get_mut(member) {
            evidence.probed(now, status);
        }
    }

    pub fn fenced(
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
                evidence.note_term(Some(answer.promised));
                if let Phase::Fencing(fencing) = &mut self.phase
                    && fencing.term == term
                    && answer.promised == term
                {
                    fencing.answers.insert(member, answer.last_position);
                }
            }
            Err(failure) => evidence.note_term(higher_term(failure, term)),
        }
    }

    pub fn promoted(
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
            evidence.into_iter().for_each(|it| it.note_term(higher_term(failure, term)));
        }
        let Phase::Promoting(promoting) = &mut self.phase else { return };
        if promoting.term != term || promoting.member != *member {
            return;
        }
        if result.is_err() {
            promoting.ask_at = now + settings.retry(promoting.attempts);
        } else {
            let step = FailoverStep::Complete { primary: member.clone(), term };
            self.phase = Phase::Decided(step);
        }
    }

    pub fn proposed(
        &mut self,
        now: Timestamp,
        settings: &FailoverSettings,
        step: &FailoverStep,
        result: &StepResult,
    ) {
        let Phase::Proposed { step: own, .. } = &self.phase else { return };
        if own != step {
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
                    self.count_failover(now, settings);
                }
                self.phase = self.stored_phase(now, settings);
            }
            // Whatever became of it, the state and the members tell how to go on.
            _ => self.phase = self.stored_phase(now, settings),
        }
    }
}

/// What a failed call tells of the member's promise.
fn higher_term(failure: CallFailure, term: Term) -> Option<Term> {
    match failure {
        CallFailure::HigherTerm(promised) => Some(promised.unwrap_or(Term(term.0 + 1))),
        CallFailure::Failed => None,
    }
}
