//! Mean time for which statements keep a slot.
//!
//! [`ServiceTimes`] owns a moving average for each kind of statement. The likely waits of the queue
//! are based on these averages.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest time in the average. With a higher weight, the average follows single long
/// statements; with a lower one, it reflects late that a member has become slow.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;
/// Estimate before the first statement of a kind has ended, about the duration of a read.
const FIRST_ESTIMATE: Duration = Duration::from_millis(15);
/// Upper bound of a time that enters the average, so that one hanging statement doesn't have all
/// later ones refused.
const MAX_SERVICE_TIME: Duration = Duration::from_millis(500);

/// Class of statements with a common average: those of one priority class and kind do similar work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatementKind {
    /// Priority class of the statement.
    pub priority: u32,
    /// Whether the statement writes, or begins a transaction that may write.
    pub writes: bool,
}

/// Mean times for which statements kept a slot, by kind.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    means: BTreeMap<StatementKind, Duration>,
}

impl ServiceTimes {
    /// Records that a statement kept a slot for `taken`.
    pub fn record(&mut self, kind: StatementKind, taken: Duration) {
        let taken = taken.min(MAX_SERVICE_TIME);
        let mean = self.means.entry(kind).or_insert(taken);
        *mean = mean.mul_f64(1.0 - NEWEST_WEIGHT) + taken.mul_f64(NEWEST_WEIGHT);
    }

    /// Returns how long a statement of this kind is likely to keep a slot.
    #[must_use]
    pub fn estimate(&self, kind: StatementKind) -> Duration {
        self.means.get(&kind).copied().unwrap_or(FIRST_ESTIMATE)
    }
}
