//! Timestamps, which the calling process passes into the core: the core itself never reads a clock.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since an arbitrary origin that the calling process chooses.
///
/// Each process has a clock of its own that starts with the process, so only differences between
/// timestamps of the same process have a meaning. A moment that another process reports by its age may
/// lie before the origin; [`Timestamp::checked_sub`] returns `None` for such a moment.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the process's clock.
    pub const ZERO: Self = Self(0);

    /// Returns the timestamp this many microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the timestamp this many milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the timestamp that lies `age` before this one, or `None` if that is before the origin.
    /// Returning the origin instead would make an old value look only as old as the clock.
    #[must_use]
    pub fn checked_sub(self, age: Duration) -> Option<Self> {
        let age = u64::try_from(age.as_micros()).ok()?;
        self.0.checked_sub(age).map(Self)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this timestamp.
    #[must_use]
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_since(earlier)
    }
}

/// Returns whole milliseconds, for log lines.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
