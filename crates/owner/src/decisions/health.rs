//! What a probe of a member says of the primary.

use corktack_core::position::Term;

/// What a probe of a member found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probed {
    /// Whether the configuration in force has the member as primary.
    pub is_primary: bool,
    /// Whether it answered.
    pub answered: bool,
    /// Term that it leads, where it answered as a primary.
    pub leads: Option<Term>,
}

/// Whether the primary is suspect after a probe: work sent now might stay without an answer. Nothing when the probe
/// says neither: of another member, or of one that answers and does not lead the term in force.
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
