//! Planned stops: of the edge, and of an owner.

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

/// More than the retries that an arbiter has for a group.
const CALLERS: usize = 80;

fn startup() -> Vec<u8> {
    wire::startup(&[("user", "clerk"), ("database", "cdr")])
}

async fn begin(owner: &mut FakeOwner, caller: &mut RawCaller) -> StreamId {
    caller.send(&wire::query("BEGIN")).await;
    let (stream, request) = owner.open().await;
    owner.answer(stream, &request.batch, "", TransactionStatus::Open);
    assert_eq!(caller.ready().await, 'T');
    stream
}

/// Waits until the caller is told to reconnect and the connection ends.
async fn told_to_reconnect(caller: &mut RawCaller) {
    assert_eq!(caller.error_code().await, "57P01");
    assert_eq!(caller.read_to_end().await, "");
}

/// Sends the caller into an owner that has said that it stops.
async fn stop_owner(fixture: &mut Fixture) {
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, request) = fixture.owner.open().await;
    fixture.owner.send(OwnerMessage::Stopping);
    fixture.owner.answer(stream, &request.batch, "", TransactionStatus::Idle);
    // The answer came after `Stopping` on the same connection.
    caller.read_until_ready().await;
}

/// Hands the group to another owner; the first one stays known.
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

async fn all_are_answered(mut callers: Vec<RawCaller>) {
    for caller in &mut callers {
        assert_eq!(caller.read_until_ready().await, "TDCZ", "the caller saw nothing of it");
    }
}

#[actix_rt::test]
async fn idle_callers_are_told_to_reconnect() {
    let fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    fixture.edge.drain().await;
    told_to_reconnect(&mut caller).await;
}

#[actix_rt::test]
async fn transaction_in_flight_is_finished_while_new_callers_are_refused() {
    let Fixture { mut owner, edge, view, .. } = Fixture::start().await;
    let address = edge.address();
    let mut busy = RawCaller::start(address).await;
    let mut idle = RawCaller::start(address).await;
    let opened = begin(&mut owner, &mut busy).await;
    let drained = actix_rt::spawn(edge.drain());
    told_to_reconnect(&mut idle).await;
    let mut newcomer = RawCaller::connect(address).await;
    newcomer.send(&startup()).await;
    assert_eq!(newcomer.error_code().await, "57P03");
    assert_eq!(newcomer.read_to_end().await, "");
    busy.send(&[wire::query("INSERT INTO t VALUES (1)"), wire::query("COMMIT")].concat()).await;
    for status in [TransactionStatus::Open, TransactionStatus::Idle] {
        let (stream, batch) = owner.batch().await;
        assert_eq!(stream, opened);
        owner.answer(stream, &batch, "", status);
        assert_eq!(busy.read_until_ready().await, "TDCZ");
    }
    told_to_reconnect(&mut busy).await;
    drained.await.expect("the drain ends");
    drop(view);
}

#[actix_rt::test]
async fn request_in_flight_is_answered_whole_and_can_be_cancelled_meanwhile() {
    let Fixture { mut owner, edge, view, .. } = Fixture::start().await;
    let address = edge.address();
    let (mut caller, cancel) = RawCaller::start_with_cancel(address).await;
    let mut idle = RawCaller::start(address).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, request) = owner.open().await;
    let drained = actix_rt::spawn(edge.drain());
    told_to_reconnect(&mut idle).await;
    let mut other = RawCaller::connect(address).await;
    other.send(&cancel).await;
    assert_eq!(other.read_to_end().await, "");
    assert_eq!(owner.next().await, EdgeMessage::Cancel { stream });
    owner.answer(stream, &request.batch, "1", TransactionStatus::Idle);
    assert_eq!(caller.read_until_ready().await, "TDCZ");
    told_to_reconnect(&mut caller).await;
    drained.await.expect("the drain ends");
    drop(view);
}

#[actix_rt::test]
async fn caller_that_has_not_started_its_session_is_refused() {
    let fixture = Fixture::start().await;
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    // The listener's queue is in order: this one is served after the silent one.
    let mut idle = RawCaller::start(fixture.edge.address()).await;
    fixture.edge.drain().await;
    told_to_reconnect(&mut idle).await;
    assert_eq!(caller.error_code().await, "57P03");
    assert_eq!(caller.read_to_end().await, "");
}

