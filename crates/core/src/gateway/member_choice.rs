//! Which member a read is offered to.

use std::time::Duration;

/// What is known of a member that could take a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// Mean time of a statement there, the way included.
    pub latency: Duration,
    /// Statements of this gateway under way there.
    pub running: usize,
    /// Statements that it runs at once, this gateway's part of them.
    pub capacity_share: f64,
    /// Statements that wait at another gateway, for each that the member runs at once.
    pub waiting: f64,
}

impl MemberLoad {
    /// The time that one more statement is expected to last.
    #[must_use]
    pub fn expected(&self) -> Duration {
        let queued = self.running as f64 / self.capacity_share.max(1.0);
        self.latency.mul_f64(1.0 + queued + self.waiting)
    }
}

/// The place of the member with the least expected time; the first among equals.
#[must_use]
pub fn choose_reader(loads: &[MemberLoad]) -> Option<usize> {
    let places = loads.iter().enumerate();
    places.min_by_key(|(_, load)| load.expected()).map(|(place, _)| place)
}
