//! Messages between two gateways, one of which uses a connection to a member that the other holds.
//!
//! A tunnel serves leases and statements one after the other. During a lease, the holder forwards bytes of
//! the deployment's own wire protocol without reading them, and the connection's known session values
//! travel with the lease, so that transactions run on it. A statement outside a transaction is sent whole
//! and run by the holder: this takes one round trip between the gateways in place of several, during none of
//! which the member's connection is occupied.
//!
//! The holder decides which position a read must see: many gateways use the holder, so it knows newer
//! positions. A holder whose answer takes long sends [`TunnelReply::Working`], so that the asking gateway
//! can tell a lost holder from one that waits.
//!
//! The same tunnels carry requests to the gateway that counts the operations of a tenant.
//!
//! The gateway that needs something sends a [`TunnelRequest`]; the holder answers with the [`TunnelReply`]
//! that the request names, or with [`TunnelReply::Refused`], and may send [`TunnelReply::Working`] before.
//! [`TunnelRequest::Bytes`] and [`TunnelReply::Bytes`] belong to a lease and go both ways until the lease is
//! released.

use corktack_core::gateway::{ConnectionProfile, ReadBound, ReadPosition, SessionProfile};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::limits::{AdmittedOperations, OverLimit};
use corktack_core::position::Position;
use corktack_core::statement::{ErrorCode, PreparedShape, ReadyState};
use corktack_core::tenancy::{Principal, TenantName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Request of a gateway that needs a connection, a position or a count, to the gateway that has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRequest {
    /// Asks for the lease of a connection. Answered with [`TunnelReply::Granted`].
    Acquire {
        /// The group that the member belongs to.
        group: GroupName,
        /// The member that the connection leads to.
        member: MemberName,
        /// The caller on whose behalf the gateway asks.
        principal: Principal,
        /// Priority of the statement that waits for the connection.
        priority: u32,
        /// Longest time that the request may wait for a connection.
        wait: Duration,
        /// Freshness that a read-only transaction needs; the holder chooses the position.
        bound: Option<ReadBound>,
    },
    /// Bytes for the member, in the deployment's own wire protocol; only during a lease.
    Bytes(Vec<u8>),
    /// Returns the leased connection, on which no answer is outstanding and no transaction is open.
    Release {
        /// Session values and prepared statements that the connection has now.
        profile: ConnectionProfile,
    },
    /// Asks for a statement outside a transaction to be run at a member. Answered with [`TunnelReply::Ran`].
    Run {
        /// The group that the member belongs to.
        group: GroupName,
        /// The member that the connection leads to.
        member: MemberName,
        /// The caller on whose behalf the gateway asks.
        principal: Principal,
        /// Priority of the statement.
        priority: u32,
        /// Longest time that the statement may wait for a connection.
        wait: Duration,
        /// Longest time that the statement may take in all, its wait included.
        limit: Duration,
        /// The statement and the session values that it needs.
        statement: Box<LoneRequest>,
    },
    /// Asks for the newest position of the group's primary. Answered with [`TunnelReply::Position`].
    Position {
        /// The group that the member belongs to.
        group: GroupName,
        /// The member that the asking gateway takes for the primary.
        member: MemberName,
        /// Greatest age of the primary's answer that the asking gateway accepts.
        max_age: Duration,
        /// Longest time that the holder may wait for the primary's answer.
        wait: Duration,
    },
    /// Asks a tenant's home, the gateway that counts its operations, to count further operations against the
    /// tenant's limit. Answered with [`TunnelReply::OperationsAdmitted`].
    BeginOperations {
        /// The tenant whose operations are counted.
        tenant: TenantName,
        /// How many operations begin.
        operations: u64,
        /// Priority of the class of the operations; zero is served first.
        priority: u32,
        /// Longest time that the operations may wait until the limit admits them.
        wait: Duration,
    },
    /// Asks the holder to lease a connection, begin a transaction on it and run its first statement: one
    /// round trip in place of three. The transaction is read-only where the statement's kind is a read.
    /// Answered with [`TunnelReply::Opened`] or [`TunnelReply::NotOpened`].
    Open {
        /// The group that the member belongs to.
        group: GroupName,
        /// The member that the connection leads to.
        member: MemberName,
        /// The caller on whose behalf the gateway asks.
        principal: Principal,
        /// Priority of the statement.
        priority: u32,
        /// Longest time that the statement may wait for a connection.
        wait: Duration,
        /// Longest time that the statement may take in all, its wait included.
        limit: Duration,
        /// The first statement of the transaction.
        statement: Box<LoneRequest>,
    },
    /// Reports that counted operations did not run, so that the home subtracts them. Answered with
    /// [`TunnelReply::Returned`].
    ReturnOperations {
        /// The tenant whose operations are counted.
        tenant: TenantName,
        /// The operations that the home admitted and that did not run.
        begun: AdmittedOperations,
    },
}

/// Where a statement outside a transaction may run, and whether it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoneKind {
    /// Reads at any member that is fresh enough for `bound`.
    Read {
        /// Freshness that the read needs.
        bound: ReadBound,
    },
    /// Reads inside a transaction that the gateway begins itself, which is possible only at the primary.
    ReadAtPrimary,
    /// Writes at the primary.
    Write,
}

