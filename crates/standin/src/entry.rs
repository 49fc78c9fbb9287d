//! Entries of a member's replicated log.

use corktack_core::position::{Position, Term};
use serde::{Deserialize, Serialize};

/// A value of a bound parameter or of a column.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// SQL `NULL`.
    Null,
    /// An integer or boolean.
    Integer(i64),
    /// A floating point number.
    Real(f64),
    /// Text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl From<Value> for rusqlite::types::Value {
    fn from(value: Value) -> Self {
        match value {
            Value::Null => Self::Null,
            Value::Integer(number) => Self::Integer(number),
            Value::Real(number) => Self::Real(number),
            Value::Text(text) => Self::Text(text),
            Value::Blob(bytes) => Self::Blob(bytes),
        }
    }
}

impl From<rusqlite::types::Value> for Value {
    fn from(value: rusqlite::types::Value) -> Self {
        match value {
            rusqlite::types::Value::Null => Self::Null,
            rusqlite::types::Value::Integer(number) => Self::Integer(number),
            rusqlite::types::Value::Real(number) => Self::Real(number),
            rusqlite::types::Value::Text(text) => Self::Text(text),
            rusqlite::types::Value::Blob(bytes) => Self::Blob(bytes),
        }
    }
}

/// What a statement found when it first ran, so that each member's copy finds the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Circumstances {
    /// The time in UTC, as `YYYY-MM-DD HH:MM:SS`.
    pub timestamp: String,
    /// Where its random numbers begin.
    pub seed: u64,
}

/// One write statement of a transaction with its bound parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WriteStatement {
    /// The statement in the dialect of the embedded engine.
    pub sql: String,
    /// Parameters in the order of their numbers.
    pub parameters: Vec<Value>,
    /// Time and random seed.
    pub circumstances: Circumstances,
}

/// One transaction of the replicated log; an empty one opens a term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the primary that appended the entry.
    pub term: Term,
    /// Place in the log; the first entry has index 1.
    pub index: u64,
    /// The transaction's write statements in order.
    pub statements: Vec<WriteStatement>,
}

impl LogEntry {
    /// Term and index of the entry.
    #[must_use]
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }
}
