//! The connection to an owner: faults on it, its limits, and the way to the own process.

use crate::support::owner::FakeOwner;
use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, OWNER, settings, view_with_owner};
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_edge::EdgeSettings;
use corktack_protocol::frame::{FrameCodec, PAYLOAD_LIMIT};
use corktack_protocol::peer::{
    EdgeMessage, INITIAL_WINDOW_BYTES, OwnerMessage, StreamId, TransactionStatus,
};
use rstest::rstest;
use std::sync::Arc;
use tokio_util::codec::Encoder;

const INSERT: &str = "INSERT INTO t VALUES (1)";

fn frame(message: OwnerMessage) -> Vec<u8> {
    let mut codec = FrameCodec::<OwnerMessage, EdgeMessage>::default();
    let mut buffer = bytes::BytesMut::new();
    codec.encode(message, &mut buffer).expect("it is short");
    buffer.to_vec()
}

fn corrupted() -> Vec<u8> {
    let mut bytes = frame(OwnerMessage::Stopping);
    *bytes.last_mut().expect("a frame is not empty") ^= 1;
    bytes
}

fn oversized() -> Vec<u8> {
    let mut bytes = frame(OwnerMessage::Stopping);
    let length = u32::try_from(PAYLOAD_LIMIT + 1).expect("the limit is below 4 GB");
    bytes[4..8].copy_from_slice(&length.to_be_bytes());
    bytes
}

fn of_another_version() -> Vec<u8> {
    let mut bytes = frame(OwnerMessage::Stopping);
    bytes[0] = 9;
    bytes
}

async fn is_served(fixture: &mut Fixture) {
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    fixture.owner.serve_one("1").await;
    assert_eq!(caller.read_until_ready().await, "TDCZ");
}

#[rstest]
#[case::corrupted(corrupted())]
#[case::oversized(oversized())]
#[case::another_version(of_another_version())]
#[actix_rt::test]
async fn broken_frame_ends_the_connection_and_all_its_streams(#[case] bytes: Vec<u8>) {
    let mut fixture = Fixture::start().await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let mut caller = RawCaller::start(fixture.edge.address()).await;
        caller.send(&wire::query(INSERT)).await;
        fixture.owner.open().await;
        callers.push(caller);
    }
    fixture.owner.send_raw(&bytes);
    for caller in &mut callers {
        assert_eq!(caller.error_code().await, "08007");
        assert_eq!(caller.ready().await, 'I');
    }
    is_served(&mut fixture).await;
    assert_eq!(fixture.owner.connection_count(), 2);
}

#[actix_rt::test]
async fn answer_that_is_no_message_is_an_unknown_outcome_of_its_request_only() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let mut other = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, _) = fixture.owner.open().await;
    other.send(&wire::query(INSERT)).await;
    let (other_stream, request) = fixture.owner.open().await;
    fixture.owner.data(stream, vec![b'D', 0, 0, 0, 99, 1]);
    assert_eq!(caller.read().await.0, 'E', "nothing of it was passed on");
    assert_eq!(caller.ready().await, 'I');
    assert_eq!(fixture.owner.next().await, EdgeMessage::Close { stream });
    fixture.owner.answer(other_stream, &request.batch, "1", TransactionStatus::Idle);
    assert_eq!(other.read_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn answers_on_streams_that_never_were_find_nobody() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, request) = fixture.owner.open().await;
    for missing in [StreamId(0), StreamId(stream.0 + 1), StreamId(u64::MAX)] {
        fixture.owner.answer(missing, &request.batch, "stray", TransactionStatus::Idle);
    }
    fixture.owner.answer(stream, &request.batch, "own", TransactionStatus::Idle);
    assert_eq!(caller.read().await.0, 'T');
    assert!(caller.read().await.1.ends_with(b"own"));
}

#[actix_rt::test]
async fn owner_that_sends_past_the_window_loses_the_connection() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, _) = fixture.owner.open().await;
    // Far more than sockets and the window hold; the caller reads none of it.
    let row = wire::encode(&[wire::row(&"x".repeat(1_000_000))]);
    for _ in 0..100 {
        fixture.owner.data(stream, row.clone());
    }
    fixture.owner.ended().await;
    is_served(&mut fixture).await;
    assert_eq!(fixture.owner.connection_count(), 2);
}

