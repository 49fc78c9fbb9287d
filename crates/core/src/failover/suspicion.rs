//! Failure detection for a primary, by a vote of its observers.
//!
//! One observer is never enough, as it may itself be cut off. A primary is
//! suspected when more observers find it unreachable than find it alive, and at least
//! two find it unreachable (its owner, another proxy, control's own probe), or when it
//! answers control's probe that it is not primary. Control's probe alone decides only
//! while no proxy reports on the primary, and then takes [`SINGLE_OBSERVER_FACTOR`] times as long.
//!
//! The module holds no state. The observations come from [`super::evidence`], and the owner of the
//! group from the view.

use super::evidence::{MemberEvidence, MemberHealth, OBSERVATION_MAX_AGE, Observation, Verdict};
use crate::identity::ProxyName;
use crate::position::Term;
use crate::state::ControlState;
use crate::time::Timestamp;
use crate::view::{GroupView, ProxyState};

/// Factor on the suspicion time when control is the only observer of a primary: 1.5 s by default.
/// With a lower factor, a network partition that only control sees replaces a primary that still
/// serves.
pub(super) const SINGLE_OBSERVER_FACTOR: u32 = 3;

/// Least number of observers that must find a primary unreachable: one observer may itself be cut off.
const MIN_OBSERVERS: usize = 2;

/// Combined result of all observations of a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// No observer reports the primary as failed.
    None,
    /// Too few observers report the primary as failed.
    Inconclusive,
    /// Only control finds the primary failed, and no proxy reports on it.
    SingleObserver,
    /// Enough observers report the primary as failed.
    Unreachable,
    /// The member says that it is not primary, at this term.
    Deposed(Term),
}

/// Combines the observations of the primary of a group. Control's observation counts only if
/// its probe was sent at `announced`, when the primary was announced, or later.
pub(super) fn evaluate_observations(
    evidence: &MemberEvidence,
    view: &GroupView,
    state: &ControlState,
    announced: Timestamp,
    now: Timestamp,
) -> Suspicion {
    let control = evidence.control_since(announced);
    let control_verdict = control.and_then(|health| health.verdict(view.term));
    if control_verdict == Some(Verdict::Deposed) {
        let term = control.and_then(MemberHealth::term).unwrap_or(view.term);
        return Suspicion::Deposed(term);
    }
    let valid = evidence
        .proxies
        .iter()
        .filter(|(proxy, observation)| is_current(proxy, observation, view, state, now));
    let proxy_verdicts: Vec<_> =
        valid.filter_map(|(_, observation)| observation.health.verdict(view.term)).collect();
    let verdicts = || proxy_verdicts.iter().chain(&control_verdict);
    let alive = verdicts().filter(|verdict| **verdict == Verdict::Alive).count();
    let failed = verdicts().count() - alive;
    if failed >= MIN_OBSERVERS && failed > alive {
        return Suspicion::Unreachable;
    }
    if failed == 0 {
        return Suspicion::None;
    }
    if proxy_verdicts.is_empty() { Suspicion::SingleObserver } else { Suspicion::Inconclusive }
}

/// Reports whether any proxy has a current observation of the primary.
pub(super) fn is_observed(
    evidence: &MemberEvidence,
    view: &GroupView,
    state: &ControlState,
    now: Timestamp,
) -> bool {
    evidence
        .proxies
        .iter()
        .any(|(proxy, observation)| is_current(proxy, observation, view, state, now))
}

/// Reports whether an observation by a proxy still counts. A proxy reports changes only, so the
/// observation of the owner counts as long as the owner runs; that of another proxy may be out of date.
fn is_current(
    proxy: &ProxyName,
    observation: &Observation,
    view: &GroupView,
    state: &ControlState,
    now: Timestamp,
) -> bool {
    let running = state.proxy(proxy).is_some_and(|proxy| proxy.state != ProxyState::Down);
    let owner = view.owner.as_ref() == Some(proxy);
    running && (owner || now.saturating_since(observation.observed_at) <= OBSERVATION_MAX_AGE)
}
