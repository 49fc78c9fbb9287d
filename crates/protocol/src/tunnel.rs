//! Between gateways: one uses a connection to a member that another holds.
//!
//! A tunnel serves one lease or statement after the other. On a lease, bytes of the deployment's own
//! wire go through unread by the holder, and what the connection knows of session values goes along
//! with it: so transactions run. A statement outside a transaction is sent whole and run by the
//! holder: one round trip in place of several, and the connection is in use for none of them.
//!
//! Which position a read must see is decided by the holder, which many gateways use and which
//! therefore knows newer ones. A holder that takes long says that it is at work, so that one that is
//! gone can be told from one that waits.
//!
//! The same tunnels carry questions to the gateway that counts the operations of a tenant.
//!
//! The gateway that needs something sends a [`TunnelRequest`]; the holder answers with the [`TunnelReply`]
//! that the request names, or with [`TunnelReply::Refused`], and may say [`TunnelReply::Working`] before.
//! [`TunnelRequest::Bytes`] and [`TunnelReply::Bytes`] belong to a lease and go both ways until it is
//! released.

use corktack_core::gateway::{ConnectionProfile, ReadBound, ReadPosition, SessionProfile};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::limits::{AdmittedOperations, OverLimit};
use corktack_core::position::Position;
use corktack_core::statement::{ErrorCode, PreparedShape, ReadyState};
use corktack_core::tenancy::{Principal, TenantName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// From the gateway that needs a connection, a position or a count to the one that has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRequest {
    /// Asks for a connection, on a lease. Answered with [`TunnelReply::Granted`].
    Acquire {
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// On whose behalf.
        principal: Principal,
        /// Priority of the statement that waits.
        priority: u32,
        /// How long the request may wait for a connection.
        wait: Duration,
        /// What a transaction that only reads must see; the holder chooses the position.
        bound: Option<ReadBound>,
    },
    /// Bytes for the member, in the deployment's own wire; only on a lease.
    Bytes(Vec<u8>),
    /// Gives the leased connection back; no answer is outstanding and no transaction is open.
    Release {
        /// What the connection knows now of session values and prepared statements.
        profile: ConnectionProfile,
    },
    /// Asks for a statement outside a transaction to be run at a member. Answered with [`TunnelReply::Ran`].
    Run {
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// On whose behalf.
        principal: Principal,
        /// Priority of the statement.
        priority: u32,
        /// How long it may wait for a connection.
        wait: Duration,
        /// How long it may take in all.
        limit: Duration,
        /// The statement.
        statement: Box<LoneRequest>,
    },
    /// Asks for the newest position of the group's primary. Answered with [`TunnelReply::Position`].
    Position {
        /// The group.
        group: GroupName,
        /// The member that is taken for the primary.
        member: MemberName,
        /// An answer of the primary that is no older will do.
        max_age: Duration,
        /// How long the primary may be waited for.
        wait: Duration,
    },
    /// Asks the home of a tenant for operations to be counted against its limit. Answered with
    /// [`TunnelReply::OperationsAdmitted`].
    BeginOperations {
        /// The tenant.
        tenant: TenantName,
        /// How many operations begin.
        operations: u64,
        /// Priority of their class; zero is served first.
        priority: u32,
        /// How long they may wait for the limit.
        wait: Duration,
    },
    /// Asks for a connection on a lease, a transaction begun on it and its first statement run: one round trip in
    /// place of three. The transaction is one that only reads where the statement's kind is a read. Answered with
    /// [`TunnelReply::Opened`] or [`TunnelReply::NotOpened`].
    Open {
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// On whose behalf.
        principal: Principal,
        /// Priority of the statement.
        priority: u32,
        /// How long it may wait for a connection.
        wait: Duration,
        /// How long the statement may take in all.
        limit: Duration,
        /// The first statement.
        statement: Box<LoneRequest>,
    },
    /// Operations that were counted did not run. Answered with [`TunnelReply::Returned`].
    ReturnOperations {
        /// The tenant.
        tenant: TenantName,
        /// What was counted, as the home admitted it.
        begun: AdmittedOperations,
    },
}

/// How a statement outside a transaction is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoneKind {
    /// Reads at any member that is as fresh as this.
    Read {
        /// What it must see.
        bound: ReadBound,
    },
    /// Reads inside a transaction of the product's own, which only the primary begins.
    ReadAtPrimary,
    /// Writes.
    Write,
}

