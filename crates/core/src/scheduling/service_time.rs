//! How long statements keep a slot.
//!
//! Owns a moving mean for each kind of statement; the queue's likely waits rest on it.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest time in the mean. Chosen, not measured: with a higher weight the mean follows single
/// long statements, with a lower one it finds out late that a member has become slow.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;
/// Time that a statement is taken to last before one of its kind was seen: about what the users' reads last.
/// Chosen, not measured: it counts until the first statement of the kind has ended.
const FIRST_ESTIMATE: Duration = Duration::from_millis(15);
/// Longest time that counts: one statement that hangs must not make all that come after it look hopeless.
/// Chosen, not measured.
const LONGEST: Duration = Duration::from_millis(500);

/// What tells how long a statement is likely to last: those of one priority class and kind do the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatementKind {
    /// Priority class.
    pub priority: u32,
    /// Whether it writes, or begins a transaction that may.
    pub writes: bool,
}

/// Mean times that statements kept a slot, by kind.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    means: BTreeMap<StatementKind, Duration>,
}

impl ServiceTimes {
    /// A statement kept a slot for so long.
    pub fn note(&mut self, kind: StatementKind, taken: Duration) {
        let taken = taken.min(LONGEST);
        let mean = self.means.entry(kind).or_insert(taken);
        *mean = mean.mul_f64(1.0 - NEWEST_WEIGHT) + taken.mul_f64(NEWEST_WEIGHT);
    }

    /// How long a statement of this kind is likely to keep one.
    #[must_use]
    pub fn estimate(&self, kind: StatementKind) -> Duration {
        self.means.get(&kind).copied().unwrap_or(FIRST_ESTIMATE)
    }
}
