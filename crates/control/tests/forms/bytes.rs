//! The bytes of whole frames on a connection: header, checksum and payload.

use bytes::BytesMut;
use corktack_core::identity::{GroupName, Incarnation, ProxyName};
use corktack_core::position::{Position, Term};
use corktack_core::view::{Delta, Revision};
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::peer::{EdgeMessage, OwnerMessage, StreamId};
use corktack_protocol::tunnel::TunnelRequest;
use expect_test::expect;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio_util::codec::Encoder;

/// Encodes a message as a frame, in hexadecimal digits.
fn hex_frame<T: Serialize + DeserializeOwned>(message: T) -> String {
    let mut buffer = BytesMut::new();
    FrameCodec::<T, T>::default().encode(message, &mut buffer).expect("a frame");
    buffer.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn frames_have_their_bytes() {
    let proxy = ProxyName::new("p-1").expect("a valid name");
    let hello = EdgeMessage::Hello { proxy, incarnation: Incarnation(u64::MAX) };
    expect!["010000000000000ea1dd9b930003702d31fdffffffffffffffff"].assert_eq(&hex_frame(hello));
    let position = Position { term: Term(3), index: 70_000 };
    expect!["0100000000000008863071f2020703fc70110100"]
        .assert_eq(&hex_frame(OwnerMessage::Position { stream: StreamId(7), position }));
    let heartbeat = ProxyMessage::Heartbeat {
        sequence: 300,
        revision: Revision(8),
        draining: true,
        observations: Vec::new(),
    };
    expect!["0100000000000007de23e21402fb2c01080100"].assert_eq(&hex_frame(heartbeat));
    let delta = Delta { revision: Revision(1 << 40), changes: Vec::new() };
    expect!["010000000000000bf7070e6001fd000000000001000000"]
        .assert_eq(&hex_frame(ControlMessage::Delta(delta)));
    let request = TunnelRequest::Position {
        group: GroupName::new("calls").expect("a valid name"),
        member: "m-1".parse().expect("a valid name"),
        max_age: Duration::from_millis(250),
        wait: Duration::from_micros(7),
    };
    expect!["010000000000001527e75c5d040563616c6c73036d2d3100fc80b2e60e00fb581b"]
        .assert_eq(&hex_frame(request));
}
