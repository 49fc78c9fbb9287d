//! Planned stops of the edge and of an owner.

use crate::support::owner::FakeOwner;
use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, OWNER, proxy_view, settings, view_with_owner};
use corktack_core::identity::ProxyName;
use corktack_edge::EdgeSettings;
use corktack_protocol::peer::{
    EdgeMessage, Failure, NotRunReason, OwnerMessage, StreamId, TransactionStatus,
};
use std::sync::Arc;
use std::time::Duration;

/// More callers than the retry budget of a group allows retries.
const CALLERS: usize = 80;

fn startup() -> Vec<u8> {
    wire::startup(&[("user", "clerk"), ("database", "cdr")])
}

async fn begin(owner: &mut FakeOwner, caller: &mut RawCaller) -> StreamId {
    caller.send(&wire::query("BEGIN")).await;
    let (stream, request) = owner.expect_open().await;
    owner.answer_batch(stream, &request.batch, "", TransactionStatus::Open);
    assert_eq!(caller.read_ready_status().await, 'T');
    stream
}

/// Waits for the error that asks the caller to reconnect, and for the end of the connection.
async fn expect_reconnect_error(caller: &mut RawCaller) {
    assert_eq!(caller.read_error_code().await, "57P01");
    assert_eq!(caller.read_to_end().await, "");
}

/// Makes the owner announce its stop, and waits until the edge has received the announcement.
async fn announce_owner_stop(fixture: &mut Fixture) {
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, request) = fixture.owner.expect_open().await;
    fixture.owner.send(OwnerMessage::Stopping);
    fixture.owner.answer_batch(stream, &request.batch, "", TransactionStatus::Idle);
    // The answer follows `Stopping` on the same connection, so the edge has processed both.
    caller.read_types_until_ready().await;
}

/// Makes another owner own the group; the view still lists the first owner.
fn hand_over(fixture: &Fixture, next: &FakeOwner) {
    let mut view = view_with_owner(Some(("owner-2", next.address)));
    let first = ProxyName::new(OWNER).expect("a valid name");
    view.proxies.insert(first, proxy_view(fixture.owner.address));
    fixture.view.send_replace(Arc::new(view));
}

async fn callers_with_a_query(fixture: &Fixture) -> Vec<RawCaller> {
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = RawCaller::start(fixture.edge.address()).await;
        caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
        callers.push(caller);
    }
    callers
}

async fn expect_all_answered(mut callers: Vec<RawCaller>) {
    for caller in &mut callers {
        assert_eq!(caller.read_types_until_ready().await, "TDCZ", "the caller saw no error");
    }
}

#[actix_rt::test]
async fn idle_callers_are_asked_to_reconnect() {
    let fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    fixture.edge.drain().await;
    expect_reconnect_error(&mut caller).await;
}

#[actix_rt::test]
async fn transaction_in_flight_is_finished_while_new_callers_are_refused() {
    let Fixture { mut owner, edge, view, .. } = Fixture::start().await;
    let address = edge.address();
    let mut busy = RawCaller::start(address).await;
    let mut idle = RawCaller::start(address).await;
    let opened = begin(&mut owner, &mut busy).await;
    let drained = actix_rt::spawn(edge.drain());
    expect_reconnect_error(&mut idle).await;
    let mut newcomer = RawCaller::connect(address).await;
    newcomer.send(&startup()).await;
    assert_eq!(newcomer.read_error_code().await, "57P03");
    assert_eq!(newcomer.read_to_end().await, "");
    busy.send(&[wire::query("INSERT INTO t VALUES (1)"), wire::query("COMMIT")].concat()).await;
    for status in [TransactionStatus::Open, TransactionStatus::Idle] {
        let (stream, batch) = owner.expect_batch().await;
        assert_eq!(stream, opened);
        owner.answer_batch(stream, &batch, "", status);
        assert_eq!(busy.read_types_until_ready().await, "TDCZ");
    }
    expect_reconnect_error(&mut busy).await;
    drained.await.expect("the drain ends");
    drop(view);
}

#[actix_rt::test]
async fn request_in_flight_is_answered_completely_and_can_be_cancelled() {
    let Fixture { mut owner, edge, view, .. } = Fixture::start().await;
    let address = edge.address();
    let (mut caller, cancel) = RawCaller::start_with_cancel(address).await;
    let mut idle = RawCaller::start(address).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, request) = owner.expect_open().await;
    let drained = actix_rt::spawn(edge.drain());
    expect_reconnect_error(&mut idle).await;
    let mut other = RawCaller::connect(address).await;
    other.send(&cancel).await;
    assert_eq!(other.read_to_end().await, "");
    assert_eq!(owner.next_message().await, EdgeMessage::Cancel { stream });
    owner.answer_batch(stream, &request.batch, "1", TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
    expect_reconnect_error(&mut caller).await;
    drained.await.expect("the drain ends");
    drop(view);
}

