//! State of a transaction on its lease, and the results of a batch and of a transaction.

use super::keyed_write::KeyedWrite;
use super::unfinished::Unfinished;
use crate::batch::BatchProperties;
use crate::connection::ConnectionError;
use crate::decisions::RetryCause;
use crate::group::Group;
use crate::lease::Lease;
use crate::outbound::Outbound;
use crate::stream_input::Input;
use bytes::BytesMut;
use corktack_core::position::Position;
use corktack_protocol::peer::{Failure, OpenRequest, TransactionStatus};
use std::sync::Arc;

/// Result of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The caller has its complete answer, or is gone.
    Ended,
    /// The stream's final answer is a failure.
    Failed(Failure),
    /// The request can be retried: no statement ran, or the request only read and no answer was forwarded.
    Retry(RetryCause),
    /// The commit of a keyed write was sent; only a repeat shows its outcome.
    Unresolved(RetryCause),
}

/// Outcome of the batch in flight.
pub(super) enum BatchOutcome {
    /// The answer is complete and leaves the transaction in this status.
    Ready(TransactionStatus),
    /// The connection is lost, or must be closed.
    Lost(ConnectionError),
    /// The caller is gone.
    CallerGone,
    /// The batch must be retried, at this or another member.
    Retry(RetryCause),
    /// The edge violated the protocol.
    Violation,
    /// The transaction ended with this failure.
    Failed(Failure),
}

/// One transaction on one lease.
pub(crate) struct Exchange<'stream> {
    pub(super) group: &'stream Arc<Group>,
    pub(super) lease: Lease,
    pub(super) request: &'stream OpenRequest,
    pub(super) minimum: Option<Position>,
    pub(super) input: &'stream mut Input,
    pub(super) outbound: &'stream Outbound,
    /// Properties of the batch in flight.
    pub(super) properties: BatchProperties,
    /// Transaction status before the batch in flight.
    pub(super) status: TransactionStatus,
    /// Messages of the answer that are not forwarded yet.
    pub(super) buffered: BytesMut,
    /// Whether a part of the answers was forwarded.
    pub(super) forwarded: bool,
    /// Whether a statement of the stream returned a row or completed.
    pub(super) completed: bool,
    /// Reason why the member refused the request before any statement ran.
    pub(super) refusal: Option<RetryCause>,
    /// Position that the member reported with the batch in flight.
    pub(super) reported_position: Option<Position>,
    /// Whether the answer to the batch in flight contains an error.
    pub(super) failed: bool,
    /// Whether a cancel was sent. The cancel may take effect late, so the connection is not reused.
    pub(super) cancelled: bool,
    /// State of the write if it has an idempotency key.
    pub(super) keyed: Option<KeyedWrite>,
    /// State of a batch between its first Flush and its Sync.
    pub(super) unfinished: Unfinished,
}

impl<'stream> Exchange<'stream> {
    /// Creates the exchange of a transaction of which no batch is sent yet.
    pub fn new(
        group: &'stream Arc<Group>,
        lease: Lease,
        request: &'stream OpenRequest,
        minimum: Option<Position>,
        properties: BatchProperties,
        input: &'stream mut Input,
        outbound: &'stream Outbound,
    ) -> Self {
        Self {
            group,
            lease,
            request,
            minimum,
            input,
            outbound,
            properties,
            status: TransactionStatus::Idle,
            buffered: BytesMut::new(),
            forwarded: false,
            completed: false,
            refusal: None,
            reported_position: None,
            failed: false,
            cancelled: false,
            keyed: KeyedWrite::from_request(request),
            unfinished: Unfinished::default(),
        }
    }
}
