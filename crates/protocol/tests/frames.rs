//! Frames of every kind of connection: each sent message is received unchanged, and arbitrary or
//! damaged bytes are refused without a panic or a large buffer.

use bytes::{BufMut, BytesMut};
use corktack_core::consensus::message::{AppendRequest, LogEnd, MessageBody, SnapshotChunk};
use corktack_core::consensus::{CellConfig, CellMember, Entry, Message, Payload};
use corktack_core::identity::{ClassName, Incarnation, NameError, ReplicaId};
use corktack_core::position::{Position, Term};
use corktack_core::resources::PriorityClassSpec;
use corktack_core::view::{Delta, Revision, View};
use corktack_protocol::cell::{CellMessage, CellName, ProxyReport, ProxyRevision};
use corktack_protocol::control::{ControlMessage, MemberHealth, Observation, ProxyMessage};
use corktack_protocol::frame::{
    FrameCodec, FrameError, HEADER_BYTES, PAYLOAD_LIMIT, PROTOCOL_VERSION, decode, encode,
};
use corktack_protocol::peer::{
    Access, Batch, EdgeMessage, Failure, NotRunReason, OpenRequest, OwnerMessage,
    PreparedStatement, ServedBy, StreamId, TransactionStatus,
};
use proptest::prelude::*;
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::str::FromStr;
use tokio_util::codec::{Decoder, Encoder};

type PeerMessage = CellMessage<Message>;

fn name<T: FromStr<Err = NameError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn observations() -> Vec<Observation> {
    let health = MemberHealth::Primary(Term(4));
    vec![Observation { group: name("calls"), member: name("m1"), health }]
}

fn edge_messages() -> Vec<EdgeMessage> {
    let query = "SELECT $1".to_owned();
    let prepared =
        vec![PreparedStatement { name: "s1".to_owned(), query, parameter_types: vec![23] }];
    let batch = Batch { prepared, messages: vec![7; 300] };
    let request = OpenRequest {
        group: name("calls"),
        class: name("gold"),
        access: Access::Write,
        minimum: Some(Position { term: Term(3), index: 9 }),
        timeout_ms: 5_000,
        idempotency_key: Some("key".to_owned()),
        batch: batch.clone(),
    };
    let stream = StreamId(1 << 40);
    vec![
        EdgeMessage::Hello { proxy: name("p-1"), incarnation: Incarnation(u64::MAX) },
        EdgeMessage::Open { stream, request: Box::new(request) },
        EdgeMessage::Batch { stream, batch },
        EdgeMessage::Cancel { stream },
        EdgeMessage::Close { stream },
        EdgeMessage::Window { stream, bytes: 65_536 },
    ]
}

fn owner_messages() -> Vec<OwnerMessage> {
    let stream = StreamId(7);
    let failure = Failure::NotRun { reason: NotRunReason::QueueFull, retry_after_ms: 100 };
    vec![
        OwnerMessage::Hello { proxy: name("p-2"), incarnation: Incarnation(2) },
        OwnerMessage::Data { stream, messages: vec![1; 500] },
        OwnerMessage::Position { stream, position: Position { term: Term(1), index: 2 } },
        OwnerMessage::Ready {
            stream,
            status: TransactionStatus::Idle,
            served_by: ServedBy::Replica,
        },
        OwnerMessage::Failed { stream, failure },
        OwnerMessage::Stopping,
    ]
}

fn proxy_messages() -> Vec<ProxyMessage> {
    vec![
        ProxyMessage::Hello {
            proxy: name("p-1"),
            incarnation: Incarnation(3),
            address: ([127, 0, 0, 1], 6_000).into(),
            zone: name("north.a"),
            revision: Revision(8),
        },
        ProxyMessage::Heartbeat {
            sequence: 4,
            revision: Revision(8),
            draining: true,
            observations: observations(),
        },
    ]
}

fn control_messages() -> Vec<ControlMessage> {
    vec![
        ControlMessage::Snapshot(Box::new(View { revision: Revision(5), ..View::default() })),
        ControlMessage::Delta(Delta { revision: Revision(6), changes: Vec::new() }),
        ControlMessage::HeartbeatAck { sequence: 4, current: false },
    ]
}

