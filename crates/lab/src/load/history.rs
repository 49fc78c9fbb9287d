//! What callers wrote and were told, for the check against the databases.
//!
//! Owns the rules: what was acknowledged is there once, what was refused is not, a transaction is whole.
//! Pure; relies on nothing but the two lists.

use std::collections::{BTreeMap, BTreeSet};

/// What the caller was told of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// Acknowledged: it must be there, once.
    Acknowledged,
    /// Refused as not run, or failed by the database: it must not be there.
    NotRun,
    /// Unknown: it may be there, at most once.
    Unknown,
}

/// Kind of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKind {
    /// One row of `flag`.
    Flag,
    /// One row of `charge`, sent under an idempotency key, perhaps several times.
    Charge,
    /// Three rows of `ledger` in one transaction.
    Booking,
}

/// Rows that one booking writes.
pub const BOOKING_PARTS: i64 = 3;

/// One write with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Its kind.
    pub kind: WriteKind,
    /// Its id, unique in the run.
    pub id: String,
    /// What the caller was told in the end.
    pub told: Told,
}

/// A rule that an answer or the databases broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A session did not see its own write.
    StaleRead {
        /// The caller.
        caller: String,
        /// Sequence of its last acknowledged write.
        acknowledged: i64,
        /// Sequence that it read.
        read: i64,
    },
    /// An answer that belongs to another request.
    WrongAnswer {
        /// What was asked.
        asked: String,
        /// What came.
        answered: String,
    },
    /// An acknowledged write is not in the database.
    LostWrite(Write),
    /// A write that was refused as not run is in the database.
    RanThoughRefused(Write),
    /// A write is there more than once.
    Repeated {
        /// The write.
        write: Write,
        /// How often it is there.
        times: i64,
    },
    /// A transaction is there in part.
    PartialTransaction {
        /// The booking.
        write: Write,
        /// Rows of it that are there.
        parts: i64,
    },
    /// A refusal without the time to come back.
    NoRetryAfter,
}

/// How often each id stands in the database.
pub type Counts = BTreeMap<String, i64>;

/// Checks the callers' writes of one kind against the counts in the database.
#[must_use]
pub fn check(writes: &[Write], kind: WriteKind, counts: &Counts) -> Vec<Violation> {
    let rows = if kind == WriteKind::Booking { BOOKING_PARTS } else { 1 };
    writes
        .iter()
        .filter(|write| write.kind == kind)
        .filter_map(|write| check_one(write, counts.get(&write.id).copied().unwrap_or(0), rows))
        .collect()
}

fn check_one(write: &Write, found: i64, rows: i64) -> Option<Violation> {
    let write = write.clone();
    if found > rows {
        return Some(Violation::Repeated { write, times: found });
    }
    if found != 0 && found != rows {
        return Some(Violation::PartialTransaction { write, parts: found });
    }
    match (write.told, found) {
        (Told::Acknowledged, 0) => Some(Violation::LostWrite(write)),
        (Told::NotRun, found) if found > 0 => Some(Violation::RanThoughRefused(write)),
        _ => None,
    }
}

/// Checks that every log entry holds whole bookings and no part of a second caller's transaction.
///
/// Each entry is given as the bookings named by its statements.
#[must_use]
pub fn mixed_entries(entries: &[Vec<String>]) -> Vec<BTreeSet<String>> {
    entries
        .iter()
        .map(|bookings| bookings.iter().cloned().collect::<BTreeSet<_>>())
        .filter(|bookings| bookings.len() > 1)
        .collect()
}
