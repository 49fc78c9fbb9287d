//! Effect of a probe on the suspicion of the primary.

use corktack_core::position::Term;

/// Result of a probe of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probed {
    /// Whether the configuration in force has the member as primary.
    pub is_primary: bool,
    /// Whether the member answered.
    pub answered: bool,
    /// Term that the member leads, if it answered as a primary.
    pub leads: Option<Term>,
}

/// Reports whether the primary is suspect after a probe, so that work sent to it might stay unanswered.
/// Returns `None` when the probe decides neither: the member is not the primary, or it answers but does not
/// lead the term in force.
#[must_use]
pub fn primary_is_suspect(probed: Probed, term_in_force: Term) -> Option<bool> {
    if !probed.is_primary {
        return None;
    }
    if !probed.answered {
        return Some(true);
    }
    probed.leads.is_some_and(|term| term >= term_in_force).then_some(false)
}