fn consensus_messages() -> Vec<Message> {
    let member = CellMember { id: ReplicaId(1), address: ([127, 0, 0, 1], 7_001).into() };
    let cell = CellConfig { voters: vec![member], learners: Vec::new() };
    let last = LogEnd { index: 4, term: Term(2) };
    let entry = |index, payload| Entry { term: Term(2), index, payload };
    let entries =
        vec![entry(5, Payload::Command(vec![3; 200])), entry(6, Payload::Cell(cell.clone()))];
    let append = AppendRequest { previous: last, entries, commit: 5 };
    let chunk = SnapshotChunk { last, cell, total: 4_096, offset: 0, data: vec![5; 256] };
    let bodies = [MessageBody::AppendRequest(append), MessageBody::SnapshotChunk(chunk)];
    bodies.into_iter().map(|body| Message { term: Term(2), body }).collect()
}

fn cell_messages() -> Vec<PeerMessage> {
    let report = ProxyReport {
        proxy: name("p-1"),
        incarnation: Incarnation(3),
        address: ([127, 0, 0, 1], 6_000).into(),
        zone: name("north.a"),
        revision: Revision(8),
        draining: false,
        observations: observations(),
    };
    let revision =
        ProxyRevision { proxy: name("p-1"), incarnation: Incarnation(3), revision: Revision(8) };
    let mut messages = vec![
        CellMessage::Hello {
            cell: CellName("main".to_owned()),
            replica: ReplicaId(1),
            incarnation: Incarnation(9),
            receiver: ReplicaId(2),
        },
        CellMessage::Proxies { reports: vec![report] },
        CellMessage::Forward { request: 1, command: vec![2; 100] },
        CellMessage::Forwarded { request: 1, outcome: Ok(77) },
        CellMessage::QueryProxies { request: 2 },
        CellMessage::ProxyRevisions { request: 2, revisions: vec![revision] },
    ];
    messages.extend(consensus_messages().into_iter().map(CellMessage::Consensus));
    messages
}

fn frame<T: Serialize + DeserializeOwned>(message: T) -> BytesMut {
    let mut buffer = BytesMut::new();
    FrameCodec::<T, T>::default().encode(message, &mut buffer).expect("the message has a frame");
    buffer
}

/// Asserts that each message is decoded as it was sent, also when its frame arrives byte by byte.
fn check_round_trip<T: Serialize + DeserializeOwned + Clone + Debug>(messages: Vec<T>) {
    for message in messages {
        let sent = encode(&message).expect("the message has an encoding");
        let whole = frame(message);
        let mut codec = FrameCodec::<T, T>::default();
        let mut buffer = BytesMut::new();
        for (offset, byte) in whole.iter().enumerate() {
            let early = codec.decode(&mut buffer).expect("a part is no error");
            assert!(early.is_none(), "a message after {offset} bytes");
            buffer.put_u8(*byte);
        }
        let received = codec.decode(&mut buffer).expect("a frame").expect("a message");
        assert_eq!(encode(&received).expect("the message has an encoding"), sent);
        assert!(buffer.is_empty());
    }
}

#[test]
fn each_message_is_received_as_it_was_sent() {
    check_round_trip(edge_messages());
    check_round_trip(owner_messages());
    check_round_trip(proxy_messages());
    check_round_trip(control_messages());
    check_round_trip(cell_messages());
}

fn header(version: u8, length: u32, checksum: u32) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::from(version) << 24);
    bytes.put_u32(length);
    bytes.put_u32(checksum);
    bytes
}

#[test]
fn a_frame_of_another_version_is_refused() {
    let mut bytes = header(PROTOCOL_VERSION + 1, 0, 0);
    let refused = FrameCodec::<(), OwnerMessage>::default().decode(&mut bytes);
    assert!(matches!(refused, Err(FrameError::Version(version)) if version != PROTOCOL_VERSION));
}

#[rstest]
#[case(PAYLOAD_LIMIT as u32 + 1)]
#[case(u32::MAX)]
fn a_length_over_the_limit_is_refused_before_any_buffer_grows(#[case] length: u32) {
    let mut bytes = header(PROTOCOL_VERSION, length, 0);
    let before = bytes.capacity();
    let refused = FrameCodec::<(), OwnerMessage>::default().decode(&mut bytes);
    assert!(matches!(refused, Err(FrameError::TooLarge(found)) if found == length as usize));
    assert_eq!(bytes.capacity(), before);
}