impl LoneKind {
    /// Reports whether the statement only reads, and may therefore be run again.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        matches!(self, Self::Read { .. } | Self::ReadAtPrimary)
    }

    /// Returns the freshness that a read at any member needs; `None` for the other kinds.
    #[must_use]
    pub const fn bound(&self) -> Option<ReadBound> {
        match self {
            Self::Read { bound } => Some(*bound),
            Self::ReadAtPrimary | Self::Write => None,
        }
    }
}

/// A statement outside a transaction, with the session values that the member's connection must have first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoneRequest {
    /// Id that the caller gave to the statement.
    pub id: String,
    /// Text of the statement, as the caller sent it.
    pub text: String,
    /// Arguments of a prepared statement, as the caller sent them.
    pub arguments: Option<String>,
    /// Shape of a prepared statement, `None` for a plain one.
    pub shape: Option<PreparedShape>,
    /// Values of the caller's session, which the holder sets on the connection first.
    pub session: SessionProfile,
    /// Where the statement may run, and whether it writes.
    pub kind: LoneKind,
}

impl LoneRequest {
    /// Returns the memory that the texts take, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let arguments = self.arguments.as_ref().map_or(0, String::len);
        let shape = self.shape.as_ref().map_or(0, |shape| shape.text.len());
        self.id.len() + self.text.len() + arguments + shape + self.session.bytes()
    }
}

/// Error with which a member refused, as the member sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRefusal {
    /// Code of the member's error.
    pub code: ErrorCode,
    /// Text of the member's error.
    pub text: String,
}

/// How a connection to a member failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunFailure {
    /// No answer arrived within the time limit.
    TimedOut,
    /// The connection was lost.
    Lost,
}

/// Outcome of a statement that another gateway ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The member answered completely.
    Answered {
        /// Rows of the answer.
        rows: Vec<String>,
        /// Signature of the answer, or the error with which the statement failed.
        outcome: Result<Option<String>, MemberRefusal>,
        /// State and position of the member's session after the statement.
        ready: ReadyState,
    },
    /// The member refused a step that had to precede the statement; the statement was not sent.
    Refused(MemberRefusal),
    /// The connection failed before the statement was sent.
    NotSent(RunFailure),
    /// The connection failed after the statement was sent; the statement may have run.
    Unanswered(RunFailure),
}

/// Why a gateway refused a request of another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// No connection became free in time, or none is likely to.
    NoneFree {
        /// Time after which a connection is likely to be free.
        retry_after: Duration,
    },
    /// The refusing gateway cannot reach the member.
    Unreachable,
    /// The refusing gateway does not serve the group, or holds no connection to the member.
    NotHeld,
    /// The refusing gateway knows no position that is recent enough for the read.
    NoPosition,
}

/// Reply of the gateway that holds connections or counts operations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// A connection is leased to the gateway that asked.
    Granted {
        /// Session values that the connection has.
        profile: ConnectionProfile,
        /// The position that a read-only transaction must see.
        position: Option<ReadPosition>,
        /// Age and position of the newest answer of the group's primary that the holder has. The age is
        /// counted up to the grant.
        newest: Option<(Duration, Position)>,
    },
    /// The request is refused.
    Refused(TunnelRefusal),
    /// Bytes from the member, in the deployment's own wire protocol; only during a lease.
    Bytes(Vec<u8>),
    /// The leased connection to the member is lost.
    Closed,
    /// Answer to [`TunnelRequest::Run`].
    Ran {
        /// Outcome of the statement.
        outcome: RunOutcome,
        /// The position that a read had to see.
        position: Option<ReadPosition>,
        /// Age and position of the newest answer of the group's primary that the holder has.
        newest: Option<(Duration, Position)>,
        /// Load of the member.
        load: MemberLoadReport,
    },
    /// The request waits or is in flight. The holder repeats this reply, so that the asking gateway notices a
    /// holder that is lost.
    Working,
    /// Answer to [`TunnelRequest::Position`]: age and position of the newest answer of the group's primary
    /// that the holder has, or `None` when the holder has no answer.
    Position(Option<(Duration, Position)>),
    /// A transaction is open on a connection that is leased to the gateway that asked.
    Opened {
        /// Session values that the connection has.
        profile: ConnectionProfile,
        /// The position that a read-only transaction must see.
        position: Option<ReadPosition>,
        /// Age and position of the newest answer of the group's primary that the holder has.
        newest: Option<(Duration, Position)>,
        /// Outcome of the first statement.
        outcome: RunOutcome,
    },
    /// The transaction could not be begun: the first statement was not sent, and no connection is leased.
    NotOpened {
        /// Outcome of the steps that precede the first statement.
        outcome: RunOutcome,
        /// Age and position of the newest answer of the group's primary that the holder has.
        newest: Option<(Duration, Position)>,
    },
    /// Answer to [`TunnelRequest::BeginOperations`]: the admitted operations, or the reason why none
    /// is admitted.
    OperationsAdmitted(Result<AdmittedOperations, OverLimit>),
    /// Answer to [`TunnelRequest::ReturnOperations`]: the operations no longer count against the limit.
    Returned,
}

/// Load of a member, as seen by a gateway that holds connections to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoadReport {
    /// Time that the holder spent on the statement that it just ran.
    pub spent: Duration,
    /// Mean time that a statement takes at the member, as seen by the holder.
    pub latency: Duration,
    /// Statements that wait at the holder, running ones excluded, in percent of the statements that the
    /// holder may run at once.
    pub waiting_percent: u32,
}
