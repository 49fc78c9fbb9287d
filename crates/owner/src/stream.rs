//! One stream: a transaction from its request to its final answer.

use crate::batch::{self, BatchFacts};
use crate::context::{Context, OpenCount};
use crate::exchange::{Exchange, Exit};
use crate::group::Group;
use crate::lease::Lease;
use crate::router::{Refusal, Router};
use crate::wire;
use corktack_core::position::Position;
use corktack_protocol::peer::{
    Batch, Failure, INITIAL_WINDOW_BYTES, NotRunReason, OpenRequest, OwnerMessage, ServedBy,
    StreamId, TransactionStatus,
};
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::mpsc;

/// SQLSTATE of a statement that was cancelled.
const QUERY_CANCELED: &str = "57014";
/// When to come back after a refusal that does not depend on the queue, in milliseconds.
const RETRY_AFTER_MS: u32 = 100;

/// What the edge sends on an open stream. The end of the channel means that the
/// caller is gone.
#[derive(Debug)]
pub(crate) enum StreamInput {
    Batch(Batch),
    Cancel,
    Window(u32),
}

/// What a stream reacts to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputEvent {
    /// A batch was added to [`Input::batches`].
    Batch,
    /// The caller asked to cancel.
    Cancel,
    /// The window grew.
    Window,
    /// The caller is gone.
    Gone,
}

/// The input side of a stream.
#[derive(Debug)]
pub(crate) struct Input {
    receiver: mpsc::UnboundedReceiver<StreamInput>,
    /// Batches that came and are not sent yet.
    pub batches: VecDeque<Batch>,
    /// Bytes of answers that may be sent; negative after a message larger than the rest.
    pub window: i64,
}

impl Input {
    /// The next event. Safe to cancel.
    pub async fn next(&mut self) -> InputEvent {
        match self.receiver.recv().await {
            Some(StreamInput::Batch(batch)) => {
                self.batches.push_back(batch);
                InputEvent::Batch
            }
            Some(StreamInput::Cancel) => InputEvent::Cancel,
            Some(StreamInput::Window(bytes)) => {
                self.window += i64::from(bytes);
                InputEvent::Window
            }
            None => InputEvent::Gone,
        }
    }
}

/// The output side of a stream; tells the link when the stream has ended.
#[derive(Debug)]
pub(crate) struct Outbound {
    stream: StreamId,
    link: mpsc::UnboundedSender<OwnerMessage>,
    ended: mpsc::UnboundedSender<StreamId>,
}

impl Outbound {
    pub fn new(
        stream: StreamId,
        link: mpsc::UnboundedSender<OwnerMessage>,
        ended: mpsc::UnboundedSender<StreamId>,
    ) -> Self {
        Self { stream, link, ended }
    }

    pub fn data(&self, messages: Vec<u8>) {
        self.send(OwnerMessage::Data { stream: self.stream, messages });
    }

    pub fn position(&self, position: Position) {
        self.send(OwnerMessage::Position { stream: self.stream, position });
    }

    pub fn ready(&self, status: TransactionStatus, served_by: ServedBy) {
        self.send(OwnerMessage::Ready { stream: self.stream, status, served_by });
    }

    pub fn failed(&self, failure: Failure) {
        self.send(OwnerMessage::Failed { stream: self.stream, failure });
    }

    fn send(&self, message: OwnerMessage) {
        // A link that is gone has no one to answer.
        let _ = self.link.send(message);
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        let _ = self.ended.send(self.stream);
    }
}

/// How the wait for a server connection ended.
enum Obtained {
    Lease(Box<Lease>),
    Refused(Refusal),
    Cancelled,
    Gone,
}

