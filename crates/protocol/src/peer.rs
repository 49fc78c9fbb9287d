//! Messages between an edge proxy, which has the caller's connection, and an owner proxy, which has the
//! group's server connections and its wait queue.
//!
//! Each pair of edge and owner shares one TCP connection that carries many streams. A stream is one
//! transaction, from its first batch of messages to the answer after which the
//! back end is idle again. Stream ids rise and are never reused inside a
//! connection, so an answer that arrives late matches no stream and is dropped.
//!
//! Course of a stream: the edge sends [`EdgeMessage::Open`] with the first batch; the owner answers with
//! [`OwnerMessage::Data`] and [`OwnerMessage::Position`] and ends the answer with [`OwnerMessage::Ready`].
//! While `Ready` reports an open transaction, the edge may send [`EdgeMessage::Batch`]. The stream ends
//! with a `Ready` whose status is idle, with [`OwnerMessage::Failed`], or with the edge's
//! [`EdgeMessage::Close`].

use corktack_core::identity::{ClassName, GroupName, Incarnation, ProxyName};
use corktack_core::position::Position;
use serde::{Deserialize, Serialize};

/// Id of a stream inside one connection, assigned by the edge in rising order and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

/// Bytes of answers that an owner may send on a stream before the edge grants more with
/// [`EdgeMessage::Window`]. With a smaller window, long answers over a slow link wait for grants; with a
/// larger one, each caller that does not read costs both proxies more memory.
pub const INITIAL_WINDOW_BYTES: u32 = 256 * 1024;

/// What a transaction may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// The transaction certainly only reads; a replica may serve it.
    Read,
    /// The transaction may write; only the primary serves it.
    Write,
}

/// A prepared statement that a batch relies on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Name on server connections. It is derived from a hash of the text and types, so
    /// that equal statements of different callers share one prepared statement.
    pub name: String,
    /// The statement's text, as the caller wrote it.
    pub query: String,
    /// PostgreSQL type ids of the parameters that the caller declared; zero for a parameter of unspecified
    /// type.
    pub parameter_types: Vec<u32>,
}

/// Messages of the caller up to and including one `Sync`, one simple query, or one
/// `Flush`. A `Flush` leaves the batch unfinished: its transaction is not committed
/// and the stream continues with further messages up to a `Sync` or a simple query.
/// Only a stream opened for [`Access::Write`] and without an idempotency key may contain a `Flush`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Prepared statements that must exist on the server connection first.
    pub prepared: Vec<PreparedStatement>,
    /// Encoded PostgreSQL front-end messages, which refer to statements by the names in `prepared`.
    pub messages: Vec<u8>,
}

/// Opens a stream: asks for a server connection for one transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// The group whose database the caller named in its startup message.
    pub group: GroupName,
    /// The caller's priority class, according to the bindings in force at the edge.
    pub class: ClassName,
    /// Whether a replica may serve the transaction.
    pub access: Access,
    /// The session's position in this group; if `None`, the owner runs a barrier first.
    pub minimum: Option<Position>,
    /// Longest wait before the transaction starts, in milliseconds. The group's own limit applies where this
    /// value is zero or greater than that limit.
    pub timeout_ms: u32,
    /// Idempotency key of the caller, if any: the write runs at most once under this key.
    pub idempotency_key: Option<String>,
    /// The first batch of the transaction.
    pub batch: Batch,
}

