//! Frames against damage: no panic, no unbounded allocation, a typed error.

use bytes::{BufMut, BytesMut};
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::{FrameCodec, FrameError, HEADER_BYTES, PAYLOAD_LIMIT, decode};
use corktack_protocol::peer::{EdgeMessage, OwnerMessage, StreamId};
use proptest::prelude::*;
use rstest::rstest;
use tokio_util::codec::{Decoder, Encoder};

type EdgeCodec = FrameCodec<EdgeMessage, EdgeMessage>;

fn hello() -> EdgeMessage {
    let proxy = ProxyName::new("proxy-1").expect("valid name");
    EdgeMessage::Hello { proxy, incarnation: Incarnation(7) }
}

fn encoded(messages: &[EdgeMessage]) -> BytesMut {
    let mut buffer = BytesMut::new();
    for message in messages {
        EdgeCodec::default().encode(message.clone(), &mut buffer).expect("encodes");
    }
    buffer
}

#[rstest]
fn messages_come_back_whole_however_the_bytes_are_cut(#[values(1, 2, 3, 5, 11, 64)] piece: usize) {
    let sent = vec![hello(), EdgeMessage::Close { stream: StreamId(3) }, hello()];
    let bytes = encoded(&sent);
    let mut codec = EdgeCodec::default();
    let mut buffer = BytesMut::new();
    let mut received = Vec::new();
    for chunk in bytes.chunks(piece) {
        buffer.put_slice(chunk);
        while let Some(message) = codec.decode(&mut buffer).expect("no damage") {
            received.push(message);
        }
    }
    assert_eq!(received, sent);
    assert!(buffer.is_empty());
}

#[rstest]
fn every_flipped_bit_is_an_error_or_waits_for_more() {
    let whole = encoded(&[hello()]);
    for position in 0..whole.len() * 8 {
        let mut damaged = whole.clone();
        damaged[position / 8] ^= 1 << (position % 8);
        let outcome = EdgeCodec::default().decode(&mut damaged);
        assert!(!matches!(outcome, Ok(Some(_))), "bit {position} went unnoticed");
    }
}

#[rstest]
fn an_oversized_frame_is_refused_from_its_header_alone() {
    let mut buffer = BytesMut::new();
    buffer.put_u32(1 << 24);
    buffer.put_u32(PAYLOAD_LIMIT as u32 + 1);
    buffer.put_u32(0);
    let error = EdgeCodec::default().decode(&mut buffer).expect_err("too large");
    assert!(matches!(error, FrameError::TooLarge(length) if length == PAYLOAD_LIMIT + 1));
}

#[rstest]
fn another_version_is_refused() {
    let mut buffer = encoded(&[hello()]);
    buffer[0] = 2;
    let error = EdgeCodec::default().decode(&mut buffer).expect_err("other version");
    assert!(matches!(error, FrameError::Version(2)));
}

#[rstest]
fn a_message_that_is_too_large_is_refused_before_it_is_sent() {
    let stream = StreamId(1);
    let message = OwnerMessage::Data { stream, messages: vec![0; PAYLOAD_LIMIT] };
    let mut buffer = BytesMut::new();
    let mut codec = FrameCodec::<OwnerMessage, OwnerMessage>::default();
    let error = codec.encode(message, &mut buffer).expect_err("too large");
    assert!(matches!(error, FrameError::TooLarge(_)));
    assert!(buffer.is_empty(), "nothing of a refused message may be sent");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<EdgeMessage>(&bytes);
        let _ = decode::<OwnerMessage>(&bytes);
        let _ = decode::<ProxyMessage>(&bytes);
        let _ = decode::<ControlMessage>(&bytes);
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = EdgeCodec::default().decode(&mut buffer);
    }

    #[test]
    fn a_payload_with_a_right_checksum_never_panics(payload in prop::collection::vec(any::<u8>(), 0..256)) {
        let mut buffer = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        buffer.put_u32(1 << 24);
        buffer.put_u32(payload.len() as u32);
        buffer.put_u32(crc32fast::hash(&payload));
        buffer.put_slice(&payload);
        let _ = EdgeCodec::default().decode(&mut buffer);
    }
}
