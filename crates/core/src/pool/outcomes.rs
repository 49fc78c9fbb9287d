//! Outcomes of keyed writes: the table in the group's own database and its statements.
//!
//! A write under an idempotency key and its outcome are committed in one
//! transaction. The key is claimed first, by an insertion that a unique index
//! lets only one transaction make; a repeat finds the key taken and gets the
//! stored answer. Keys and answers are kept in hexadecimal, so that nothing of
//! the caller's needs quoting.
//!
//! Owns the statements' texts; the owner runs them. Relies on the group's database for the unique index.

use siphasher::sip::SipHasher13;
use std::fmt::Write as _;
use std::hash::{Hash, Hasher};

/// Longest idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;
/// Largest answer that is stored, in bytes; a write with a larger one is rolled back.
pub const ANSWER_LIMIT: usize = 64 * 1024;
/// Keyed commits of one owner of a group between two removals of old outcomes. Chosen, not measured: with fewer,
/// commits wait for removals more often.
pub const COMMITS_BETWEEN_SWEEPS: u32 = 64;
/// Most outcomes that one removal takes out; more than are added meanwhile.
pub const SWEEP_ROWS: u32 = 256;

/// SQLSTATE of a statement that names a table that does not exist.
pub const UNDEFINED_TABLE: &str = "42P01";

/// Statements that make the table of outcomes, each to run alone; repeats do nothing.
pub const CREATE_STATEMENTS: [&str; 2] = [
    "CREATE TABLE IF NOT EXISTS corktack_outcome (idempotency_key text PRIMARY KEY, \
     claimed_at_ms bigint NOT NULL, answer text)",
    "CREATE INDEX IF NOT EXISTS corktack_outcome_claimed_at ON corktack_outcome (claimed_at_ms)",
];

/// Claims a key in the open transaction: `INSERT 0 1` when it was free.
#[must_use]
pub fn claim_statement(key: &str, now_ms: u64) -> String {
    let key = hex(key.as_bytes());
    format!(
        "INSERT INTO corktack_outcome (idempotency_key, claimed_at_ms) \
         VALUES ('{key}', {now_ms}) ON CONFLICT (idempotency_key) DO NOTHING"
    )
}

/// Stores the answer in the transaction that claimed the key.
#[must_use]
pub fn store_statement(key: &str, answer: &[u8]) -> String {
    let (key, answer) = (hex(key.as_bytes()), hex(answer));
    format!("UPDATE corktack_outcome SET answer = '{answer}' WHERE idempotency_key = '{key}'")
}

/// Asks for the stored answer of a key; one column, no row when the key is free.
#[must_use]
pub fn lookup_statement(key: &str) -> String {
    let key = hex(key.as_bytes());
    format!("SELECT answer FROM corktack_outcome WHERE idempotency_key = '{key}'")
}

/// Removes a bounded number of the oldest outcomes from before a time.
#[must_use]
pub fn sweep_statement(before_ms: u64) -> String {
    format!(
        "DELETE FROM corktack_outcome WHERE idempotency_key IN (SELECT idempotency_key FROM \
         corktack_outcome WHERE claimed_at_ms < {before_ms} ORDER BY claimed_at_ms \
         LIMIT {SWEEP_ROWS})"
    )
}

/// Collects the parts of a request into a number that is the same on every
/// machine, so that a key used for another request is noticed.
#[derive(Debug, Default)]
pub struct Fingerprint {
    hasher: SipHasher13,
}

impl Fingerprint {
    /// Adds one part. Parts are told apart by their lengths.
    pub fn part(&mut self, bytes: &[u8]) {
        bytes.hash(&mut self.hasher);
    }

    /// The number for all parts.
    #[must_use]
    pub fn finish(self) -> u64 {
        self.hasher.finish()
    }
}

/// A stored answer that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stored answer that is not hexadecimal")]
pub struct AnswerError;

/// Reads a stored answer.
///
/// # Errors
/// [`AnswerError`] when the text is not what [`store_statement`] stores.
pub fn decode_answer(text: &str) -> Result<Vec<u8>, AnswerError> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return Err(AnswerError);
    }
    let digit = |byte: u8| char::from(byte).to_digit(16).ok_or(AnswerError);
    let byte = |pair: &[u8]| Ok((digit(pair[0])? * 16 + digit(pair[1])?) as u8);
    digits.chunks_exact(2).map(byte).collect()
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
