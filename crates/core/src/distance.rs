//! Distances between zones.
//!
//! The region of a zone is the part of its name before the first dot.

use crate::identity::ZoneName;
use std::time::Duration;

/// Distance from one zone to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The zones are the same.
    SameZone,
    /// The zones are different zones of one region.
    SameRegion,
    /// The zones are in different regions.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two zones.
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

    /// Returns the latency assumed for a statement at a member at this distance until statements
    /// there show the actual one.
    #[must_use]
    pub const fn expected_latency(self) -> Duration {
        match self {
            Self::SameZone => Duration::from_millis(20),
            Self::SameRegion => Duration::from_millis(24),
            Self::OtherRegion => Duration::from_millis(60),
        }
    }
}
