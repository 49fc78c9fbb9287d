//! Time as the core sees it: a number handed in by the shell.
//!
//! Values only. Nothing in the core reads a clock.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since an arbitrary origin chosen by the shell.
///
/// Only differences between timestamps of one process have a meaning: its clock begins with it. A
/// moment that another process names by its age may lie before the origin; [`Timestamp::before`]
/// says so.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// A timestamp this many microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// A timestamp this many milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The moment this long before. None where it lies before the origin: the origin in its place
    /// would make what is old look as young as the clock.
    #[must_use]
    pub fn before(self, age: Duration) -> Option<Self> {
        let age = u64::try_from(age.as_micros()).ok()?;
        self.0.checked_sub(age).map(Self)
    }

    /// The time since `earlier`, or zero when `earlier` is later.
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