#[actix_rt::test]
async fn caller_that_has_not_started_its_session_is_refused() {
    let fixture = Fixture::start().await;
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    // The listener accepts in order, so this caller is served after the silent one was accepted.
    let mut idle = RawCaller::start(fixture.edge.address()).await;
    fixture.edge.drain().await;
    expect_reconnect_error(&mut idle).await;
    assert_eq!(caller.read_error_code().await, "57P03");
    assert_eq!(caller.read_to_end().await, "");
}

#[actix_rt::test]
async fn transaction_open_after_the_drain_timeout_is_rolled_back_and_reported() {
    let settings = EdgeSettings { drain_timeout: Duration::from_millis(50), ..settings() };
    let Fixture { mut owner, edge, view, .. } = Fixture::start_with_settings(settings).await;
    let mut caller = RawCaller::start(edge.address()).await;
    let stream = begin(&mut owner, &mut caller).await;
    edge.drain().await;
    expect_reconnect_error(&mut caller).await;
    assert_eq!(owner.next_message().await, EdgeMessage::Close { stream });
    drop(view);
}

#[actix_rt::test]
async fn request_running_after_the_drain_timeout_gets_an_unknown_outcome() {
    let settings = EdgeSettings { drain_timeout: Duration::from_millis(50), ..settings() };
    let Fixture { mut owner, edge, view, .. } = Fixture::start_with_settings(settings).await;
    let mut caller = RawCaller::start(edge.address()).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    owner.expect_open().await;
    edge.drain().await;
    assert_eq!(caller.read_error_code().await, "08007");
    expect_reconnect_error(&mut caller).await;
    drop(view);
}

#[actix_rt::test]
async fn stopping_owner_gets_no_new_requests_and_callers_see_no_error() {
    let mut fixture = Fixture::start().await;
    announce_owner_stop(&mut fixture).await;
    let callers = callers_with_a_query(&fixture).await;
    let mut next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    for _ in 0..CALLERS {
        next.serve_one_request("").await;
    }
    expect_all_answered(callers).await;
    assert!(fixture.owner.received_nothing_more(), "nothing went to the stopping owner");
}

#[actix_rt::test]
async fn requests_refused_by_a_stopping_owner_go_to_the_next_owner() {
    let mut fixture = Fixture::start().await;
    let callers = callers_with_a_query(&fixture).await;
    for _ in 0..CALLERS {
        let (stream, _) = fixture.owner.expect_open().await;
        let failure = Failure::NotRun { reason: NotRunReason::Stopping, retry_after_ms: 10 };
        fixture.owner.send_failure(stream, failure);
    }
    let mut next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    for _ in 0..CALLERS {
        next.serve_one_request("").await;
    }
    expect_all_answered(callers).await;
    assert!(fixture.owner.received_nothing_more(), "the stopping owner was asked once each");
}

#[actix_rt::test]
async fn requests_sent_before_the_owner_knows_its_role_are_retried() {
    let mut fixture = Fixture::start().await;
    let callers = callers_with_a_query(&fixture).await;
    for _ in 0..CALLERS {
        let (stream, _) = fixture.owner.expect_open().await;
        let failure = Failure::NotRun { reason: NotRunReason::NotOwner, retry_after_ms: 10 };
        fixture.owner.send_failure(stream, failure);
    }
    for _ in 0..CALLERS {
        fixture.owner.serve_one_request("").await;
    }
    expect_all_answered(callers).await;
}

#[actix_rt::test]
async fn transaction_open_on_a_stopping_owner_finishes_on_it() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let opened = begin(&mut fixture.owner, &mut caller).await;
    announce_owner_stop(&mut fixture).await;
    let next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    caller.send(&wire::query("COMMIT")).await;
    let (stream, batch) = fixture.owner.expect_batch().await;
    assert_eq!(stream, opened);
    fixture.owner.answer_batch(stream, &batch, "", TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn owner_that_stops_before_its_handshake_hands_over() {
    let mut fixture = Fixture::start().await;
    let mut stopping = FakeOwner::start_with("owner-1", Some(OwnerMessage::Stopping)).await;
    fixture.view.send_replace(Arc::new(view_with_owner(Some((OWNER, stopping.address)))));
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    let (stream, _) = stopping.expect_open().await;
    let failure = Failure::NotRun { reason: NotRunReason::Stopping, retry_after_ms: 10 };
    stopping.send_failure(stream, failure);
    let next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    fixture.owner = next;
    fixture.owner.serve_one_request("").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}
