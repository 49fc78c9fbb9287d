//! Errors that stop the edge or a session, and the error answers that the edge gives in place of a back
//! end.
//!
//! This module holds the texts, SQLSTATEs and hints; the callers of the module decide when each is
//! given. "Not run" in a text promises that the caller may safely repeat the request.

use crate::times::CONNECTION_RETRY_AFTER_MS;
use corktack_core::classify::Unsupported;
use corktack_core::session::{StatementError, TokenError};
use corktack_protocol::peer::NotRunReason;
use std::time::Duration;

/// Reason why the edge did not start.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    /// The listener cannot be used.
    #[error("the callers' listener cannot be used")]
    Listener(#[from] std::io::Error),
    /// The settings ask for zero arbiters.
    #[error("the edge needs at least one arbiter")]
    NoArbiters,
    /// The arbiter's thread stopped before it started its accept loop.
    #[error("an arbiter of the edge stopped at its start")]
    ArbiterStopped,
}

/// Reason why a session ended.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The caller closed the session, or disconnected.
    #[error("the caller is gone")]
    CallerGone,
    /// The caller's socket failed.
    #[error("the caller's connection failed")]
    Io(#[from] std::io::Error),
    /// The edge ends the session and sends the caller this fatal error.
    #[error(transparent)]
    Fatal(#[from] Rejection),
}

/// An error answer that the edge gives in place of a back end's answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The startup message violates the protocol.
    #[error("malformed startup message")]
    MalformedStartup,
    /// A message of this type violates the protocol.
    #[error("malformed message of type {0:?}")]
    MalformedMessage(char),
    /// A string in a message is not valid UTF-8.
    #[error("text that is not valid UTF-8")]
    NotUtf8,
    /// A message is longer than the limit.
    #[error("message of {length} bytes, at most {limit} are allowed")]
    MessageTooLarge {
        /// Length of the message in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The protocol version (major, minor) is not supported.
    #[error("protocol version {0}.{1} is not supported")]
    ProtocolVersion(u16, u16),
    /// The startup message names no user.
    #[error("no user name in the startup message")]
    NoUser,
    /// The client encoding is not supported.
    #[error("client encoding {0:?} is not supported, use UTF8")]
    Encoding(String),
    /// A request with its prepared statements exceeds this size in bytes and doesn't fit into a frame
    /// to the owner.
    #[error("request with its prepared statements is over {0} bytes, not run")]
    RequestTooLarge(usize),
    /// An idempotency key is longer than this number of bytes.
    #[error("idempotency key of more than {0} bytes")]
    KeyTooLong(usize),
    /// No group serves this database.
    #[error("database {0:?} does not exist")]
    UnknownDatabase(String),
    /// The connection limit is reached.
    #[error("too many connections, not run")]
    TooManyConnections,
    /// The password is wrong, or the user does not exist.
    #[error("authentication failed for user {0:?}")]
    Authentication(String),
    /// The caller did not authenticate within the startup timeout.
    #[error("no authentication in time")]
    StartupTimeout,
    /// The proxy is stopping and ends the session of an idle caller, or any session once the drain has
    /// timed out.
    #[error("proxy is stopping, reconnect; a request that crossed this message was not run")]
    Stopping,
    /// The proxy is stopping and refuses a new caller or a request that still waits to be sent.
    #[error("proxy is stopping, not run")]
    Draining,
    /// The transaction block failed, and the caller has not ended it yet.
    #[error("current transaction is aborted, commands ignored until end of transaction block")]
    TransactionAborted,
    /// The session's token is malformed.
    #[error(transparent)]
    Token(#[from] TokenError),
    /// The statement is not supported through the proxy.
    #[error("{0}; not run")]
    Unsupported(#[from] Unsupported),
    /// A prepared statement does not exist or its name is in use, or the session has reached a limit on
    /// its statements.
    #[error(transparent)]
    Statement(#[from] StatementError),
    /// The portal does not exist.
    #[error("portal {0:?} does not exist")]
    UnknownPortal(String),
    /// The caller cancelled the request before it was sent.
    #[error("request was cancelled by its user, not run")]
    Cancelled,
    /// A batch is longer than this number of bytes.
    #[error("batch of more than {0} bytes before Sync, not run")]
    BatchTooLarge(usize),
    /// `Flush` before the `Sync` of a write under an idempotency key. The answer of such a write is
    /// stored when it commits, so no part of the answer is available earlier.
    #[error("Flush before the Sync of a write under an idempotency key, not run")]
    FlushOfKeyedWrite,
    /// The parts of an unfinished batch together exceed this number of bytes.
    #[error("batch of more than {0} bytes before Sync, ended; the rest of it is not run")]
    UnfinishedTooLarge(usize),
    /// The `Sync` of an unfinished batch did not arrive within this time.
    #[error("no Sync within {} ms of the first Flush, batch ended", .0.as_millis())]
    UnfinishedTooLong(Duration),
    /// A batch mixes statements that the edge answers with statements for a back end.
    #[error("{}; not run", Unsupported::EdgeStatementAmongOthers)]
    MixedBatch,
    /// The request did not run, and the caller may repeat it.
    #[error("request not run: {}", not_run_reason(*reason))]
    NotRun {
        /// The reason.
        reason: NotRunReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The request was sent, but its outcome is not known.
    #[error("outcome of the request is unknown: it may or may not have run")]
    Unknown,
    /// A read got no complete answer.
    #[error("read was interrupted; it changed nothing")]
    ReadInterrupted,
    /// The transaction was rolled back.
    #[error("transaction is lost; nothing of it is committed")]
    TransactionLost,
}

/// Severity of an error for the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The session continues.
    Error,
    /// The session ends.
    Fatal,
}

fn not_run_reason(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::QueueFull => "the wait queue is full",
        NotRunReason::QueueTimeout => "no server connection came free in time",
        NotRunReason::NoBackEnd => "no back end may serve it",
        NotRunReason::NotOwner => "the group's owner is changing",
        NotRunReason::UnknownGroup => "the group is not known",
        NotRunReason::Stopping => "the group's owner is stopping",
        NotRunReason::OwnerUnreachable => "the group's owner cannot be reached",
        NotRunReason::BackEndRefused => "the back end refused it",
        NotRunReason::RetryBudget => "too many requests are being retried",
    }
}

impl Rejection {
    /// Returns the SQLSTATE.
    #[must_use]
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::MalformedStartup | Self::MalformedMessage(_) => "08P01",
            Self::NotUtf8 => "22021",
            Self::MessageTooLarge { .. }
            | Self::BatchTooLarge(_)
            | Self::UnfinishedTooLarge(_)
            | Self::RequestTooLarge(_) => "54000",
            Self::UnfinishedTooLong(_) => "25P03",
            Self::NoUser => "28000",
            Self::UnknownDatabase(_) => "3D000",
            Self::TooManyConnections => "53300",
            Self::Authentication(_) => "28P01",
            Self::StartupTimeout => "57P05",
            Self::Stopping => "57P01",
            Self::Token(_) | Self::KeyTooLong(_) => "22023",
            Self::ProtocolVersion(..)
            | Self::Encoding(_)
            | Self::Unsupported(_)
            | Self::FlushOfKeyedWrite
            | Self::MixedBatch => "0A000",
            Self::Statement(StatementError::Duplicate(_)) => "42P05",
            Self::Statement(StatementError::Unknown(_)) => "26000",
            Self::Statement(StatementError::TooMany(_) | StatementError::TooMuchText(_)) => "54000",
            Self::NotRun { reason: NotRunReason::QueueFull, .. } => "53300",
            Self::NotRun { reason: NotRunReason::QueueTimeout, .. } => "53400",
            Self::NotRun { .. } => "57P03",
            Self::Unknown => "08007",
            Self::UnknownPortal(_) => "34000",
            Self::ReadInterrupted | Self::Cancelled => "57014",
            Self::TransactionLost => "40001",
            Self::TransactionAborted => "25P02",
            Self::Draining => "57P03",
        }
    }

    /// Returns the hint with the time after which to retry, for errors that have one.
    #[must_use]
    pub fn hint(&self) -> Option<String> {
        let retry_after_ms = match self {
            Self::NotRun { retry_after_ms, .. } => *retry_after_ms,
            Self::TooManyConnections => CONNECTION_RETRY_AFTER_MS,
            Self::Stopping | Self::Draining => 0,
            _ => return None,
        };
        Some(format!("retry_after_ms={retry_after_ms}"))
    }
}