/// A message inside a valid frame contains a length far beyond the payload; allocating a buffer
/// of that size would abort the test.
#[rstest]
fn a_length_inside_a_message_is_refused(#[values(40, 46, 62)] power: u32) {
    let length = (1_u64 << power).to_le_bytes();
    // Variant, stream id, then the length of the bytes.
    let bytes = [&[1, 7, 253][..], &length].concat();
    assert!(matches!(decode::<OwnerMessage>(&bytes), Err(FrameError::Decode(_))));
    // Variant, then the length of a name.
    let text = [&[0, 253][..], &length].concat();
    assert!(matches!(decode::<EdgeMessage>(&text), Err(FrameError::Decode(_))));
}

#[test]
fn a_flipped_byte_anywhere_in_a_frame_is_refused() {
    for message in cell_messages() {
        let whole = frame(message);
        for offset in 0..whole.len() {
            let mut bytes = whole.clone();
            bytes[offset] ^= 0x10;
            let found = FrameCodec::<PeerMessage, PeerMessage>::default().decode(&mut bytes);
            // With a greater length the decoder waits for more bytes; it never yields a message.
            assert!(!matches!(found, Ok(Some(_))), "a message from a frame damaged at {offset}");
        }
    }
}

/// Feeds bytes to a decoder as a connection would, and returns the largest capacity of its buffer.
fn feed<In: DeserializeOwned>(bytes: &[u8]) -> usize {
    let mut codec = FrameCodec::<(), In>::default();
    let mut buffer = BytesMut::from(bytes);
    let mut largest = buffer.capacity();
    while let Ok(Some(_)) = codec.decode(&mut buffer) {
        largest = largest.max(buffer.capacity());
    }
    largest.max(buffer.capacity())
}

fn feed_all(bytes: &[u8]) -> usize {
    let largest = [
        feed::<EdgeMessage>(bytes),
        feed::<OwnerMessage>(bytes),
        feed::<ProxyMessage>(bytes),
        feed::<ControlMessage>(bytes),
        feed::<PeerMessage>(bytes),
    ];
    largest.into_iter().max().unwrap_or(0)
}

/// Returns a payload behind a valid header, so that the bytes reach the decoder of the message.
fn framed(payload: &[u8]) -> BytesMut {
    let length = u32::try_from(payload.len()).expect("a short payload");
    let mut bytes = header(PROTOCOL_VERSION, length, crc32fast::hash(payload));
    bytes.put_slice(payload);
    bytes
}

fn payloads() -> Vec<Vec<u8>> {
    let mut all: Vec<Vec<u8>> = Vec::new();
    let mut add = |bytes: Result<Vec<u8>, FrameError>| all.push(bytes.expect("an encoding"));
    edge_messages().iter().for_each(|message| add(encode(message)));
    owner_messages().iter().for_each(|message| add(encode(message)));
    proxy_messages().iter().for_each(|message| add(encode(message)));
    control_messages().iter().for_each(|message| add(encode(message)));
    cell_messages().iter().for_each(|message| add(encode(message)));
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(feed_all(&bytes) <= HEADER_BYTES + PAYLOAD_LIMIT * 2);
    }

    #[test]
    fn arbitrary_payloads_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(feed_all(&framed(&bytes)) <= 4 * (HEADER_BYTES + 600));
    }

    /// Valid messages with a few bytes changed, truncated or followed by other bytes.
    #[test]
    fn damaged_payloads_never_panic(
        choice in any::<prop::sample::Index>(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<prop::sample::Index>(),
        tail in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let payloads = payloads();
        let mut payload = choice.get(&payloads).clone();
        for (index, byte) in changes {
            let offset = index.index(payload.len());
            payload[offset] = byte;
        }
        payload.truncate(cut.index(payload.len()) + 1);
        payload.extend(tail);
        feed_all(&framed(&payload));
    }
}

/// Returns a message that compresses well, and its frame.
fn large_frame() -> (ControlMessage, BytesMut) {
    let name = |number: u32| name::<ClassName>(&format!("class-{number}"));
    let class = PriorityClassSpec { priority: 1, guaranteed_percent: 0 };
    let classes = (0..2_000).map(|number| (name(number), class.clone())).collect();
    let view = View { revision: Revision(7), classes, ..View::default() };
    let message = ControlMessage::Snapshot(Box::new(view));
    let mut buffer = BytesMut::new();
    let mut codec = FrameCodec::<ControlMessage, ControlMessage>::compressing();
    codec.encode(message.clone(), &mut buffer).expect("encoded");
    (message, buffer)
}

