//! Which member of a group is tried as its primary.
//!
//! It is for writes, for reads that only the primary may serve, and for the question for its position. It
//! owns the order of what speaks for a member. It relies on the caller for what is known of each.

/// What speaks for a member as the primary, the strongest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrimaryEvidence {
    /// It was the last that acted as only the primary can.
    Proven,
    /// Control promoted it last.
    Promoted,
    /// It calls itself primary.
    Registered,
    /// Nothing.
    None,
}

/// A member as a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryCandidate {
    /// What speaks for it.
    pub evidence: PrimaryEvidence,
    /// Whether it drains and its time is over.
    pub has_left: bool,
    /// Whether it has said a moment ago that it is no primary.
    pub denied_lately: bool,
    /// Whether it takes writes as far as is known.
    pub is_reached: bool,
    /// Whether it may be reached through other gateways.
    pub has_detour: bool,
}

impl PrimaryCandidate {
    /// Whether it can be tried. Other gateways are asked only for a member that something speaks for.
    const fn can_be_tried(&self) -> bool {
        let by_detour = self.has_detour && !matches!(self.evidence, PrimaryEvidence::None);
        !self.has_left && !self.denied_lately && (self.is_reached || by_detour)
    }
}

/// The member to try: the first of those for which most speaks.
pub fn choose_primary<N>(candidates: impl IntoIterator<Item = (N, PrimaryCandidate)>) -> Option<N> {
    let able = candidates.into_iter().filter(|(_, candidate)| candidate.can_be_tried());
    able.min_by_key(|(_, candidate)| candidate.evidence).map(|(name, _)| name)
}