#[actix_rt::test]
async fn transaction_open_after_the_drain_timeout_is_rolled_back_and_told() {
    let settings = EdgeSettings { drain_timeout: Duration::from_millis(50), ..settings() };
    let Fixture { mut owner, edge, view, .. } = Fixture::with(settings).await;
    let mut caller = RawCaller::start(edge.address()).await;
    let stream = begin(&mut owner, &mut caller).await;
    edge.drain().await;
    told_to_reconnect(&mut caller).await;
    assert_eq!(owner.next().await, EdgeMessage::Close { stream });
    drop(view);
}

#[actix_rt::test]
async fn request_running_after_the_drain_timeout_is_told_its_outcome() {
    let settings = EdgeSettings { drain_timeout: Duration::from_millis(50), ..settings() };
    let Fixture { mut owner, edge, view, .. } = Fixture::with(settings).await;
    let mut caller = RawCaller::start(edge.address()).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    owner.open().await;
    edge.drain().await;
    assert_eq!(caller.error_code().await, "08007");
    told_to_reconnect(&mut caller).await;
    drop(view);
}

#[actix_rt::test]
async fn stopping_owner_gets_nothing_new_and_callers_see_nothing() {
    let mut fixture = Fixture::start().await;
    stop_owner(&mut fixture).await;
    let callers = callers_with_a_query(&fixture).await;
    let mut next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    for _ in 0..CALLERS {
        next.serve_one("").await;
    }
    all_are_answered(callers).await;
    assert!(fixture.owner.nothing_more(), "nothing went to the stopping owner");
}

#[actix_rt::test]
async fn requests_that_crossed_the_stop_go_to_the_next_owner() {
    let mut fixture = Fixture::start().await;
    let callers = callers_with_a_query(&fixture).await;
    for _ in 0..CALLERS {
        let (stream, _) = fixture.owner.open().await;
        let failure = Failure::NotRun { reason: NotRunReason::Stopping, retry_after_ms: 10 };
        fixture.owner.fail(stream, failure);
    }
    let mut next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    for _ in 0..CALLERS {
        next.serve_one("").await;
    }
    all_are_answered(callers).await;
    assert!(fixture.owner.nothing_more(), "the stopping owner was asked once each");
}

#[actix_rt::test]
async fn requests_ahead_of_the_next_owners_view_are_carried_over() {
    let mut fixture = Fixture::start().await;
    let callers = callers_with_a_query(&fixture).await;
    for _ in 0..CALLERS {
        let (stream, _) = fixture.owner.open().await;
        let failure = Failure::NotRun { reason: NotRunReason::NotOwner, retry_after_ms: 10 };
        fixture.owner.fail(stream, failure);
    }
    for _ in 0..CALLERS {
        fixture.owner.serve_one("").await;
    }
    all_are_answered(callers).await;
}

#[actix_rt::test]
async fn transaction_open_on_a_stopping_owner_finishes_there() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let opened = begin(&mut fixture.owner, &mut caller).await;
    stop_owner(&mut fixture).await;
    let next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    caller.send(&wire::query("COMMIT")).await;
    let (stream, batch) = fixture.owner.batch().await;
    assert_eq!(stream, opened);
    fixture.owner.answer(stream, &batch, "", TransactionStatus::Idle);
    assert_eq!(caller.read_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn owner_that_stops_before_it_says_its_name_hands_over_too() {
    let mut fixture = Fixture::start().await;
    let mut stopping = FakeOwner::start_with("owner-1", Some(OwnerMessage::Stopping)).await;
    fixture.view.send_replace(Arc::new(view_with_owner(Some((OWNER, stopping.address)))));
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    let (stream, _) = stopping.open().await;
    let failure = Failure::NotRun { reason: NotRunReason::Stopping, retry_after_ms: 10 };
    stopping.fail(stream, failure);
    let next = FakeOwner::start("owner-2").await;
    hand_over(&fixture, &next);
    fixture.owner = next;
    fixture.owner.serve_one("").await;
    assert_eq!(caller.read_until_ready().await, "TDCZ");
}
