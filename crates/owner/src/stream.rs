//! One stream: a transaction from its request to its final answer.
//!
//! The module owns the attempts of a request: it obtains a lease by `router`, runs an `exchange` on it, and goes on
//! with what that asks for. Every stream ends with exactly one final answer, unless its caller is gone.

use crate::batch::{self, BatchFacts};
use crate::context::{Context, OpenCount};
use crate::decisions::Refusal;
use crate::exchange::{Exchange, Exit};
use crate::group::Group;
use crate::lease::Lease;
use crate::outbound::Outbound;
use crate::router::Router;
use crate::stream_input::{Input, InputEvent, StreamReceiver};
use crate::wire;
use corktack_protocol::peer::{Failure, NotRunReason, OpenRequest, ServedBy, TransactionStatus};
use std::sync::Arc;

/// SQLSTATE of a statement that was cancelled.
const QUERY_CANCELED: &str = "57014";
/// When to come back after a refusal that does not depend on the queue, in milliseconds. Chosen, not
/// measured: a lower one brings requests back before the next configuration is in force, a higher one keeps
/// them away after it is.
const RETRY_AFTER_MS: u32 = 100;

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
    receiver: StreamReceiver,
    outbound: Outbound,
    _open: OpenCount,
) {
    let mut input = Input::new(receiver);
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
    group.with_state(|state| state.retry.record_request());
    let mut router = Router::new(Arc::clone(group), &request);
    let mut reported = request.minimum;
    // The commit of a keyed write was sent in an earlier attempt.
    let mut unresolved = false;
    loop {
        let lease = match obtain(&mut router, input).await {
            Obtained::Lease(lease) => *lease,
            Obtained::Refused(refusal) => return end(group, outbound, refusal, unresolved),
            Obtained::Cancelled if unresolved => return outbound.failed(Failure::Unknown),
            Obtained::Cancelled => return cancelled(outbound),
            Obtained::Gone => return,
        };
        if let Some(minimum) = router.minimum.filter(|_| reported.is_none()) {
            outbound.position(minimum);
            reported = Some(minimum);
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
        if let Err(refusal) = router.prepare_retry(cause).await {
            return end(group, outbound, refusal, unresolved);
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

/// Ends a stream that is not tried again. A keyed write whose commit was sent may have run.
fn end(group: &Group, outbound: &Outbound, refusal: Refusal, unresolved: bool) {
    if unresolved {
        return outbound.failed(Failure::Unknown);
    }
    refuse(group, outbound, refusal);
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
