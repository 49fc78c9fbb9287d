//! The connection to an owner: faults, limits, and the local address of an owner in the same process.

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

fn corrupted_frame() -> Vec<u8> {
    let mut bytes = frame(OwnerMessage::Stopping);
    *bytes.last_mut().expect("a frame is not empty") ^= 1;
    bytes
}

fn oversized_frame() -> Vec<u8> {
    let mut bytes = frame(OwnerMessage::Stopping);
    let length = u32::try_from(PAYLOAD_LIMIT + 1).expect("the limit is below 4 GB");
    bytes[4..8].copy_from_slice(&length.to_be_bytes());
    bytes
}

fn frame_of_another_version() -> Vec<u8> {
    let mut bytes = frame(OwnerMessage::Stopping);
    bytes[0] = 9;
    bytes
}

async fn expect_served(fixture: &mut Fixture) {
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    fixture.owner.serve_one_request("1").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[rstest]
#[case::corrupted(corrupted_frame())]
#[case::oversized(oversized_frame())]
#[case::another_version(frame_of_another_version())]
#[actix_rt::test]
async fn broken_frame_ends_the_connection_and_all_its_streams(#[case] bytes: Vec<u8>) {
    let mut fixture = Fixture::start().await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let mut caller = RawCaller::start(fixture.edge.address()).await;
        caller.send(&wire::query(INSERT)).await;
        fixture.owner.expect_open().await;
        callers.push(caller);
    }
    fixture.owner.send_bytes(&bytes);
    for caller in &mut callers {
        assert_eq!(caller.read_error_code().await, "08007");
        assert_eq!(caller.read_ready_status().await, 'I');
    }
    expect_served(&mut fixture).await;
    assert_eq!(fixture.owner.connection_count(), 2);
}

#[actix_rt::test]
async fn malformed_answer_makes_only_its_own_request_unknown() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let mut other = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    other.send(&wire::query(INSERT)).await;
    let (other_stream, request) = fixture.owner.expect_open().await;
    fixture.owner.send_data(stream, vec![b'D', 0, 0, 0, 99, 1]);
    assert_eq!(caller.read().await.0, 'E', "no part of the answer was passed on");
    assert_eq!(caller.read_ready_status().await, 'I');
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream });
    fixture.owner.answer_batch(other_stream, &request.batch, "1", TransactionStatus::Idle);
    assert_eq!(other.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn answers_on_unknown_streams_are_dropped() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, request) = fixture.owner.expect_open().await;
    for missing in [StreamId(0), StreamId(stream.0 + 1), StreamId(u64::MAX)] {
        fixture.owner.answer_batch(missing, &request.batch, "stray", TransactionStatus::Idle);
    }
    fixture.owner.answer_batch(stream, &request.batch, "own", TransactionStatus::Idle);
    assert_eq!(caller.read().await.0, 'T');
    assert!(caller.read().await.1.ends_with(b"own"));
}

#[actix_rt::test]
async fn owner_that_exceeds_the_window_loses_the_connection() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, _) = fixture.owner.expect_open().await;
    // Far more than the sockets and the window hold; the caller reads none of the answer.
    let row = wire::encode(&[wire::row(&"x".repeat(1_000_000))]);
    for _ in 0..100 {
        fixture.owner.send_data(stream, row.clone());
    }
    fixture.owner.wait_until_connection_ended().await;
    expect_served(&mut fixture).await;
    assert_eq!(fixture.owner.connection_count(), 2);
}

#[actix_rt::test]
async fn owner_that_observes_the_window_is_read_to_the_end() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (stream, _) = fixture.owner.expect_open().await;
    let row = wire::encode(&[wire::row(&"x".repeat(100_000))]);
    let rows = 200;
    let owner = async {
        let mut window = i64::from(INITIAL_WINDOW_BYTES);
        for _ in 0..rows {
            while window <= 0 {
                if let EdgeMessage::Window { bytes, .. } =
                    fixture.owner.next_message_or_window().await
                {
                    window += i64::from(bytes);
                }
            }
            window -= i64::try_from(row.len()).expect("a row is short");
            fixture.owner.send_data(stream, row.clone());
        }
        fixture.owner.send_ready(stream, TransactionStatus::Idle);
    };
    let (kinds, ()) = futures_util::join!(caller.read_types_until_ready(), owner);
    assert_eq!(kinds.len(), rows + 1);
    assert_eq!(fixture.owner.connection_count(), 1);
}

#[actix_rt::test]
async fn request_too_long_for_a_frame_is_refused_without_effect_on_others() {
    let limited = EdgeSettings { message_limit: 4 * PAYLOAD_LIMIT, ..settings() };
    let mut fixture = Fixture::start_with_settings(limited).await;
    let mut other = RawCaller::start(fixture.edge.address()).await;
    other.send(&wire::query(INSERT)).await;
    let (stream, request) = fixture.owner.expect_open().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let text = format!("INSERT INTO t VALUES ('{}')", "x".repeat(PAYLOAD_LIMIT));
    caller.send(&wire::query(&text)).await;
    assert_eq!(caller.read_error_code().await, "54000");
    assert_eq!(caller.read_ready_status().await, 'I');
    fixture.owner.answer_batch(stream, &request.batch, "1", TransactionStatus::Idle);
    assert_eq!(other.read_types_until_ready().await, "TDCZ");
    assert_eq!(fixture.owner.connection_count(), 1);
}

#[actix_rt::test]
async fn idempotency_key_is_bounded() {
    let fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    for (length, answer) in [(256, "CZ"), (257, "EZ")] {
        let key = "k".repeat(length);
        caller.send(&wire::query(&format!("SET corktack.idempotency_key = '{key}'"))).await;
        assert_eq!(caller.read_types_until_ready().await, answer);
    }
}

#[actix_rt::test]
async fn another_process_at_the_owners_address_is_sent_nothing() {
    let mut stranger = FakeOwner::start("stranger").await;
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    fixture.view.send_replace(Arc::new(view_with_owner(Some((OWNER, stranger.address)))));
    caller.send(&wire::query(INSERT)).await;
    stranger.wait_until_connection_ended().await;
    assert!(stranger.received_nothing_more(), "only the handshake was sent to it");
    fixture.view.send_replace(Arc::new(view_with_owner(Some((OWNER, fixture.owner.address)))));
    fixture.owner.serve_one_request("1").await;
    assert_eq!(
        caller.read_types_until_ready().await,
        "TDCZ",
        "the edge knew that the write had not run"
    );
}

#[rstest]
#[case::same_incarnation(Incarnation(7), true)]
#[case::earlier_incarnation(Incarnation(6), false)]
#[actix_rt::test]
async fn owner_in_the_same_process_is_reached_by_its_local_address(
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
    let fixture = Fixture::start_with_settings(own).await;
    let mut announced = FakeOwner::start("edge-1").await;
    fixture.view.send_replace(Arc::new(view_with_owner(Some(("edge-1", announced.address)))));
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let owner = if is_local { &mut local } else { &mut announced };
    owner.serve_one_request("1").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}