/// Serves one stream to its end.
pub(crate) async fn run(
    context: Arc<Context>,
    request: OpenRequest,
    receiver: mpsc::UnboundedReceiver<StreamInput>,
    outbound: Outbound,
    _open: OpenCount,
) {
    let window = i64::from(INITIAL_WINDOW_BYTES);
    let mut input = Input { receiver, batches: VecDeque::new(), window };
    let group = match find_group(&context, &request) {
        Ok(group) => group,
        Err(reason) => {
            context.metrics.refused(request.group.as_str(), reason);
            return outbound.failed(Failure::NotRun { reason, retry_after_ms: RETRY_AFTER_MS });
        }
    };
    let Ok(facts) = batch::facts(&request.batch) else {
        return refuse(&group, &outbound, Refusal::from(NotRunReason::BackEndRefused));
    };
    serve(&group, request, facts, &mut input, &outbound).await;
}

fn find_group(context: &Context, request: &OpenRequest) -> Result<Arc<Group>, NotRunReason> {
    if context.is_draining() {
        return Err(NotRunReason::Stopping);
    }
    if let Some(group) = context.group(&request.group) {
        return Ok(group);
    }
    let known = context.view.borrow().groups.contains_key(&request.group);
    Err(if known { NotRunReason::NotOwner } else { NotRunReason::UnknownGroup })
}

async fn serve(
    group: &Arc<Group>,
    request: OpenRequest,
    facts: BatchFacts,
    input: &mut Input,
    outbound: &Outbound,
) {
    group.with_state(|state| state.retry.request());
    let mut router = Router::new(Arc::clone(group), &request);
    let mut told = request.minimum;
    // The commit of a keyed write was sent in an earlier attempt.
    let mut unresolved = false;
    loop {
        let lease = match obtain(&mut router, input).await {
            Obtained::Lease(lease) => *lease,
            Obtained::Refused(_) | Obtained::Cancelled if unresolved => {
                return outbound.failed(Failure::Unknown);
            }
            Obtained::Refused(refusal) => return refuse(group, outbound, refusal),
            Obtained::Cancelled => return cancelled(outbound),
            Obtained::Gone => return,
        };
        if let Some(minimum) = router.minimum.filter(|_| told.is_none()) {
            outbound.position(minimum);
            told = Some(minimum);
        }
        let exchange =
            Exchange::new(group, lease, &request, router.minimum, facts, &mut *input, outbound);
        let cause = match exchange.run().await {
            Exit::Ended => return,
            Exit::Failed(failure) => return outbound.failed(failure),
            Exit::Retry(cause) => cause,
            Exit::Unresolved(cause) => {
                unresolved = true;
                cause
            }
        };
        match router.prepare_retry(cause).await {
            Ok(()) => {}
            Err(_) if unresolved => return outbound.failed(Failure::Unknown),
            Err(refusal) => return refuse(group, outbound, refusal),
        }
    }
}

async fn obtain(router: &mut Router, input: &mut Input) -> Obtained {
    let lease = router.obtain();
    tokio::pin!(lease);
    loop {
        tokio::select! {
            lease = &mut lease => {
                return match lease {
                    Ok(lease) => Obtained::Lease(Box::new(lease)),
                    Err(refusal) => Obtained::Refused(refusal),
                };
            }
            event = input.next() => match event {
                InputEvent::Cancel => return Obtained::Cancelled,
                InputEvent::Gone => return Obtained::Gone,
                InputEvent::Batch | InputEvent::Window => {}
            },
        }
    }
}

fn refuse(group: &Group, outbound: &Outbound, refusal: Refusal) {
    group.metrics.refused(group.name.as_str(), refusal.reason);
    let retry_after_ms = refusal
        .retry_after_ms
        .unwrap_or_else(|| group.with_state(|state| state.admission.retry_after_ms()));
    outbound.failed(Failure::NotRun { reason: refusal.reason, retry_after_ms });
}

/// A request cancelled before it was sent is answered as a cancelled statement.
fn cancelled(outbound: &Outbound) {
    let text = "canceling statement due to user request";
    match wire::error_response(QUERY_CANCELED, text) {
        Ok(message) => {
            outbound.data(message.to_vec());
            outbound.ready(TransactionStatus::Idle, ServedBy::Primary);
        }
        Err(error) => {
            log::warn!(error:? = error; "cancellation cannot be encoded");
            outbound.failed(Failure::TransactionLost);
        }
    }
}
