//! A write that may have run stays one, whatever becomes of its later tries.

use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, OWNER, group, settings, view_with_owner};
use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_edge::EdgeSettings;
use corktack_protocol::peer::{Failure, NotRunReason};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// What ends the wait for another try.
#[derive(Clone, Copy, Debug)]
enum End {
    Refused,
    Cancelled,
    Timeout,
    Drained,
    /// The database is another group's now, which does not know the key.
    Moved,
}

#[rstest]
#[actix_rt::test]
async fn write_that_may_have_run_is_never_called_not_run(
    #[values(End::Refused, End::Cancelled, End::Timeout, End::Drained, End::Moved)] end: End,
) {
    let short = Duration::from_millis(if matches!(end, End::Timeout) { 300 } else { 60_000 });
    let limits =
        EdgeSettings { request_timeout: short, drain_timeout: Duration::ZERO, ..settings() };
    let Fixture { mut owner, edge, view, .. } = Fixture::with(limits).await;
    let address = edge.address();
    let (mut caller, cancel) = RawCaller::start_with_cancel(address).await;
    caller.send(&wire::query("SET corktack.idempotency_key = 'order-7'")).await;
    caller.read_until_ready().await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    owner.open().await;
    view.send_replace(Arc::new(match end {
        End::Refused => view_with_owner(Some((OWNER, owner.address))),
        End::Moved => moved_view(owner.address),
        _ => view_with_owner(None),
    }));
    owner.cut();
    match end {
        End::Refused => {
            let (stream, _) = owner.open().await;
            owner.fail(
                stream,
                Failure::NotRun { reason: NotRunReason::QueueFull, retry_after_ms: 40 },
            );
        }
        End::Drained => edge.drain().await,
        End::Cancelled | End::Timeout | End::Moved => {}
    }
    // A cancel may come before the wait, which then goes on, so it is asked for again.
    let mut code = std::pin::pin!(caller.error_code());
    let code = loop {
        let cancelled = async {
            let mut other = RawCaller::connect(address).await;
            other.send(&cancel).await;
            other.read_to_end().await
        };
        tokio::select! {
            biased;
            code = &mut code => break code,
            _ = cancelled, if matches!(end, End::Cancelled) => {}
        }
    };
    assert_eq!(code, "08007");
    if matches!(end, End::Moved) {
        assert!(owner.nothing_more(), "nothing was sent once more");
    }
}

/// The database belongs to another group of the same owner.
fn moved_view(owner: std::net::SocketAddr) -> View {
    let mut view = view_with_owner(Some((OWNER, owner)));
    let moved = view.groups.remove(&group()).expect("the group is there");
    view.groups.insert(GroupName::new("moved").expect("a valid name"), moved);
    view
}
