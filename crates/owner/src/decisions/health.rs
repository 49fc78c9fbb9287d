//! Effect of a probe on the suspicion of the primary.

use corktack_core::position::Term;

/// Result of a probe of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Whether the configuration in force has the member as primary.
    pub is_primary: bool,
    /// Whether the member answered.
    pub answered: bool,
    /// Term that the member leads, if it answered as a primary.
    pub led_term: Option<Term>,
}

/// Reports whether the primary is suspect after a probe, so that work sent to it might stay unanswered.
/// Returns `None` when the probe decides neither: the member is not the primary, or it answers but does not
/// lead the term in force.
#[must_use]
pub fn primary_is_suspect(probe: ProbeResult, term_in_force: Term) -> Option<bool> {
    if !probe.is_primary {
        return None;
    }
    if !probe.answered {
        return Some(true);
    }
    probe.led_term.is_some_and(|term| term >= term_in_force).then_some(false)
}
