//! Choice of the member of a group that a gateway tries as its primary.
//!
//! Writes, reads that only the primary may serve and queries for the primary's position use it. The
//! module owns the ranking of the evidence; the caller supplies what is known of each member.

/// Evidence that a member is the primary, the strongest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrimaryEvidence {
    /// The member was the last to do what only the primary can do.
    Proven,
    /// The control service promoted the member last.
    Promoted,
    /// The member calls itself primary.
    Registered,
    /// There is no evidence.
    None,
}

/// A member as a candidate for the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryCandidate {
    /// The strongest evidence for the member.
    pub evidence: PrimaryEvidence,
    /// Whether the member is draining and its drain limit has passed.
    pub is_drain_over: bool,
    /// Whether the member recently answered that it is not the primary.
    pub denied_lately: bool,
    /// Whether the member is expected to accept writes from this gateway.
    pub is_reached: bool,
    /// Whether the member may be reachable through other gateways.
    pub has_indirect_route: bool,
}

impl PrimaryCandidate {
    /// Reports whether the member can be tried. The indirect route through other gateways is used only for
    /// a member with some evidence.
    const fn can_be_tried(&self) -> bool {
        let reached_indirectly =
            self.has_indirect_route && !matches!(self.evidence, PrimaryEvidence::None);
        !self.is_drain_over && !self.denied_lately && (self.is_reached || reached_indirectly)
    }
}

/// Returns the member to try: the first of those with the strongest evidence.
pub fn choose_primary<N>(candidates: impl IntoIterator<Item = (N, PrimaryCandidate)>) -> Option<N> {
    let eligible = candidates.into_iter().filter(|(_, candidate)| candidate.can_be_tried());
    eligible.min_by_key(|(_, candidate)| candidate.evidence).map(|(name, _)| name)
}
