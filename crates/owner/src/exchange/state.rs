//! What is known of a transaction on its lease, and how it may end.

use super::keyed_write::KeyedWrite;
use super::unfinished::Unfinished;
use crate::batch::BatchFacts;
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

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The caller has its whole answer, or is gone.
    Ended,
    /// The stream's final answer is a failure.
    Failed(Failure),
    /// Nothing ran, or it only read and nothing was forwarded.
    Retry(RetryCause),
    /// The commit of a keyed write was sent; only a repeat tells its outcome.
    Unresolved(RetryCause),
}

/// What happened to the batch in flight.
pub(super) enum Step {
    /// Its answer is complete; this is the status after it.
    Ready(TransactionStatus),
    /// The connection is lost, or must be given up.
    Lost(ConnectionError),
    /// The caller is gone.
    Gone,
    /// The batch must be tried at another member, or again at this one.
    Retry(RetryCause),
    /// The edge broke the rules.
    Violation,
    /// The outcome is known to be this failure.
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
    /// What the batch in flight may do.
    pub(super) facts: BatchFacts,
    /// Status before the batch in flight.
    pub(super) status: TransactionStatus,
    /// Answers not forwarded yet.
    pub(super) held: BytesMut,
    /// Something of the answer was forwarded.
    pub(super) forwarded: bool,
    /// A statement of the stream completed.
    pub(super) completed: bool,
    /// Why the member refused the request before anything ran.
    pub(super) refusal: Option<RetryCause>,
    /// Position reported with the batch in flight.
    pub(super) observed: Option<Position>,
    /// An error was part of the answer to the batch in flight.
    pub(super) failed: bool,
    /// A cancel was sent; it may hit the connection late, which is thus not reused.
    pub(super) cancelled: bool,
    /// The write runs under an idempotency key.
    pub(super) keyed: Option<KeyedWrite>,
    /// What a batch between its first Flush and its Sync has done.
    pub(super) unfinished: Unfinished,
}

impl<'stream> Exchange<'stream> {
    /// A transaction of which nothing is sent yet.
    pub fn new(
        group: &'stream Arc<Group>,
        lease: Lease,
        request: &'stream OpenRequest,
        minimum: Option<Position>,
        facts: BatchFacts,
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
            facts,
            status: TransactionStatus::Idle,
            held: BytesMut::new(),
            forwarded: false,
            completed: false,
            refusal: None,
            observed: None,
            failed: false,
            cancelled: false,
            keyed: KeyedWrite::of(request),
            unfinished: Unfinished::default(),
        }
    }
}
