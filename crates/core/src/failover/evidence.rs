//! Latest observations of the members of one group, by control and by the proxies.
//!
//! The module keeps the last result of control's own probes and the last report of each proxy, with
//! their times. The manager records the observations; [`super::suspicion`] and [`super::decide`]
//! derive decisions from them.

use crate::backend::{MemberRole, MemberStatus};
use crate::identity::{MemberName, ProxyName};
use crate::position::Term;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the observation of a proxy counts that is not the owner of the group. With less time, a
/// primary may have no second observer; with more, an outdated observation counts against the
/// primary.
pub(super) const OBSERVATION_MAX_AGE: Duration = Duration::from_secs(5);

/// Health of one member as an observer found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberHealth {
    /// The member answers as primary of this term.
    Primary(Term),
    /// The member answers as a replica at this term.
    Replica(Term),
    /// The member answers and is fenced at this term.
    Fenced(Term),
    /// The member does not answer.
    Unreachable,
}

impl MemberHealth {
    /// Returns the term that the member named; none if the member did not answer.
    #[must_use]
    pub const fn term(self) -> Option<Term> {
        match self {
            Self::Primary(term) | Self::Replica(term) | Self::Fenced(term) => Some(term),
            Self::Unreachable => None,
        }
    }

    /// Returns what the health says about the member as primary of `term`; none when
    /// the observation belongs to an earlier term.
    pub(super) fn verdict(self, term: Term) -> Option<Verdict> {
        match self {
            Self::Primary(observed) if observed >= term => Some(Verdict::Alive),
            Self::Replica(observed) | Self::Fenced(observed) if observed >= term => {
                Some(Verdict::Deposed)
            }
            Self::Unreachable => Some(Verdict::Unreachable),
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

/// What an observation says about the primary of a term: alive or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The member is primary of the term or a higher one.
    Alive,
    /// The member says that it is not primary.
    Deposed,
    /// The member does not answer.
    Unreachable,
}

/// The health of a member, and when control asked for it or a proxy reported it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub health: MemberHealth,
    pub observed_at: Timestamp,
}

/// All observations of one member.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberEvidence {
    /// Result of control's last answered probe.
    pub control: Option<Observation>,
    /// When the probe in flight was sent.
    pub probe_sent: Option<Timestamp>,
    /// Highest term that the member is known to have promised.
    pub promised: Term,
    /// Last report of each proxy.
    pub proxies: BTreeMap<ProxyName, Observation>,
}

impl MemberEvidence {
    /// Records the report of a proxy.
    pub fn record_observation(&mut self, now: Timestamp, proxy: ProxyName, health: MemberHealth) {
        self.record_term(health.term());
        self.proxies.insert(proxy, Observation { health, observed_at: now });
    }

    /// Records the answer to control's own probe. The observation carries the time at which the
    /// probe was sent, as the answer may have been true only then.
    pub fn record_probe(&mut self, now: Timestamp, status: Option<&MemberStatus>) {
        let health = status.map_or(MemberHealth::Unreachable, MemberHealth::from);
        self.record_term(health.term());
        let observed_at = self.probe_sent.take().unwrap_or(now);
        self.control = Some(Observation { health, observed_at });
    }

    /// Reports whether a probe is in flight and has not timed out.
    pub fn is_being_probed(&self, now: Timestamp, timeout: Duration) -> bool {
        self.probe_sent.is_some_and(|sent| now.saturating_since(sent) < timeout)
    }

    /// Records a term that the member named as promised.
    pub fn record_term(&mut self, term: Option<Term>) {
        self.promised = self.promised.max(term.unwrap_or_default());
    }

    /// Returns the result of control's own probe if it was sent at `since` or later.
    pub fn control_since(&self, since: Timestamp) -> Option<MemberHealth> {
        self.control
            .filter(|observation| observation.observed_at >= since)
            .map(|observation| observation.health)
    }

    /// Returns the health as found by control and by each proxy.
    pub fn healths(&self) -> impl Iterator<Item = MemberHealth> {
        self.control.iter().chain(self.proxies.values()).map(|observation| observation.health)
    }
}

/// Observations of all members of a group.
pub(super) type GroupEvidence = BTreeMap<MemberName, MemberEvidence>;

/// Returns the members that answered a probe sent at `since` or later.
pub(super) fn reachable(
    evidence: &GroupEvidence,
    since: Timestamp,
) -> impl Iterator<Item = &MemberName> {
    let answered = evidence.iter().filter(move |(_, member)| {
        member.control_since(since).is_some_and(|health| health != MemberHealth::Unreachable)
    });
    answered.map(|(name, _)| name)
}

/// Returns the highest term that any member is known to have promised.
pub(super) fn highest_promised_term(evidence: &GroupEvidence) -> Term {
    evidence.values().map(|member| member.promised).max().unwrap_or_default()
}

/// Returns the primary of the highest term that a majority of the members confirms, as
/// replicas of the term or as its primary. A primary that is not confirmed cannot commit.
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
            MemberHealth::Primary(observed) | MemberHealth::Replica(observed) => observed == *term,
            _ => false,
        };
        let count = evidence.values().filter(|member| member.healths().any(confirms)).count();
        count >= majority
    });
    confirmed.max()
}