#[test]
fn a_large_message_is_compressed_and_any_codec_reads_it() {
    let (message, mut buffer) = large_frame();
    let plain = frame(message.clone()).len();
    assert!(buffer.len() * 3 < plain, "{} of {plain} bytes", buffer.len());
    let mut codec = FrameCodec::<ControlMessage, ControlMessage>::default();
    assert_eq!(codec.decode(&mut buffer).expect("decoded"), Some(message));
}

/// Other versions of this program read the header, so each of its bytes is fixed.
#[test]
fn the_header_of_a_frame_has_a_fixed_layout() {
    let bytes = frame(OwnerMessage::Stopping);
    let payload = encode(&OwnerMessage::Stopping).expect("the message has an encoding");
    assert_eq!(HEADER_BYTES, 12);
    assert_eq!(bytes[..4], [1, 0, 0, 0], "version, two zero bytes, compression");
    assert_eq!(bytes[4..8], (payload.len() as u32).to_be_bytes());
    assert_eq!(bytes[8..12], crc32fast::hash(&payload).to_be_bytes());
    assert_eq!(bytes[12..], payload[..]);
    assert_eq!(payload, [5], "the variant's position in the enum");
}

#[rstest]
#[case::plain(0, true)]
#[case::deflate(1, true)]
#[case::unknown(2, false)]
fn the_fourth_byte_of_the_header_gives_the_compression(
    #[case] compression: u8,
    #[case] is_valid: bool,
) {
    let payload = encode(&OwnerMessage::Stopping).expect("the message has an encoding");
    let compressed = miniz_oxide::deflate::compress_to_vec(&payload, 1);
    let mut bytes = framed(if compression == 1 { &compressed } else { &payload });
    bytes[3] = compression;
    let found = FrameCodec::<(), OwnerMessage>::default().decode(&mut bytes);
    if is_valid {
        assert!(matches!(found, Ok(Some(OwnerMessage::Stopping))), "{found:?}");
    } else {
        assert!(matches!(found, Err(FrameError::Version(1))), "{found:?}");
    }
}

/// A payload is compressed from 4 KiB on, and only where that makes it smaller.
#[rstest]
#[case::below(4_095, 0, 0)]
#[case::at(4_096, 0, 1)]
#[case::incompressible(4_096, 1, 0)]
fn a_payload_is_compressed_from_the_threshold_on(
    #[case] payload_bytes: usize,
    #[case] noise: u32,
    #[case] compression: u8,
) {
    // Variant, stream id, a length of three bytes, then the messages.
    let mut state = 1_u32;
    let mut byte = || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (state >> 24) as u8 * noise as u8
    };
    let messages = (0..payload_bytes - 5).map(|_| byte()).collect();
    let message = OwnerMessage::Data { stream: StreamId(7), messages };
    assert_eq!(encode(&message).expect("an encoding").len(), payload_bytes);
    let mut buffer = BytesMut::new();
    let mut codec = FrameCodec::<OwnerMessage, OwnerMessage>::compressing();
    codec.encode(message.clone(), &mut buffer).expect("encoded");
    assert_eq!(buffer[3], compression);
    assert_eq!(codec.decode(&mut buffer).expect("decoded"), Some(message));
}

#[test]
fn a_small_message_is_not_compressed() {
    let mut buffer = BytesMut::new();
    let mut codec = FrameCodec::<ControlMessage, ControlMessage>::compressing();
    let message = ControlMessage::HeartbeatAck { sequence: 3, current: true };
    codec.encode(message.clone(), &mut buffer).expect("encoded");
    assert_eq!(buffer, frame(message));
}

#[test]
fn a_compressed_payload_that_is_invalid_or_too_large_is_refused() {
    for payload in [vec![0xff; 64], miniz_oxide::deflate::compress_to_vec(&vec![0; 9 << 20], 1)] {
        let mut buffer = framed(&payload);
        // The fourth byte of the header marks the payload as compressed.
        buffer[3] = 1;
        let mut codec = FrameCodec::<ControlMessage, ControlMessage>::default();
        assert!(matches!(codec.decode(&mut buffer), Err(FrameError::Packing)));
    }
}
