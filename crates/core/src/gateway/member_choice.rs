//! Which member a read is offered to.

use crate::identity::ZoneName;
use std::time::Duration;

/// How far a member is, for members that nothing is known of yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
        let region = |zone: &ZoneName| zone.as_str().split('.').next().map(str::to_owned);
        if left == right {
            Self::SameZone
        } else if region(left) == region(right) {
            Self::SameRegion
        } else {
            Self::OtherRegion
        }
    }

    /// What a statement is taken to last there before the first was measured.
    #[must_use]
    pub const fn expected_latency(self) -> Duration {
        match self {
            Self::SameZone => Duration::from_millis(20),
            Self::SameRegion => Duration::from_millis(24),
            Self::OtherRegion => Duration::from_millis(60),
        }
    }
}

/// What is known of a member that could take a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// Mean time of a statement there, the way included.
    pub latency: Duration,
    /// Statements of this gateway under way there.
    pub running: usize,
    /// Statements that it runs at once, this gateway's part of them.
    pub capacity_share: f64,
}

impl MemberLoad {
    /// The time that one more statement is expected to last.
    #[must_use]
    pub fn expected(&self) -> Duration {
        let queued = self.running as f64 / self.capacity_share.max(1.0);
        self.latency.mul_f64(1.0 + queued)
    }
}

/// The place of the member with the least expected time; the first among equals.
#[must_use]
pub fn choose_reader(loads: &[MemberLoad]) -> Option<usize> {
    let places = loads.iter().enumerate();
    places.min_by_key(|(_, load)| load.expected()).map(|(place, _)| place)
}
