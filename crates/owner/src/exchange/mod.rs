//! The transaction itself: batches out on a leased connection, answers back.
//!
//! The module owns the lease and what is known of the batch in flight; it relies on `batch` for what a text may do, on
//! `connection` for the wire, and on `decisions` for what a lost connection or a stale answer comes to. `replies`
//! takes in what the back end says, `ending` closes a batch and the transaction, `unfinished` keeps the books of a
//! flushed batch; `keyed` wraps a write under an idempotency key with `claim` and the owner's `own` statements.

mod claim;
mod ending;
mod keyed;
mod own;
mod replies;
mod unfinished;

use crate::batch::{self, BatchFacts};
use crate::connection::{CancelTarget, ConnectionError};
use crate::decisions::RetryCause;
use crate::group::Group;
use crate::lease::Lease;
use crate::outbound::Outbound;
use crate::stream_input::{Input, InputEvent};
use bytes::BytesMut;
use corktack_core::position::Position;
use corktack_protocol::peer::{Access, Batch, Failure, OpenRequest, TransactionStatus};
use keyed::KeyedWrite;
use std::sync::Arc;
use unfinished::Unfinished;

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
enum Step {
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
    group: &'stream Arc<Group>,
    lease: Lease,
    request: &'stream OpenRequest,
    minimum: Option<Position>,
    input: &'stream mut Input,
    outbound: &'stream Outbound,
    /// What the batch in flight may do.
    facts: BatchFacts,
    /// Status before the batch in flight.
    status: TransactionStatus,
    /// Answers not forwarded yet.
    held: BytesMut,
    /// Something of the answer was forwarded.
    forwarded: bool,
    /// A statement of the stream completed.
    completed: bool,
    /// SQLSTATE of a refusal that came before anything ran.
    refusal: Option<RetryCause>,
    /// Position reported with the batch in flight.
    observed: Option<Position>,
    /// An error was part of the answer to the batch in flight.
    failed: bool,
    /// A cancel was sent; it may hit the connection late, which is thus not reused.
    cancelled: bool,
    /// The write runs under an idempotency key.
    keyed: Option<KeyedWrite>,
    /// What a batch between its first Flush and its Sync has done.
    unfinished: Unfinished,
}

impl<'stream> Exchange<'stream> {
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

    /// Runs the transaction to its end.
    pub async fn run(mut self) -> Exit {
        let mut step = self.run_first_batch().await;
        loop {
            match step {
                Step::Ready(TransactionStatus::Idle) => return self.finish().await,
                Step::Ready(status) => {
                    self.answer_ready(status);
                    step = self.next_batch().await;
                }
                Step::Lost(error) => return self.lost(&error),
                Step::Gone => {
                    self.abandon().await;
                    return Exit::Ended;
                }
                Step::Retry(cause) => return self.retried(cause),
                Step::Failed(failure) => return Exit::Failed(failure),
                Step::Violation => return Exit::Failed(self.failure_of_violation()),
            }
        }
    }

    async fn run_first_batch(&mut self) -> Step {
        let batch = &self.request.batch;
        if self.breaks_flush_rules() {
            return Step::Violation;
        }
        match self.keyed {
            Some(_) => self.open_keyed(batch).await,
            None => self.run_batch(batch).await,
        }
    }

    async fn next_batch(&mut self) -> Step {
        loop {
            if let Some(batch) = self.input.take_batch() {
                let Ok(facts) = batch::facts(&batch) else {
                    return Step::Violation;
                };
                self.facts = facts;
                if self.breaks_flush_rules() {
                    return Step::Violation;
                }
                return match self.keyed {
                    Some(_) => self.continue_keyed(&batch).await,
                    None => self.run_batch(&batch).await,
                };
            }
            let (replaced, silent) = (self.lease.replaced(), self.lease.silent());
            let Ok(connection) = self.lease.connection() else {
                return Step::Lost(ConnectionError::Closed);
            };
            connection.sent_bytes = 0;
            // Anything that arrives now answers nothing, and is found out here.
            let lost = connection.progress(true);
            tokio::select! {
                () = replaced => return Step::Lost(ConnectionError::Closed),
                () = silent => return Step::Lost(ConnectionError::TimedOut),
                event = self.input.next() => if event == InputEvent::Gone {
                    return Step::Gone;
                },
                result = lost => if let Err(error) = result {
                    return Step::Lost(error);
                },
            }
            if let Err(error) = self.read_replies() {
                return Step::Lost(error);
            }
        }
    }

    fn breaks_flush_rules(&self) -> bool {
        self.facts.flushes && !unfinished::may_flush(self.request)
    }

    async fn run_batch(&mut self, batch: &Batch) -> Step {
        self.observed = None;
        self.failed = false;
        let Ok(connection) = self.lease.connection() else {
            return Step::Lost(ConnectionError::Closed);
        };
        connection.sent_bytes = 0;
        connection.session_changed |= self.facts.may_change_session;
        self.unfinished.sent(&self.facts);
        if batch::queue(batch, &mut connection.tracker, &mut connection.output).is_err() {
            return Step::Violation;
        }
        loop {
            match self.read_replies() {
                Ok(Some(status)) => return self.end_of_batch(status),
                Ok(None) => {}
                Err(error) => return Step::Lost(error),
            }
            if let Some(step) = self.wait().await {
                return step;
            }
        }
    }

    /// Waits for input of either side while a batch is in flight.
    async fn wait(&mut self) -> Option<Step> {
        let may_read = self.input.window > 0;
        let may_retry = self.request.access == Access::Read && !self.forwarded;
        let (replaced, silent) = (self.lease.replaced(), self.lease.silent());
        let unreachable = self.lease.unreachable();
        let Ok(connection) = self.lease.connection() else {
            return Some(Step::Lost(ConnectionError::Closed));
        };
        tokio::select! {
            result = connection.progress(may_read) => result.err().map(Step::Lost),
            () = replaced => Some(Step::Lost(ConnectionError::Closed)),
            () = silent => Some(Step::Lost(ConnectionError::TimedOut)),
            () = unreachable, if may_retry => Some(Step::Lost(ConnectionError::TimedOut)),
            event = self.input.next() => match event {
                InputEvent::Gone => Some(Step::Gone),
                InputEvent::Cancel => {
                    self.send_cancel();
                    None
                }
                InputEvent::Batch | InputEvent::Window => None,
            },
        }
    }

    fn send_cancel(&mut self) {
        self.cancelled = true;
        let target = self.lease.connection().ok().and_then(|connection| connection.cancel_target());
        if let Some(target) = target {
            actix_rt::spawn(deliver_cancel(target));
        }
    }
}

async fn deliver_cancel(target: CancelTarget) {
    if let Err(error) = target.send().await {
        log::debug!(error:? = error; "cancel request not delivered");
    }
}