#[actix_rt::test]
async fn owner_that_keeps_to_the_window_is_read_to_the_end() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, _) = fixture.owner.open().await;
    let row = wire::encode(&[wire::row(&"x".repeat(100_000))]);
    let rows = 200;
    let owner = async {
        let mut window = i64::from(INITIAL_WINDOW_BYTES);
        for _ in 0..rows {
            while window <= 0 {
                if let EdgeMessage::Window { bytes, .. } = fixture.owner.next_with_windows().await {
                    window += i64::from(bytes);
                }
            }
            window -= i64::try_from(row.len()).expect("a row is short");
            fixture.owner.data(stream, row.clone());
        }
        fixture.owner.ready(stream, TransactionStatus::Idle);
    };
    let (kinds, ()) = futures_util::join!(caller.read_until_ready(), owner);
    assert_eq!(kinds.len(), rows + 1);
    assert_eq!(fixture.owner.connection_count(), 1);
}

#[actix_rt::test]
async fn request_too_long_for_a_frame_is_refused_and_hurts_nobody() {
    let limited = EdgeSettings { message_limit: 4 * PAYLOAD_LIMIT, ..settings() };
    let mut fixture = Fixture::with(limited).await;
    let mut other = RawCaller::start(fixture.edge.address()).await;
    other.send(&wire::query(INSERT)).await;
    let (stream, request) = fixture.owner.open().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let text = format!("INSERT INTO t VALUES ('{}')", "x".repeat(PAYLOAD_LIMIT));
    caller.send(&wire::query(&text)).await;
    assert_eq!(caller.error_code().await, "54000");
    assert_eq!(caller.ready().await, 'I');
    fixture.owner.answer(stream, &request.batch, "1", TransactionStatus::Idle);
    assert_eq!(other.read_until_ready().await, "TDCZ");
    assert_eq!(fixture.owner.connection_count(), 1);
}

#[actix_rt::test]
async fn idempotency_key_is_bounded() {
    let fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    for (length, answer) in [(256, "CZ"), (257, "EZ")] {
        let key = "k".repeat(length);
        caller.send(&wire::query(&format!("SET corktack.idempotency_key = '{key}'"))).await;
        assert_eq!(caller.read_until_ready().await, answer);
    }
}

#[actix_rt::test]
async fn another_process_at_the_owners_address_is_sent_nothing() {
    let mut stranger = FakeOwner::start("stranger").await;
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    fixture.view.send_replace(Arc::new(view_with_owner(Some((OWNER, stranger.address)))));
    caller.send(&wire::query(INSERT)).await;
    stranger.ended().await;
    assert!(stranger.nothing_more(), "only the edge's name went there");
    fixture.view.send_replace(Arc::new(view_with_owner(Some((OWNER, fixture.owner.address)))));
    fixture.owner.serve_one("1").await;
    assert_eq!(caller.read_until_ready().await, "TDCZ", "it was known not to have run");
}

#[rstest]
#[case::own_life(Incarnation(7), true)]
#[case::earlier_life(Incarnation(6), false)]
#[actix_rt::test]
async fn owner_in_the_own_process_is_reached_by_its_local_address(
    #[case] incarnation: Incarnation,
    #[case] is_local: bool,
) {
    let mut local = FakeOwner::start("edge-1").await;
    let own = EdgeSettings {
        proxy: ProxyName::new("edge-1").expect("a valid name"),
        incarnation,
        local_owner: Some(local.address),
        ..settings()
    };
    let fixture = Fixture::with(own).await;
    let mut announced = FakeOwner::start("edge-1").await;
    fixture.view.send_replace(Arc::new(view_with_owner(Some(("edge-1", announced.address)))));
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let owner = if is_local { &mut local } else { &mut announced };
    owner.serve_one("1").await;
    assert_eq!(caller.read_until_ready().await, "TDCZ");
}
