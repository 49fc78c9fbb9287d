//! When a primary counts as failed.
//!
//! One observer is never enough, as it may itself be cut off. A primary is
//! suspected when more observers miss it than see it and at least two miss it
//! (its owner, another proxy, control's own probe), or when it tells control's
//! probe itself that it is not primary. Control's probe alone counts only while
//! no proxy has anything to say, and then for [`LONE_OBSERVER_FACTOR`] times as long.
//!
//! Owns nothing. Relies on [`super::evidence`] for what was seen, and on the view for who owns the group.

use super::evidence::{MemberEvidence, MemberHealth, OBSERVER_MEMORY, Seen, Verdict};
use crate::identity::ProxyName;
use crate::position::Term;
use crate::state::ControlState;
use crate::time::Timestamp;
use crate::view::{GroupView, ProxyState};

/// How much longer control must miss a primary that no proxy reports on: 1.5 s by default. Chosen, not measured:
/// with less, a cut that only control sees replaces a primary that serves.
pub(super) const LONE_OBSERVER_FACTOR: u32 = 3;

/// Fewest observers that must miss a primary: one may itself be cut off.
const OBSERVERS_NEEDED: usize = 2;

/// What the observers of a primary say together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// It is primary.
    None,
    /// Somebody misses it, which is not enough.
    Doubt,
    /// Only control misses it and no proxy reports on it.
    LoneObserver,
    /// Enough observers miss it.
    Missed,
    /// It says that it is not primary, at this term.
    Deposed(Term),
}

/// Weighs what is known of the primary of a group. Control's word counts when it
/// asked after the primary was announced at `announced`.
pub(super) fn weigh(
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
    let valid =
        evidence.proxies.iter().filter(|(proxy, seen)| counts(proxy, seen, view, state, now));
    let proxies: Vec<_> = valid.filter_map(|(_, seen)| seen.health.verdict(view.term)).collect();
    let verdicts = || proxies.iter().chain(&control_verdict);
    let alive = verdicts().filter(|verdict| **verdict == Verdict::Alive).count();
    let against = verdicts().count() - alive;
    if against >= OBSERVERS_NEEDED && against > alive {
        return Suspicion::Missed;
    }
    if against == 0 {
        return Suspicion::None;
    }
    if proxies.is_empty() { Suspicion::LoneObserver } else { Suspicion::Doubt }
}

/// Whether any proxy's word on the primary counts.
pub(super) fn is_observed(
    evidence: &MemberEvidence,
    view: &GroupView,
    state: &ControlState,
    now: Timestamp,
) -> bool {
    evidence.proxies.iter().any(|(proxy, seen)| counts(proxy, seen, view, state, now))
}

/// A proxy reports changes only, so an owner's word stands until it goes; that of
/// another proxy may be out of date.
fn counts(
    proxy: &ProxyName,
    seen: &Seen,
    view: &GroupView,
    state: &ControlState,
    now: Timestamp,
) -> bool {
    let running = state.proxy(proxy).is_some_and(|proxy| proxy.state != ProxyState::Down);
    let owner = view.owner.as_ref() == Some(proxy);
    running && (owner || now.saturating_since(seen.at) <= OBSERVER_MEMORY)
}
