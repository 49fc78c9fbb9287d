//! Checks the outcomes that callers were given for their writes against the rows in the databases.
//!
//! An acknowledged write is stored exactly once, a refused write is not stored, and a transaction is stored
//! completely or not at all. The functions are pure and do no I/O.

use std::collections::{BTreeMap, BTreeSet};

/// Outcome of a write as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedOutcome {
    /// Acknowledged: the write must be stored exactly once.
    Acknowledged,
    /// Refused as not run, or failed by the database: the write must not be stored.
    NotRun,
    /// Unknown: the write may be stored, at most once.
    Unknown,
}

/// Kind of a write, which decides its table and number of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKind {
    /// One row of `flag`.
    Flag,
    /// One row of `charge`, sent with an idempotency key and possibly several times.
    Charge,
    /// Three rows of `ledger` in one transaction.
    Booking,
}

/// Rows of `ledger` that one booking writes.
pub const ROWS_PER_BOOKING: i64 = 3;

/// One write with its reported outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Kind of the write.
    pub kind: WriteKind,
    /// Id of the written rows, unique in the run.
    pub id: String,
    /// Last outcome that the caller was given.
    pub told: ReportedOutcome,
}

/// A violation of a guarantee, seen in an answer or in a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A session did not read its own acknowledged write.
    StaleRead {
        /// Name of the caller.
        caller: String,
        /// Sequence number of the last acknowledged write.
        acknowledged: i64,
        /// Sequence number that the session read.
        read: i64,
    },
    /// An answer that belongs to another request.
    WrongAnswer {
        /// The request.
        asked: String,
        /// The answer.
        answered: String,
    },
    /// An acknowledged write is not in the database.
    LostWrite(Write),
    /// A write that was refused as not run is in the database.
    RanThoughRefused(Write),
    /// A write is stored more often than once.
    Repeated {
        /// The repeated write.
        write: Write,
        /// Rows found under the id of the write.
        times: i64,
    },
    /// A transaction is stored in part.
    PartialTransaction {
        /// The booking.
        write: Write,
        /// Rows found of the booking.
        parts: i64,
    },
    /// A refusal does not say after which time to retry.
    NoRetryAfter,
}

/// Number of rows in the database by id.
pub type RowCounts = BTreeMap<String, i64>;

/// Returns the violations among the writes of one kind, given the row counts of the database.
#[must_use]
pub fn check_writes(writes: &[Write], kind: WriteKind, counts: &RowCounts) -> Vec<Violation> {
    let rows = if kind == WriteKind::Booking { ROWS_PER_BOOKING } else { 1 };
    writes
        .iter()
        .filter(|write| write.kind == kind)
        .filter_map(|write| check_write(write, counts.get(&write.id).copied().unwrap_or(0), rows))
        .collect()
}

fn check_write(write: &Write, found: i64, rows: i64) -> Option<Violation> {
    let write = write.clone();
    if found > rows {
        return Some(Violation::Repeated { write, times: found });
    }
    if found != 0 && found != rows {
        return Some(Violation::PartialTransaction { write, parts: found });
    }
    match (write.told, found) {
        (ReportedOutcome::Acknowledged, 0) => Some(Violation::LostWrite(write)),
        (ReportedOutcome::NotRun, found) if found > 0 => Some(Violation::RanThoughRefused(write)),
        _ => None,
    }
}

/// Returns the sets of bookings that share a log entry; an entry must hold one transaction only.
///
/// Each entry is given as the list of bookings that its statements name.
#[must_use]
pub fn find_mixed_entries(entries: &[Vec<String>]) -> Vec<BTreeSet<String>> {
    entries
        .iter()
        .map(|bookings| bookings.iter().cloned().collect::<BTreeSet<_>>())
        .filter(|bookings| bookings.len() > 1)
        .collect()
}
