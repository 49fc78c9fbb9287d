//! A write that may have run is reported as unknown, whatever the outcome of its later attempts.

use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, OWNER, group, settings, view_with_owner};
use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_edge::EdgeSettings;
use corktack_protocol::peer::{Failure, NotRunReason};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// What ends the wait for another attempt.
#[derive(Clone, Copy, Debug)]
enum WaitEnd {
    Refused,
    Cancelled,
    Timeout,
    Drained,
    /// Another group serves the database now, and has no record of the idempotency key.
    Moved,
}

#[rstest]
#[actix_rt::test]
async fn write_that_may_have_run_is_never_reported_as_not_run(
    #[values(
        WaitEnd::Refused,
        WaitEnd::Cancelled,
        WaitEnd::Timeout,
        WaitEnd::Drained,
        WaitEnd::Moved
    )]
    end: WaitEnd,
) {
    let short_timeout =
        Duration::from_millis(if matches!(end, WaitEnd::Timeout) { 300 } else { 60_000 });
    let limits = EdgeSettings {
        request_timeout: short_timeout,
        drain_timeout: Duration::ZERO,
        ..settings()
    };
    let Fixture { mut owner, edge, view, .. } = Fixture::start_with_settings(limits).await;
    let address = edge.address();
    let (mut caller, cancel) = RawCaller::start_with_cancel(address).await;
    caller.send(&wire::query("SET corktack.idempotency_key = 'order-7'")).await;
    caller.read_types_until_ready().await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    owner.expect_open().await;
    view.send_replace(Arc::new(match end {
        WaitEnd::Refused => view_with_owner(Some((OWNER, owner.address))),
        WaitEnd::Moved => moved_view(owner.address),
        _ => view_with_owner(None),
    }));
    owner.close_connection();
    match end {
        WaitEnd::Refused => {
            let (stream, _) = owner.expect_open().await;
            owner.send_failure(
                stream,
                Failure::NotRun { reason: NotRunReason::QueueFull, retry_after_ms: 40 },
            );
        }
        WaitEnd::Drained => edge.drain().await,
        WaitEnd::Cancelled | WaitEnd::Timeout | WaitEnd::Moved => {}
    }
    // A cancel request before the wait begins has no effect, so the caller repeats it.
    let mut code = std::pin::pin!(caller.read_error_code());
    let code = loop {
        let cancelled = async {
            let mut other = RawCaller::connect(address).await;
            other.send(&cancel).await;
            other.read_to_end().await
        };
        tokio::select! {
            biased;
            code = &mut code => break code,
            _ = cancelled, if matches!(end, WaitEnd::Cancelled) => {}
        }
    };
    assert_eq!(code, "08007");
    if matches!(end, WaitEnd::Moved) {
        assert!(owner.received_nothing_more(), "nothing was sent once more");
    }
}

/// Returns a view in which another group of the same owner serves the database.
fn moved_view(owner: std::net::SocketAddr) -> View {
    let mut view = view_with_owner(Some((OWNER, owner)));
    let moved = view.groups.remove(&group()).expect("the group is there");
    view.groups.insert(GroupName::new("moved").expect("a valid name"), moved);
    view
}
