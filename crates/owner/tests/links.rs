//! Links from edges that violate the protocol or do not receive answers.

mod support;

use bytes::BytesMut;
use corktack_core::identity::GroupName;
use corktack_protocol::frame::{FrameCodec, PAYLOAD_LIMIT};
use corktack_protocol::peer::{
    Access, Batch, EdgeMessage, Failure, INITIAL_WINDOW_BYTES, OwnerMessage, StreamId,
};
use futures_util::{SinkExt, StreamExt};
use rstest::rstest;
use support::Fleet;
use support::edge::{TestEdge, query, request};
use tokio_util::codec::Encoder;

fn header(version: u8, length: usize) -> Vec<u8> {
    let mut bytes = vec![version, 0, 0, 0];
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    bytes.extend_from_slice(&[0; 4]);
    bytes
}

/// Encodes a valid frame whose message only an owner may send.
fn foreign_message() -> Vec<u8> {
    let mut codec = FrameCodec::<OwnerMessage, EdgeMessage>::default();
    let mut bytes = BytesMut::new();
    codec.encode(OwnerMessage::Stopping, &mut bytes).expect("the message has an encoding");
    bytes.to_vec()
}

#[rstest]
#[case::oversized(header(1, PAYLOAD_LIMIT + 1))]
#[case::other_version(header(2, 0))]
#[case::wrong_checksum([header(1, 1), vec![0]].concat())]
#[case::foreign(foreign_message())]
#[actix_rt::test]
async fn a_broken_frame_closes_only_its_own_link(#[case] bytes: Vec<u8>) {
    let fleet = Fleet::start(2, 20).await;
    let (mut broken, mut other) = (fleet.edge().await, fleet.edge().await);
    let stream = broken.write("BEGIN").await;
    broken.answer(stream).await;
    let open = other.write("BEGIN").await;
    other.answer(open).await;
    broken.send_raw(&bytes).await;
    assert_eq!(broken.receive().await, None);
    fleet.members[0].wait_for_statement("ROLLBACK", 1).await;
    for text in ["write kept", "COMMIT"] {
        other.batch(open, text).await;
        other.answer(open).await;
    }
    assert_eq!(fleet.members[0].script().written, ["kept"]);
}

#[rstest]
#[actix_rt::test]
async fn a_second_hello_closes_the_link() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    edge.hello().await;
    assert_eq!(edge.receive().await, None);
}

#[rstest]
#[actix_rt::test]
async fn batches_far_ahead_of_their_answers_close_the_link() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    let text = "x".repeat(PAYLOAD_LIMIT / 2);
    for _ in 0..3 {
        let Batch { prepared, messages } = query(&text);
        let batch = Batch { prepared, messages };
        if edge.try_send(EdgeMessage::Batch { stream, batch }).await.is_err() {
            // The owner closed the link before it received the rest.
            return;
        }
    }
    assert_eq!(edge.receive().await, None);
}

#[rstest]
#[actix_rt::test]
async fn a_window_grant_above_the_initial_window_is_capped() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("big 4000").await;
    for _ in 0..2 {
        let mut taken = 0;
        while taken < INITIAL_WINDOW_BYTES {
            if let OwnerMessage::Data { messages, .. } = edge.next_message_of(stream).await {
                taken += messages.len() as u32;
            }
        }
        edge.send(EdgeMessage::Window { stream, bytes: u32::MAX }).await;
    }
    // The third window of answers arrives, and nothing more while other streams continue.
    let mut taken = 0;
    while taken < INITIAL_WINDOW_BYTES {
        if let OwnerMessage::Data { messages, .. } = edge.next_message_of(stream).await {
            taken += messages.len() as u32;
        }
    }
    for _ in 0..20 {
        let other = edge.write("write x").await;
        edge.answer(other).await;
    }
    assert!(!edge.has_waiting(stream));
}

#[rstest]
#[case::read(Access::Read, None, Some("54000"))]
#[case::write(Access::Write, Some(Failure::Unknown), None)]
#[actix_rt::test]
async fn a_row_too_large_for_a_frame_fails_only_its_stream(
    #[case] access: Access,
    #[case] failure: Option<Failure>,
    #[case] state: Option<&str>,
) {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    let open = edge.write("BEGIN").await;
    edge.answer(open).await;
    let stream = edge.open(request(access, query("huge"))).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.failure, failure, "{:?}", answer.errors);
    assert_eq!(answer.errors.first().map(|(state, _)| state.as_str()), state);
    edge.batch(open, "COMMIT").await;
    assert_eq!(edge.answer(open).await.tags, ["COMMIT"]);
}

/// Number of requests whose answers exceed the socket buffers of both sides.
const REQUESTS: u64 = 400_000;

fn unknown_group(stream: u64) -> EdgeMessage {
    let mut request = request(Access::Write, query("q"));
    request.group = GroupName::new("u").expect("a valid name");
    EdgeMessage::Open { stream: StreamId(stream), request: Box::new(request) }
}

#[rstest]
#[actix_rt::test]
async fn a_link_whose_edge_receives_no_answers_is_not_read() {
    let fleet = Fleet::start(2, 10).await;
    let edge = TestEdge::connect_with_small_buffer(fleet.owner.address()).await;
    let (mut sink, mut source) = edge.into_frames().split();
    let mut sent = 0;
    let flood = async {
        while sent < REQUESTS {
            sink.feed(unknown_group(sent + 1)).await.expect("the link is open");
            sent += 1;
        }
        sink.flush().await.expect("the link is open");
    };
    tokio::pin!(flood);
    tokio::select! {
        () = &mut flood => panic!("the owner read all requests though the edge received no answer"),
        () = fleet.wait_for_metric("corktack_owner_links_held 1") => {}
    }
    // Once the edge receives again, it gets all answers.
    let listen = async {
        let mut answered = 0;
        while answered < REQUESTS {
            let message = source.next().await.expect("the link is open").expect("a frame");
            answered += u64::from(matches!(message, OwnerMessage::Failed { .. }));
        }
    };
    futures_util::join!(flood, listen);
    fleet.wait_for_metric("corktack_owner_links_held 0").await;
}
