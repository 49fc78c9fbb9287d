//! Failures of a statement and their SQLSTATEs.

use crate::error::DurableError;
use crate::replication::ReplicationError;
use corktack_core::backend;
use rusqlite::ErrorCode;
use rusqlite::ffi;

/// Why a statement or a connection failed.
#[derive(Debug, thiserror::Error)]
pub enum SqlError {
    /// The statement needs the primary, and did not run.
    #[error("cannot execute a write: this member is not the primary")]
    NotPrimary,
    /// A write inside a read-only transaction.
    #[error("cannot execute a write in a read-only transaction")]
    ReadOnlyTransaction,
    /// The member was fenced while the transaction was open; it was rolled back.
    #[error("the member was fenced, the open transaction was rolled back")]
    FencedInTransaction,
    /// The member was fenced while a commit waited for its majority.
    #[error("the member was fenced during a commit, its outcome is not known")]
    OutcomeUnknown,
    /// No majority confirmed that this member is primary.
    #[error("no majority confirmed this primary in time")]
    NotConfirmed,
    /// A fence or promotion was refused.
    #[error("refused: {0}")]
    Term(#[source] ReplicationError),
    /// The transaction failed before and only takes its end.
    #[error("current transaction is aborted, commands ignored until end of transaction block")]
    Aborted,
    /// The statement is not SQL that is understood.
    #[error("syntax error: {0}")]
    Syntax(String),
    /// A prepared statement that does not exist.
    #[error("prepared statement {0:?} does not exist")]
    UnknownStatement(String),
    /// A prepared statement of that name exists.
    #[error("prepared statement {0:?} already exists")]
    DuplicateStatement(String),
    /// A portal that does not exist.
    #[error("portal {0:?} does not exist")]
    UnknownPortal(String),
    /// A setting that is not known.
    #[error("unrecognized configuration parameter {0:?}")]
    UnknownSetting(String),
    /// Several statements where one is allowed.
    #[error("cannot insert multiple commands into a prepared statement")]
    SeveralStatements,
    /// A parameter's bytes do not fit its type.
    #[error("a parameter does not fit type {0}")]
    Parameter(&'static str),
    /// A value does not fit the type of its column.
    #[error("a value does not fit type {0}")]
    ValueRange(&'static str),
    /// The number of parameters is wrong.
    #[error("{given} parameters given, the statement takes {needed}")]
    ParameterCount {
        /// How many were given.
        given: usize,
        /// How many are needed.
        needed: usize,
    },
    /// The caller cancelled the statement.
    #[error("canceling statement due to user request")]
    Cancelled,
    /// The connection limit is reached.
    #[error("sorry, too many clients already")]
    TooManyConnections,
    /// A message that is not part of the served protocol.
    #[error("protocol violation: unexpected message")]
    Protocol,
    /// The engine refused the statement.
    #[error("{}", engine_message(.0))]
    Engine(#[from] rusqlite::Error),
    /// The transaction is too large for one record of the log; it did not run.
    #[error("a transaction of {0} bytes is too large")]
    TooLarge(usize),
    /// The log could not be made durable; the outcome is not known.
    #[error("the log cannot be made durable: {0}")]
    Durable(#[source] DurableError),
    /// A worker thread ended early.
    #[error("a worker thread ended early")]
    Worker,
}

impl SqlError {
    /// The five characters of the error's SQLSTATE.
    #[must_use]
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::NotPrimary
            | Self::ReadOnlyTransaction
            | Self::FencedInTransaction
            | Self::NotConfirmed => backend::NOT_PRIMARY,
            Self::OutcomeUnknown | Self::Durable(_) => backend::OUTCOME_UNKNOWN,
            Self::Term(_) => backend::TERM_TOO_LOW,
            Self::Aborted => "25P02",
            Self::Syntax(_) | Self::SeveralStatements => "42601",
            Self::UnknownStatement(_) => "26000",
            Self::DuplicateStatement(_) => "42P05",
            Self::UnknownPortal(_) => "34000",
            Self::UnknownSetting(_) => "42704",
            Self::Parameter(_) => "22P02",
            Self::ValueRange(_) => "22003",
            Self::ParameterCount { .. } | Self::Protocol => "08P01",
            Self::Cancelled => "57014",
            Self::TooManyConnections => backend::TOO_MANY_CONNECTIONS,
            Self::Engine(error) => engine_sqlstate(error),
            Self::TooLarge(_) => "54000",
            Self::Worker => "XX000",
        }
    }

    /// Whether the connection ends with this error.
    #[must_use]
    pub fn is_fatal(&self) -> bool {
        matches!(
            self,
            Self::OutcomeUnknown
                | Self::FencedInTransaction
                | Self::Durable(_)
                | Self::TooManyConnections
                | Self::Protocol
        )
    }

    /// The error of a fence or promotion.
    #[must_use]
    pub fn of_term(error: ReplicationError) -> Self {
        match error {
            ReplicationError::Durable(error) => Self::Durable(error),
            ReplicationError::NotPrimary => Self::NotPrimary,
            refused => Self::Term(refused),
        }
    }
}

fn failure(error: &rusqlite::Error) -> Option<&ffi::Error> {
    match error {
        rusqlite::Error::SqliteFailure(code, _) => Some(code),
        rusqlite::Error::SqlInputError { error, .. } => Some(error),
        _ => None,
    }
}

fn engine_message(error: &rusqlite::Error) -> String {
    match error {
        rusqlite::Error::SqlInputError { msg, .. } => msg.clone(),
        other => other.to_string(),
    }
}

fn engine_sqlstate(error: &rusqlite::Error) -> &'static str {
    if let rusqlite::Error::InvalidParameterCount(..) = error {
        return "08P01";
    }
    let Some(code) = failure(error) else {
        return "XX000";
    };
    match code.code {
        ErrorCode::ConstraintViolation => constraint_sqlstate(code.extended_code),
        ErrorCode::OperationInterrupted => "57014",
        ErrorCode::ReadOnly => backend::NOT_PRIMARY,
        ErrorCode::TypeMismatch => "22P02",
        ErrorCode::DiskFull => "53100",
        ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked => "55P03",
        _ => message_sqlstate(&engine_message(error)),
    }
}

fn constraint_sqlstate(extended_code: i32) -> &'static str {
    match extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => "23505",
        ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
        ffi::SQLITE_CONSTRAINT_CHECK => "23514",
        _ => "23000",
    }
}

/// The engine has one code for most mistakes in SQL; its message tells them apart.
fn message_sqlstate(message: &str) -> &'static str {
    const PATTERNS: [(&str, &str); 8] = [
        ("syntax error", "42601"),
        ("incomplete input", "42601"),
        ("unrecognized token", "42601"),
        ("no such table", "42P01"),
        ("no such column", "42703"),
        ("has no column", "42703"),
        ("no such function", "42883"),
        ("already exists", "42P07"),
    ];
    let found = PATTERNS.iter().find(|(pattern, _)| message.contains(pattern));
    found.map_or("XX000", |(_, state)| state)
}