/// Message from an edge to an owner. Several streams may be open at once, and their messages interleave in
/// any order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EdgeMessage {
    /// First message of a connection, and never sent later.
    Hello {
        /// The proxy whose edge this is.
        proxy: ProxyName,
        /// Incarnation of that proxy.
        incarnation: Incarnation,
    },
    /// Opens a stream.
    Open {
        /// A new id, greater than all earlier ids of the connection.
        stream: StreamId,
        /// The transaction to start and its first batch.
        request: Box<OpenRequest>,
    },
    /// A further batch of the transaction; sent only after an [`OwnerMessage::Ready`] that left the stream
    /// open.
    Batch {
        /// The open stream.
        stream: StreamId,
        /// The batch's messages and the prepared statements that they need.
        batch: Batch,
    },
    /// The caller asked to cancel the running statement. The stream continues until its answer.
    Cancel {
        /// The stream that the message belongs to.
        stream: StreamId,
    },
    /// The caller disconnected: the owner rolls back and sends nothing more on the stream.
    Close {
        /// The stream that the message belongs to.
        stream: StreamId,
    },
    /// The caller has read this many more bytes of answers. Sent as the caller reads, not for each answer.
    Window {
        /// The stream that the message belongs to.
        stream: StreamId,
        /// Bytes that the owner may send in addition; the window never exceeds [`INITIAL_WINDOW_BYTES`].
        bytes: u32,
    },
}

/// State of a transaction after a batch, as in `ReadyForQuery`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionStatus {
    /// No transaction is open: the stream has ended.
    Idle,
    /// A transaction is open: the stream continues.
    Open,
    /// The transaction failed and waits for its rollback: the stream continues.
    Failed,
}

/// Role of the member that served a transaction; the edge counts reads by this role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServedBy {
    /// The group's primary.
    Primary,
    /// A replica of the group.
    Replica,
}

/// Why a request was refused before it ran. The variant names appear in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The wait queue is full.
    QueueFull,
    /// No slot became free in time.
    QueueTimeout,
    /// The group has no primary, or no member that may serve the request.
    NoBackEnd,
    /// The refusing proxy does not own the group.
    NotOwner,
    /// The refusing proxy's configuration has no such group.
    UnknownGroup,
    /// The refusing proxy is stopping.
    Stopping,
    /// The edge could not reach the owner. Only an edge produces this reason; an owner never sends it.
    OwnerUnreachable,
    /// The back end reported that it did not run the statement.
    BackEndRefused,
    /// The retry budget is used up.
    RetryBudget,
}

/// The final answer to a request that got no answer from the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The request did not run; a retry is safe.
    NotRun {
        /// Why the request did not run.
        reason: NotRunReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The request was sent to a back end and no answer arrived: the request may or may not have run.
    Unknown,
    /// The transaction is lost, or only read; none of its changes are committed.
    TransactionLost,
}

/// Message from an owner to an edge. Messages of one stream arrive in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// Name of the owner's proxy; only [`OwnerMessage::Stopping`] may precede this message. An edge sends no
    /// request before this message confirms that the right process answers.
    Hello {
        /// The proxy whose owner this is.
        proxy: ProxyName,
        /// Incarnation of that proxy.
        incarnation: Incarnation,
    },
    /// Whole back-end messages for the caller, in order, without `ReadyForQuery`
    /// and without answers to the owner's own statements.
    Data {
        /// The stream that the message belongs to.
        stream: StreamId,
        /// Encoded PostgreSQL back-end messages.
        messages: Vec<u8>,
    },
    /// The session's new position. Sent before the `CommandComplete` to which the position belongs.
    Position {
        /// The stream that the message belongs to.
        stream: StreamId,
        /// The least position that the session's next read must see.
        position: Position,
    },
    /// The end of the answer to one batch: the back end is ready, or everything up to
    /// a `Flush` is answered, for which the status is [`TransactionStatus::Open`].
    Ready {
        /// The stream that the message belongs to.
        stream: StreamId,
        /// [`TransactionStatus::Idle`] ends the stream.
        status: TransactionStatus,
        /// Role of the member that served the batch.
        served_by: ServedBy,
    },
    /// The stream ended without an answer from the back end.
    Failed {
        /// The stream that the message belongs to.
        stream: StreamId,
        /// The final answer.
        failure: Failure,
    },
    /// The owner is stopping: the edge opens no further streams on this connection, and open ones finish.
    /// Sent once per connection.
    Stopping,
}
