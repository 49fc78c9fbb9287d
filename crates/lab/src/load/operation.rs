//! Operations of callers, drawn at random in the proportions of a profile.
//!
//! The order of the draws is fixed: another order would give the same seed a different load.

use crate::profile::Profile;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Fraction of reads that read the caller's own writes.
const OWN_READ_FRACTION: f64 = 0.3;
/// Fraction of writes that are sent with an idempotency key.
const CHARGE_FRACTION: f64 = 0.3;
/// Fraction of writes that are transactions of several statements.
const BOOKING_FRACTION: f64 = 0.3;

/// Kind of one operation of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operation {
    /// Reads a record.
    Lookup,
    /// Reads the caller's own flags.
    ReadOwn,
    /// Writes a flag in one statement.
    Flag,
    /// Writes a charge with an idempotency key and retries until the outcome is known.
    Charge,
    /// Writes a booking in a transaction of three statements.
    Booking,
}

impl Operation {
    /// Draws an operation at random in the proportions of the profile.
    pub fn draw(profile: &Profile, random: &mut ChaCha8Rng) -> Self {
        if !random.random_bool(profile.write_fraction) {
            let own = random.random_bool(OWN_READ_FRACTION);
            return if own { Self::ReadOwn } else { Self::Lookup };
        }
        let kind: f64 = random.random();
        if kind < CHARGE_FRACTION {
            Self::Charge
        } else if kind < CHARGE_FRACTION + BOOKING_FRACTION {
            Self::Booking
        } else {
            Self::Flag
        }
    }

    /// Reports whether the operation writes.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Flag | Self::Charge | Self::Booking)
    }

    /// Returns the number of SQL statements of the operation, without those that set an idempotency key.
    #[must_use]
    pub const fn statement_count(self) -> u64 {
        match self {
            Self::Booking => 5,
            _ => 1,
        }
    }
}