impl LoneKind {
    /// Whether it only reads, and may therefore be run again.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        matches!(self, Self::Read { .. } | Self::ReadAtPrimary)
    }

    /// What a read at any member must see.
    #[must_use]
    pub const fn bound(&self) -> Option<ReadBound> {
        match self {
            Self::Read { bound } => Some(*bound),
            Self::ReadAtPrimary | Self::Write => None,
        }
    }
}

/// A statement outside a transaction, with all that a member's connection must be brought to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoneRequest {
    /// Id that the caller gave the statement.
    pub id: String,
    /// The caller's text.
    pub text: String,
    /// Arguments of a prepared statement, as they came.
    pub arguments: Option<String>,
    /// What was prepared, of a prepared statement.
    pub shape: Option<PreparedShape>,
    /// Values of the caller's session, to which the connection is brought first.
    pub session: SessionProfile,
    /// How it is run.
    pub kind: LoneKind,
}

/// Why a member refused, in its own words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRefusal {
    /// Code of the member's error.
    pub code: ErrorCode,
    /// Its text.
    pub text: String,
}

/// How a connection to a member failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunFailure {
    /// No answer came in time.
    TimedOut,
    /// The connection was lost.
    Lost,
}

/// Outcome of a statement that another gateway ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The member's whole answer.
    Answered {
        /// Its rows.
        rows: Vec<String>,
        /// Its signature, or why it failed.
        outcome: Result<Option<String>, MemberRefusal>,
        /// State and position of the member's session after it.
        ready: ReadyState,
    },
    /// The member refused what had to come before the statement, which was not sent.
    Refused(MemberRefusal),
    /// The statement was not sent.
    NotSent(RunFailure),
    /// It was sent and may have run.
    Unanswered(RunFailure),
}

/// Why no connection is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// None became free in time, or none is likely to.
    NoneFree {
        /// When one is likely to be.
        retry_after: Duration,
    },
    /// The member cannot be reached from there.
    Unreachable,
    /// The gateway does not serve the group, or holds no connection to the member.
    NotHeld,
    /// It knows no position that is young enough for the read.
    NoPosition,
}

/// From the gateway that holds connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// A connection is leased to the gateway that asked.
    Granted {
        /// What it knows of session values.
        profile: ConnectionProfile,
        /// The position that a transaction that only reads must see.
        position: Option<ReadPosition>,
        /// Age and position of the holder's newest answer of the group's primary: the age counts
        /// until the grant was made.
        newest: Option<(Duration, Position)>,
    },
    /// What was asked for is not given.
    Refused(TunnelRefusal),
    /// Bytes of the member, in the deployment's own wire; only on a lease.
    Bytes(Vec<u8>),
    /// The leased connection to the member is lost.
    Closed,
    /// Answer to [`TunnelRequest::Run`].
    Ran {
        /// Outcome of the statement.
        outcome: RunOutcome,
        /// The position that a read had to see.
        position: Option<ReadPosition>,
        /// Age and position of the holder's newest answer of the group's primary.
        newest: Option<(Duration, Position)>,
        /// How busy the member is.
        load: MemberLoadReport,
    },
    /// The request waits or is under way; sent again and again, so that a holder that is gone can be told.
    Working,
    /// Answer to [`TunnelRequest::Position`]: age and position of the holder's newest answer of the group's
    /// primary, or nothing when it has none.
    Position(Option<(Duration, Position)>),
    /// A transaction is open on a connection, which is leased.
    Opened {
        /// What the connection knows of session values.
        profile: ConnectionProfile,
        /// The position that a transaction that only reads must see.
        position: Option<ReadPosition>,
        /// Age and position of the holder's newest answer of the group's primary.
        newest: Option<(Duration, Position)>,
        /// Outcome of the first statement.
        outcome: RunOutcome,
    },
    /// The transaction could not be begun; the first statement was not sent, and there is no lease.
    NotOpened {
        /// Outcome of what came before it.
        outcome: RunOutcome,
        /// Age and position of the holder's newest answer of the group's primary.
        newest: Option<(Duration, Position)>,
    },
    /// Answer to [`TunnelRequest::BeginOperations`]: how many operations begin, or why none does.
    OperationsAdmitted(Result<AdmittedOperations, OverLimit>),
    /// Answer to [`TunnelRequest::ReturnOperations`]: they count no more.
    Returned,
}

/// How busy a member is, as a gateway sees it that holds connections to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoadReport {
    /// Time that the holder spent on the statement just run.
    pub spent: Duration,
    /// Mean time of a statement at the member, as the holder sees it.
    pub latency: Duration,
    /// Statements that wait at the holder, beside those that run, for each that it may run at once;
    /// in hundredths.
    pub waiting_percent: u32,
}
