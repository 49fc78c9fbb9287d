//! One stream: a transaction from its request to its final answer.
//!
//! Each attempt obtains a lease from `router` and runs an `exchange` on it, whose result says whether another
//! attempt follows. Every stream ends with exactly one final answer, unless its caller is gone.

use crate::batch::{self, BatchProperties};
use crate::context::{OpenCount, OwnerContext};
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
/// Retry hint of a refusal that does not depend on the queue, in milliseconds. A lower value brings requests
/// back before the next configuration is in force; a higher one delays them after it is.
const DEFAULT_RETRY_AFTER_MS: u32 = 100;

/// How the wait for a server connection ended.
enum LeaseOutcome {
    Lease(Box<Lease>),
    Refused(Refusal),
    Cancelled,
    CallerGone,
}

/// Serves one stream from its request to its final answer.
pub(crate) async fn run(
    context: Arc<OwnerContext>,
    request: OpenRequest,
    receiver: StreamReceiver,
    outbound: Outbound,
    _open: OpenCount,
) {
    let mut input = Input::new(receiver);
    let group = match find_group(&context, &request) {
        Ok(group) => group,
        Err(reason) => {
            context.metrics.count_refusal(request.group.as_str(), reason);
            return outbound
                .send_failure(Failure::NotRun { reason, retry_after_ms: DEFAULT_RETRY_AFTER_MS });
        }
    };
    let Ok(properties) = batch::analyze(&request.batch) else {
        return refuse(&group, &outbound, Refusal::from(NotRunReason::BackEndRefused));
    };
    serve(&group, request, properties, &mut input, &outbound).await;
}

fn find_group(context: &OwnerContext, request: &OpenRequest) -> Result<Arc<Group>, NotRunReason> {
    if context.is_draining() {
        return Err(NotRunReason::Stopping);
    }
    if let Some(group) = context.group(&request.group) {
        return Ok(group);
    }
    let is_declared = context.view.borrow().groups.contains_key(&request.group);
    Err(if is_declared { NotRunReason::NotOwner } else { NotRunReason::UnknownGroup })
}

async fn serve(
    group: &Arc<Group>,
    request: OpenRequest,
    properties: BatchProperties,
    input: &mut Input,
    outbound: &Outbound,
) {
    group.with_state(|state| state.retry.record_request());
    let mut router = Router::new(Arc::clone(group), &request);
    let mut reported_position = request.minimum;
    // Set when an earlier attempt sent the commit of a keyed write.
    let mut commit_unresolved = false;
    loop {
        let lease = match obtain_lease(&mut router, input).await {
            LeaseOutcome::Lease(lease) => *lease,
            LeaseOutcome::Refused(refusal) => {
                return end_without_retry(group, outbound, refusal, commit_unresolved);
            }
            LeaseOutcome::Cancelled if commit_unresolved => {
                return outbound.send_failure(Failure::Unknown);
            }
            LeaseOutcome::Cancelled => return answer_cancelled(outbound),
            LeaseOutcome::CallerGone => return,
        };
        if let Some(minimum) = router.minimum.filter(|_| reported_position.is_none()) {
            outbound.send_position(minimum);
            reported_position = Some(minimum);
        }
        let exchange = Exchange::new(
            group,
            lease,
            &request,
            router.minimum,
            properties,
            &mut *input,
            outbound,
        );
        let cause = match exchange.run().await {
            Exit::Ended => return,
            Exit::Failed(failure) => return outbound.send_failure(failure),
            Exit::Retry(cause) => cause,
            Exit::Unresolved(cause) => {
                commit_unresolved = true;
                cause
            }
        };
        if let Err(refusal) = router.prepare_retry(cause).await {
            return end_without_retry(group, outbound, refusal, commit_unresolved);
        }
    }
}

async fn obtain_lease(router: &mut Router, input: &mut Input) -> LeaseOutcome {
    let lease = router.obtain_lease();
    tokio::pin!(lease);
    loop {
        tokio::select! {
            lease = &mut lease => {
                return match lease {
                    Ok(lease) => LeaseOutcome::Lease(Box::new(lease)),
                    Err(refusal) => LeaseOutcome::Refused(refusal),
                };
            }
            event = input.next_event() => match event {
                InputEvent::Cancel => return LeaseOutcome::Cancelled,
                InputEvent::CallerGone => return LeaseOutcome::CallerGone,
                InputEvent::Batch | InputEvent::Window => {}
            },
        }
    }
}

/// Ends a stream that is not retried. The outcome is unknown for a keyed write whose commit was sent.
fn end_without_retry(
    group: &Group,
    outbound: &Outbound,
    refusal: Refusal,
    commit_unresolved: bool,
) {
    if commit_unresolved {
        return outbound.send_failure(Failure::Unknown);
    }
    refuse(group, outbound, refusal);
}

fn refuse(group: &Group, outbound: &Outbound, refusal: Refusal) {
    group.metrics.count_refusal(group.name.as_str(), refusal.reason);
    let retry_after_ms = refusal
        .retry_after_ms
        .unwrap_or_else(|| group.with_state(|state| state.admission.retry_after_ms()));
    outbound.send_failure(Failure::NotRun { reason: refusal.reason, retry_after_ms });
}

/// Answers a request that was cancelled before it was sent as PostgreSQL answers a cancelled statement.
fn answer_cancelled(outbound: &Outbound) {
    let text = "canceling statement due to user request";
    match wire::error_response(QUERY_CANCELED, text) {
        Ok(message) => {
            outbound.send_data(message.to_vec());
            outbound.send_ready(TransactionStatus::Idle, ServedBy::Primary);
        }
        Err(error) => {
            log::warn!(error:? = error; "cancellation cannot be encoded");
            outbound.send_failure(Failure::TransactionLost);
        }
    }
}
