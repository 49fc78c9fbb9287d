//! What callers ask, drawn from a profile.
//!
//! Owns the shares of each kind of operation. The order of draws is part of a seed's meaning.

use crate::profile::Profile;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Share of reads that ask for the caller's own writes.
const OWN_READ_SHARE: f64 = 0.3;
/// Share of writes that go under an idempotency key.
const CHARGE_SHARE: f64 = 0.3;
/// Share of writes that are transactions of several statements.
const BOOKING_SHARE: f64 = 0.3;

/// One operation of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operation {
    /// Reads a record.
    Lookup,
    /// Reads the caller's own flags.
    ReadOwn,
    /// Writes a flag, one statement.
    Flag,
    /// Writes a charge under an idempotency key, repeated until its outcome is known.
    Charge,
    /// Writes a booking in a transaction of three statements.
    Booking,
}

impl Operation {
    /// Draws an operation.
    pub fn draw(profile: &Profile, random: &mut ChaCha8Rng) -> Self {
        if !random.random_bool(profile.write_share) {
            let own = random.random_bool(OWN_READ_SHARE);
            return if own { Self::ReadOwn } else { Self::Lookup };
        }
        let kind: f64 = random.random();
        if kind < CHARGE_SHARE {
            Self::Charge
        } else if kind < CHARGE_SHARE + BOOKING_SHARE {
            Self::Booking
        } else {
            Self::Flag
        }
    }

    /// Whether it writes.
    #[must_use]
    pub const fn writes(self) -> bool {
        matches!(self, Self::Flag | Self::Charge | Self::Booking)
    }

    /// SQL statements that it sends, without the keys' bookkeeping.
    #[must_use]
    pub const fn statements(self) -> u64 {
        match self {
            Self::Booking => 5,
            _ => 1,
        }
    }
}
