//! Errors of the edge itself and answers that it gives in place of a back end.
//!
//! The module owns the texts, SQLSTATEs and hints that a caller meets; it decides nothing about when they are
//! given. "Not run" in a text is a promise that a repeat is safe.

use crate::times::CONNECTION_RETRY_MS;
use corktack_core::classify::Unsupported;
use corktack_core::session::{StatementError, TokenError};
use corktack_protocol::peer::NotRunReason;
use std::time::Duration;

/// Why the edge could not start.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    /// The listener cannot be used.
    #[error("the callers' listener cannot be used")]
    Listener(#[from] std::io::Error),
    /// The settings ask for no thread.
    #[error("the edge needs at least one arbiter")]
    NoArbiters,
    /// A thread stopped before it took its work.
    #[error("an arbiter of the edge stopped at its start")]
    ArbiterStopped,
}

/// Why a session is over.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The caller said so, or its connection is gone.
    #[error("the caller is gone")]
    CallerGone,
    /// The connection failed.
    #[error("the caller's connection failed")]
    Io(#[from] std::io::Error),
    /// The edge ends it; the caller is told.
    #[error(transparent)]
    Fatal(#[from] Rejection),
}

/// An answer of the edge in place of a back end's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The startup message breaks the protocol.
    #[error("malformed startup message")]
    MalformedStartup,
    /// A message breaks the protocol.
    #[error("malformed message of type {0:?}")]
    MalformedMessage(char),
    /// A text is not UTF-8.
    #[error("text that is not valid UTF-8")]
    NotUtf8,
    /// A message is too long.
    #[error("message of {length} bytes, at most {limit} are allowed")]
    MessageTooLarge {
        /// Its length.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// The protocol version is not served.
    #[error("protocol version {0}.{1} is not supported")]
    ProtocolVersion(u16, u16),
    /// The startup message names no user.
    #[error("no user name in the startup message")]
    NoUser,
    /// The encoding is not served.
    #[error("client encoding {0:?} is not supported, use UTF8")]
    Encoding(String),
    /// A request does not fit into a frame to the owner.
    #[error("request with its prepared statements is over {0} bytes, not run")]
    RequestTooLarge(usize),
    /// An idempotency key is too long.
    #[error("idempotency key of more than {0} bytes")]
    KeyTooLong(usize),
    /// No group serves the database.
    #[error("database {0:?} does not exist")]
    UnknownDatabase(String),
    /// The connection limit is reached.
    #[error("too many connections, not run")]
    TooManyConnections,
    /// The password is wrong, or the user is not known.
    #[error("authentication failed for user {0:?}")]
    Authentication(String),
    /// The caller did not authenticate in time.
    #[error("no authentication in time")]
    StartupTimeout,
    /// The proxy is stopping.
    #[error("proxy is stopping, reconnect; a request that crossed this message was not run")]
    Stopping,
    /// A new caller, or a request that still waits, meets a proxy that is stopping.
    #[error("proxy is stopping, not run")]
    Draining,
    /// The transaction block failed, and waits for its end.
    #[error("current transaction is aborted, commands ignored until end of transaction block")]
    TransactionAborted,
    /// The session's token is malformed.
    #[error(transparent)]
    Token(#[from] TokenError),
    /// The statement cannot work through the proxy.
    #[error("{0}; not run")]
    Unsupported(#[from] Unsupported),
    /// A prepared statement is missing or taken.
    #[error(transparent)]
    Statement(#[from] StatementError),
    /// A portal is missing.
    #[error("portal {0:?} does not exist")]
    UnknownPortal(String),
    /// The caller cancelled the request while it waited.
    #[error("request was cancelled by its user, not run")]
    Cancelled,
    /// A batch is too long.
    #[error("batch of more than {0} bytes before Sync, not run")]
    BatchTooLarge(usize),
    /// `Flush` before the `Sync` of a write under an idempotency key: its answer is
    /// kept with its commit, so none of it can be given before.
    #[error("Flush before the Sync of a write under an idempotency key, not run")]
    FlushOfKeyedWrite,
    /// The parts of a batch are too long together.
    #[error("batch of more than {0} bytes before Sync, ended; the rest of it is not run")]
    UnfinishedTooLarge(usize),
    /// The `Sync` of a batch did not come in time.
    #[error("no Sync within {} ms of the first Flush, batch ended", .0.as_millis())]
    UnfinishedTooLong(Duration),
    /// A batch mixes statements that the edge answers with others.
    #[error("{}; not run", Unsupported::EdgeStatementAmongOthers)]
    MixedBatch,
    /// The request did not run.
    #[error("request not run: {}", reason_text(*reason))]
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// The request was sent and its outcome is not known.
    #[error("outcome of the request is unknown: it may or may not have run")]
    Unknown,
    /// A read was given up on.
    #[error("read was interrupted; it changed nothing")]
    ReadInterrupted,
    /// The open transaction is lost.
    #[error("transaction is lost; nothing of it is committed")]
    TransactionLost,
}

/// How bad it is for the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The session goes on.
    Error,
    /// The session is over.
    Fatal,
}

fn reason_text(reason: NotRunReason) -> &'static str {
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
    /// The SQLSTATE.
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

    /// The hint that tells when to come back, where there is one.
    #[must_use]
    pub fn hint(&self) -> Option<String> {
        let retry_after_ms = match self {
            Self::NotRun { retry_after_ms, .. } => *retry_after_ms,
            Self::TooManyConnections => CONNECTION_RETRY_MS,
            Self::Stopping | Self::Draining => 0,
            _ => return None,
        };
        Some(format!("retry_after_ms={retry_after_ms}"))
    }
}
