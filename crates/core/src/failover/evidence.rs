//! What is known of the members of one group, and by whom.
//!
//! Owns what control's own probes and the proxies saw last, with its time. Relies on the manager to bring it;
//! what it means for the primary is decided in [`super::suspicion`] and [`super::decide`].

use crate::backend::{MemberRole, MemberStatus};
use crate::identity::{MemberName, ProxyName};
use crate::position::Term;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the word of a proxy counts that is not the owner of the group. Chosen, not measured: with less,
/// a primary may have no second observer; with more, an outdated word counts against it.
pub(super) const OBSERVER_MEMORY: Duration = Duration::from_secs(5);

/// What an observer saw of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberHealth {
    /// It answers as primary of a term.
    Primary(Term),
    /// It answers and follows.
    Replica(Term),
    /// It answers and is fenced at a term.
    Fenced(Term),
    /// It does not answer.
    Unreachable,
}

impl MemberHealth {
    /// The term that the member named.
    #[must_use]
    pub const fn term(self) -> Option<Term> {
        match self {
            Self::Primary(term) | Self::Replica(term) | Self::Fenced(term) => Some(term),
            Self::Unreachable => None,
        }
    }

    /// Whether this speaks for or against a member being primary of `term`; none
    /// when it was seen before that term.
    pub(super) fn verdict(self, term: Term) -> Option<Verdict> {
        match self {
            Self::Primary(seen) if seen >= term => Some(Verdict::Alive),
            Self::Replica(seen) | Self::Fenced(seen) if seen >= term => Some(Verdict::Deposed),
            Self::Unreachable => Some(Verdict::Missed),
            _ => None,
        }
    }
}

impl From<&MemberStatus> for MemberHealth {
    fn from(status: &MemberStatus) -> Self {
        let term = status.promised_term;
        match status.role {
            MemberRole::Primary => Self::Primary(term),
            MemberRole::Replica => Self::Replica(term),
            MemberRole::Fenced => Self::Fenced(term),
        }
    }
}

/// What an observation says about the primary of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is primary.
    Alive,
    /// It says itself that it is not.
    Deposed,
    /// It does not answer.
    Missed,
}

/// A health and when it was asked for (by control) or reported (by a proxy).
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub health: MemberHealth,
    pub at: Timestamp,
}

/// What is known of one member.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberEvidence {
    /// What control's own probe saw last.
    pub control: Option<Seen>,
    /// When the probe under way was sent.
    pub probe_sent: Option<Timestamp>,
    /// Highest term that the member is known to have promised.
    pub promised: Term,
    /// What proxies saw last.
    pub proxies: BTreeMap<ProxyName, Seen>,
}

impl MemberEvidence {
    /// Notes what a proxy saw.
    pub fn observe(&mut self, now: Timestamp, proxy: ProxyName, health: MemberHealth) {
        self.note_term(health.term());
        self.proxies.insert(proxy, Seen { health, at: now });
    }

    /// Notes the answer to control's own probe. It counts from when it was sent:
    /// what the member said may have been true only then.
    pub fn probed(&mut self, now: Timestamp, status: Option<&MemberStatus>) {
        let health = status.map_or(MemberHealth::Unreachable, MemberHealth::from);
        self.note_term(health.term());
        let at = self.probe_sent.take().unwrap_or(now);
        self.control = Some(Seen { health, at });
    }

    /// Whether a probe is under way that may still be answered.
    pub fn is_being_probed(&self, now: Timestamp, timeout: Duration) -> bool {
        self.probe_sent.is_some_and(|sent| now.saturating_since(sent) < timeout)
    }

    /// Notes a term that the member named.
    pub fn note_term(&mut self, term: Option<Term>) {
        self.promised = self.promised.max(term.unwrap_or_default());
    }

    /// What control's own probe sent at `since` or later saw.
    pub fn control_since(&self, since: Timestamp) -> Option<MemberHealth> {
        self.control.filter(|seen| seen.at >= since).map(|seen| seen.health)
    }

    /// All that is known, by control and by proxies.
    pub fn healths(&self) -> impl Iterator<Item = MemberHealth> {
        self.control.iter().chain(self.proxies.values()).map(|seen| seen.health)
    }
}

/// What is known of all members of a group.
pub(super) type GroupEvidence = BTreeMap<MemberName, MemberEvidence>;

/// Members that answered a probe sent at `since` or later.
pub(super) fn reachable(
    evidence: &GroupEvidence,
    since: Timestamp,
) -> impl Iterator<Item = &MemberName> {
    let answered = evidence.iter().filter(move |(_, member)| {
        member.control_since(since).is_some_and(|health| health != MemberHealth::Unreachable)
    });
    answered.map(|(name, _)| name)
}

/// The highest term that any member is known to have promised.
pub(super) fn highest_promise(evidence: &GroupEvidence) -> Term {
    evidence.values().map(|member| member.promised).max().unwrap_or_default()
}

/// The primary of the highest term that a majority of the members confirms: they
/// follow it, or are it. A primary that is not confirmed cannot commit.
pub(super) fn confirmed_primary(
    evidence: &GroupEvidence,
    majority: usize,
) -> Option<(Term, &MemberName)> {
    let primaries = evidence.iter().flat_map(|(name, member)| {
        let terms = member.healths().filter_map(|health| match health {
            MemberHealth::Primary(term) => Some(term),
            _ => None,
        });
        terms.map(move |term| (term, name))
    });
    let confirmed = primaries.filter(|(term, _)| {
        let confirms = |health| match health {
            MemberHealth::Primary(seen) | MemberHealth::Replica(seen) => seen == *term,
            _ => false,
        };
        let count = evidence.values().filter(|member| member.healths().any(confirms)).count();
        count >= majority
    });
    confirmed.max()
}
