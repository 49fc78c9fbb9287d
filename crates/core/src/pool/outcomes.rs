//! SQL statements for the table of outcomes of keyed writes, which is in the group's own database.
//!
//! A write with an idempotency key and its outcome are committed in one transaction. The transaction first
//! claims the key by an `INSERT`, which a unique index allows to only one transaction. A repeated write finds
//! the key claimed and gets the stored answer. Keys and answers are stored in hexadecimal, so that no text of
//! a caller needs quoting.

use siphasher::sip::SipHasher13;
use std::fmt::Write as _;
use std::hash::{Hash, Hasher};

/// Maximum length of an idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;
/// Maximum size of a stored answer, in bytes. A write with a larger answer is rolled back.
pub const ANSWER_LIMIT: usize = 64 * 1024;
/// Number of keyed commits of one owner of a group between two removals of old outcomes. With a smaller
/// number, commits wait for removals more often.
pub const COMMITS_BETWEEN_SWEEPS: u32 = 64;
/// Maximum number of outcomes that one removal deletes. It exceeds [`COMMITS_BETWEEN_SWEEPS`], so that
/// removals keep up with the outcomes that are added.
pub const SWEEP_ROWS: u32 = 256;

/// SQLSTATE of a statement that refers to a table that does not exist.
pub const UNDEFINED_TABLE: &str = "42P01";

/// Statements that create the table of outcomes. Each must run alone; repeating them has no effect.
pub const CREATE_STATEMENTS: [&str; 2] = [
    "CREATE TABLE IF NOT EXISTS corktack_outcome (idempotency_key text PRIMARY KEY, \
     claimed_at_ms bigint NOT NULL, answer text)",
    "CREATE INDEX IF NOT EXISTS corktack_outcome_claimed_at ON corktack_outcome (claimed_at_ms)",
];

/// Returns the statement that claims a key in the open transaction. Its command tag is `INSERT 0 1` if the
/// key was free.
#[must_use]
pub fn claim_statement(key: &str, now_ms: u64) -> String {
    let key = hex(key.as_bytes());
    format!(
        "INSERT INTO corktack_outcome (idempotency_key, claimed_at_ms) \
         VALUES ('{key}', {now_ms}) ON CONFLICT (idempotency_key) DO NOTHING"
    )
}

/// Returns the statement that stores the answer in the transaction that claimed the key.
#[must_use]
pub fn store_statement(key: &str, answer: &[u8]) -> String {
    let (key, answer) = (hex(key.as_bytes()), hex(answer));
    format!("UPDATE corktack_outcome SET answer = '{answer}' WHERE idempotency_key = '{key}'")
}

/// Returns the statement that reads the stored answer of a key: one column, and no row if the key is free.
#[must_use]
pub fn lookup_statement(key: &str) -> String {
    let key = hex(key.as_bytes());
    format!("SELECT answer FROM corktack_outcome WHERE idempotency_key = '{key}'")
}

/// Returns the statement that deletes the oldest outcomes from before `before_ms`, at most [`SWEEP_ROWS`].
#[must_use]
pub fn sweep_statement(before_ms: u64) -> String {
    format!(
        "DELETE FROM corktack_outcome WHERE idempotency_key IN (SELECT idempotency_key FROM \
         corktack_outcome WHERE claimed_at_ms < {before_ms} ORDER BY claimed_at_ms \
         LIMIT {SWEEP_ROWS})"
    )
}

/// Hash of the parts of a request, equal on every machine, by which the reuse of a key for another
/// request is detected.
#[derive(Debug, Default)]
pub struct Fingerprint {
    hasher: SipHasher13,
}

impl Fingerprint {
    /// Adds one part. The length of the part is hashed too, so different divisions into parts give
    /// different hashes.
    pub fn add_part(&mut self, bytes: &[u8]) {
        bytes.hash(&mut self.hasher);
    }

    /// Returns the hash of all parts.
    #[must_use]
    pub fn finish(self) -> u64 {
        self.hasher.finish()
    }
}

/// Error of a stored answer that is not hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stored answer is not hexadecimal")]
pub struct AnswerError;

/// Decodes a stored answer.
///
/// # Errors
/// [`AnswerError`] if the text does not have the form that [`store_statement`] stores.
pub fn decode_answer(text: &str) -> Result<Vec<u8>, AnswerError> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return Err(AnswerError);
    }
    let digit_value = |byte: u8| char::from(byte).to_digit(16).ok_or(AnswerError);
    let byte_value = |pair: &[u8]| Ok((digit_value(pair[0])? * 16 + digit_value(pair[1])?) as u8);
    digits.chunks_exact(2).map(byte_value).collect()
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
