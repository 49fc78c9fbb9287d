//! Statements and answers, independent of the wire protocol that carries them.
//!
//! A codec translates the messages of its protocol into these types and back. The texts of callers are
//! opaque: a member receives a statement exactly as the caller sent it.
//!
//! Some of these types are sent between gateways in an encoding without names, so the order and number of
//! variants and fields must not change.

use crate::position::Position;
use crate::tenancy::ApiKey;
use serde::{Deserialize, Serialize};

/// Whether a statement or transaction only reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Access {
    /// Reads only.
    Read,
    /// Writes, and may read too.
    Write,
}

/// Meaning of a caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Runs a query that reads or writes.
    Run(Access),
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: String,
        /// New value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name of the statement in the session.
        name: String,
        /// Access and text of the statement.
        shape: PreparedShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name of the statement in the session.
        name: String,
        /// Arguments as the caller sent them.
        arguments: String,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name of the statement in the session.
        name: String,
    },
    /// Is not a valid statement of the wire protocol.
    Malformed,
}

/// Access and text of a prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether the statement only reads.
    pub access: Access,
    /// Text of the statement.
    pub text: String,
}

/// Statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id that the caller gave the statement.
    pub id: String,
    /// Text as the caller sent it.
    pub text: String,
    /// Meaning of the text.
    pub statement: Statement,
}

/// Message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session on a database.
    Start {
        /// Name of the database.
        database: String,
        /// Key that identifies the caller; any word where no key is required.
        key: ApiKey,
    },
    /// Asks for a statement to be run.
    Query(Request),
    /// Ends the session.
    Terminate,
}

/// Whether a session is inside a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// The session is in no transaction.
    Idle,
    /// The session is in a transaction.
    Open,
    /// The session is in a transaction that failed.
    Failed,
}

/// State of a session that is ready for its next statement, and the member's position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyState {
    /// Whether a transaction is open.
    pub state: TransactionState,
    /// Committed position of the member, `None` if the member reported none.
    pub position: Option<Position>,
}

/// Reason why a statement got no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ErrorCode {
    /// No slot or connection was free; nothing ran.
    Busy,
    /// The transaction was rolled back; none of its changes are kept.
    Aborted,
    /// The member has not reached the requested position; nothing ran.
    Lagging,
    /// The member is not the primary; nothing ran.
    ReadOnly,
    /// A member other than the expected one answers at this address; nothing ran.
    WrongMember,
    /// The member is at its connection limit; nothing ran.
    TooManyConnections,
    /// No prepared statement has this name; nothing ran.
    UnknownStatement,
    /// No database has this name.
    UnknownDatabase,
    /// The caller's key belongs to no tenant; nothing ran.
    Unauthenticated,
    /// The tenant is over its limit; nothing ran.
    OverLimit,
    /// The message is malformed or not allowed in this state.
    Malformed,
    /// The statement ran and failed.
    Failed,
    /// No answer came in time; the statement may have run.
    TimedOut,
    /// It is unknown whether the statement took effect.
    InDoubt,
    /// The member answered with a code that is not in this list.
    Other,
}

impl ErrorCode {
    /// Reports whether the code guarantees that the statement did not run.
    #[must_use]
    pub const fn did_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::WrongMember
                | Self::TooManyConnections
                | Self::UnknownStatement
                | Self::OverLimit
        )
    }
}

/// Message to a caller or from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// One row of the result.
    Row(String),
    /// The statement is complete. Carries the signature of the member, `None` if the gateway itself answered.
    Complete(Option<String>),
    /// The statement failed.
    Error {
        /// Reason.
        code: ErrorCode,
        /// Code and text as the member sent them, or the text of an error of the gateway itself.
        text: String,
    },
    /// The session is ready for the next statement.
    Ready(ReadyState),
}

/// Statement that a gateway or the control cell itself sends to a member, not on behalf of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnStatement {
    /// Begins a transaction. A read-only transaction may require a position.
    Begin {
        /// Whether the transaction only reads.
        access: Access,
        /// Position that the member's log must have reached.
        after: Option<Position>,
    },
    /// Rolls back the transaction.
    Rollback,
    /// Removes the session's values and prepared statements.
    Reset,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: String,
        /// New value.
        value: String,
    },
    /// Prepares a statement under a name that the gateway chooses.
    Prepare {
        /// Name of the statement on the connection.
        name: String,
        /// Access and text of the statement.
        shape: PreparedShape,
    },
    /// Asks for the member's role, term and positions.
    Status,
    /// Stops a replica from receiving log entries, in a term above the highest known term.
    Pause {
        /// Term of the pause.
        term: u64,
    },
    /// Lets a paused replica receive log entries again.
    Resume,
}

/// Message to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRequest<'a> {
    /// Opens a connection.
    Start {
        /// Group of the member.
        group: &'a str,
        /// Name of the tenant that the connection is for, else of the process that opens the connection.
        client_name: &'a str,
        /// Member that is expected at the address.
        member: &'a str,
    },
    /// Forwards a caller's statement unchanged.
    Forward {
        /// Id that the caller gave the statement.
        id: &'a str,
        /// Position that the member's log must have reached.
        after: Option<Position>,
        /// Text as the caller sent it.
        text: &'a str,
    },
    /// Forwards a caller's execution of a prepared statement, under the name that the gateway
    /// gave the statement.
    Execute {
        /// Id that the caller gave the statement.
        id: &'a str,
        /// Position that the member's log must have reached.
        after: Option<Position>,
        /// Name of the statement on the connection.
        name: &'a str,
        /// Arguments as the caller sent them.
        arguments: &'a str,
    },
    /// Sends a statement that does not come from a caller.
    Own(&'a OwnStatement),
    /// Ends the connection.
    Terminate,
}

/// Answer of a member to [`OwnStatement::Status`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member is the primary.
    pub primary: bool,
    /// Term of the member.
    pub term: u64,
    /// Last position that the member received.
    pub received: Position,
    /// Term of the pause that keeps the member from receiving log entries, 0 if it is not paused.
    pub pause_term: u64,
}
