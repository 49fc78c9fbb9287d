//! Statements and answers as the product understands them, whatever wire they came on.
//!
//! A codec turns messages of its wire into these types and back. Texts of callers stay opaque:
//! what a member is to run is passed on as it came.
//!
//! Forms only, which travel between gateways: order and number of variants and fields stay.

use crate::position::Position;
use crate::tenancy::ApiKey;
use serde::{Deserialize, Serialize};

/// What a statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        access: Access,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes.
    Run(Access),
    /// Sets a value of the session.
    Set {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The name.
        name: String,
        /// What is prepared.
        shape: PreparedShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Its name in the session.
        name: String,
        /// Its arguments as they came.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Its name in the session.
        name: String,
    },
    /// Not a statement of the wire.
    Malformed,
}

/// What a prepared statement does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub access: Access,
    /// Its text.
    pub text: String,
}

/// A statement as it came from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's id of the statement.
    pub id: String,
    /// The text as it came.
    pub text: String,
    /// What it means.
    pub statement: Statement,
}

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session on a database.
    Start {
        /// The database's name.
        database: String,
        /// By what the caller says who it is: any word where nobody asks for a key.
        key: ApiKey,
    },
    /// A statement.
    Query(Request),
    /// Ends the session.
    Terminate,
}

/// Whether a session is inside a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// It is not.
    Idle,
    /// It is.
    Open,
    /// It is inside one that failed.
    Failed,
}

/// What is ready for the next statement, and how far its log goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyState {
    /// Whether a transaction is open.
    pub state: TransactionState,
    /// The member's committed position, where it tells one.
    pub position: Option<Position>,
}

/// Why a statement was not answered with its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ErrorCode {
    /// No slot or connection was free; nothing ran.
    Busy,
    /// The transaction was rolled back; nothing of it is kept.
    Aborted,
    /// The member lacks a position that was asked for; nothing ran.
    Lagging,
    /// The member is not the primary; nothing ran.
    ReadOnly,
    /// Another member answers at this address; nothing ran.
    WrongMember,
    /// The member has all the connections that it takes; nothing ran.
    TooManyConnections,
    /// The prepared name is not known; nothing ran.
    UnknownStatement,
    /// No database of this name is served.
    UnknownDatabase,
    /// The caller's key stands for nobody; nothing ran.
    Unauthenticated,
    /// The tenant's limit is reached; nothing ran.
    OverLimit,
    /// The message does not belong here.
    Malformed,
    /// It ran and failed.
    Failed,
    /// It may have run; no answer came in time.
    TimedOut,
    /// Whether it took effect is not known.
    InDoubt,
    /// A code that this product does not know.
    Other,
}

impl ErrorCode {
    /// Whether the code promises that the statement did not run.
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

/// A message to a caller, or of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// One row of the result.
    Row(String),
    /// The statement is done; carries the member's signature, none for the product's own answers.
    Complete(Option<String>),
    /// The statement failed.
    Error {
        /// Why.
        code: ErrorCode,
        /// The code and text as they came, or the text of the product's own error.
        text: String,
    },
    /// Ready for the next statement.
    Ready(ReadyState),
}

/// What the product asks a member on its own account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnStatement {
    /// Begins a transaction; a read-only one may ask for a position that must be there.
    Begin {
        /// Whether it only reads.
        access: Access,
        /// Position that the member's log must hold.
        after: Option<Position>,
    },
    /// Rolls back.
    Rollback,
    /// Drops session values and prepared statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Prepares a statement under a name of the product's choice.
    Prepare {
        /// The name.
        name: String,
        /// What is prepared.
        shape: PreparedShape,
    },
    /// Asks for role, term and positions.
    Status,
    /// Keeps a replica from receiving, in a term above the newest.
    Pause {
        /// The term.
        term: u64,
    },
    /// Lets a paused replica receive again.
    Resume,
}

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberRequest<'a> {
    /// Opens a connection.
    Start {
        /// The group.
        group: &'a str,
        /// Who asks.
        who: &'a str,
        /// The member that is expected there.
        member: &'a str,
    },
    /// Passes a caller's statement on, untouched.
    Forward {
        /// The caller's id.
        id: &'a str,
        /// Position that the member's log must hold.
        after: Option<Position>,
        /// The caller's text.
        text: &'a str,
    },
    /// Passes a caller's execution of a prepared statement on, under the product's name for it.
    Execute {
        /// The caller's id.
        id: &'a str,
        /// Position that the member's log must hold.
        after: Option<Position>,
        /// The product's name of the statement.
        name: &'a str,
        /// The caller's arguments.
        arguments: &'a str,
    },
    /// A statement of the product's own.
    Own(&'a OwnStatement),
    /// Ends the connection.
    Terminate,
}

/// A member's answer to a question for its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether it leads.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// The last position it received.
    pub received: Position,
    /// The term at which it is held from receiving, 0 for none.
    pub held_term: u64,
}
