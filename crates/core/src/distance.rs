//! How far zones are from each other.
//!
//! Relies on the names of zones: the part before the first dot is the region. Owns what a distance is taken to cost
//! before anything was measured.

use crate::identity::ZoneName;
use std::time::Duration;

/// How far one zone is from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// The distance between two zones.
    #[must_use]
    pub fn between(left: &ZoneName, right: &ZoneName) -> Self {
        if left == right {
            Self::SameZone
        } else if left.region() == right.region() {
            Self::SameRegion
        } else {
            Self::OtherRegion
        }
    }

    /// What a statement at a member there is taken to last before the first was measured. Chosen, not measured:
    /// what statements show takes its place.
    #[must_use]
    pub const fn expected_latency(self) -> Duration {
        match self {
            Self::SameZone => Duration::from_millis(20),
            Self::SameRegion => Duration::from_millis(24),
            Self::OtherRegion => Duration::from_millis(60),
        }
    }
}
