//! Decoders of files and of peers' frames take any bytes.

mod common;

use common::start_group;
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use corktack_standin::codec::{self, CodecError};
use corktack_standin::{
    AppendRequest, AppendResponse, Circumstances, LOG_FILE_NAME, LogEntry, Member, Promise, Value,
    WriteStatement,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use tempfile::TempDir;

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<i64>().prop_map(Value::Integer),
        (-1e9..1e9).prop_map(Value::Real),
        ".{0,20}".prop_map(Value::Text),
        prop::collection::vec(any::<u8>(), 0..20).prop_map(Value::Blob),
    ]
}

fn entry() -> impl Strategy<Value = LogEntry> {
    let parameters = prop::collection::vec(value(), 0..5);
    let statement =
        (".{0,40}", parameters, any::<u64>()).prop_map(|(sql, parameters, seed)| WriteStatement {
            sql,
            parameters,
            circumstances: Circumstances { timestamp: "2026-12-02 07:00:00".to_owned(), seed },
        });
    let statements = prop::collection::vec(statement, 0..4);
    (any::<u64>(), any::<u64>(), statements).prop_map(|(term, index, statements)| LogEntry {
        term: Term(term),
        index,
        statements,
    })
}

fn request() -> impl Strategy<Value = AppendRequest> {
    let entries = prop::collection::vec(entry().prop_map(Arc::new), 0..5);
    (any::<u64>(), entries).prop_map(|(number, entries)| AppendRequest {
        term: Term(number),
        primary: MemberName::new("cdr-1").expect("the name is valid"),
        term_start: Position { term: Term(number), index: number },
        previous: Position { term: Term(number), index: number },
        entries,
        commit_index: number,
        round: number,
    })
}

proptest! {
    #![proptest_config(fixed(512))]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = codec::decode::<LogEntry>(&bytes);
        let _ = codec::decode::<AppendRequest>(&bytes);
        let _ = codec::decode::<AppendResponse>(&bytes);
        let _ = codec::decode::<Promise>(&bytes);
    }

    #[test]
    fn requests_survive_the_wire(request in request()) {
        let bytes = codec::encode(&request).expect("a request has an encoding");
        prop_assert_eq!(codec::decode::<AppendRequest>(&bytes).expect("it is whole"), request);
    }

    #[test]
    fn damaged_requests_are_decoded_or_refused(
        request in request(),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = codec::encode(&request).expect("a request has an encoding");
        let place = place.index(bytes.len());
        bytes[place] = byte;
        let _ = codec::decode::<AppendRequest>(&bytes);
        bytes.truncate(place);
        prop_assert!(codec::decode::<AppendRequest>(&bytes).is_err());
    }
}

proptest! {
    #![proptest_config(fixed(64))]

    #[test]
    fn any_file_is_a_log_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let folder = TempDir::new().expect("a folder can be made");
        std::fs::write(folder.path().join(LOG_FILE_NAME), &bytes).expect("it can be written");
        let _ = Member::read_log(folder.path());
    }
}

/// A log entry whose only statement claims a text of that many bytes.
fn claiming(length: u64) -> Vec<u8> {
    let mut bytes = vec![1, 1, 1, 253];
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes
}

#[rstest]
#[case::beyond_the_address_space(u64::MAX)]
#[case::beyond_memory(1 << 46)]
#[case::much_for_a_short_input(1 << 24)]
fn a_claim_is_checked_before_it_is_allocated(#[case] length: u64) {
    let error = codec::decode::<LogEntry>(&claiming(length)).expect_err("the text is missing");
    let CodecError::Malformed(error) = error else {
        panic!("{error}");
    };
    assert!(
        matches!(error, bincode::error::DecodeError::LimitExceeded),
        "refused by its claim, not by its end: {error:?}"
    );
}

#[rstest]
#[case::too_long_a_frame(u32::MAX.to_be_bytes().to_vec())]
#[case::no_request([&5_u32.to_be_bytes()[..], &[9; 5]].concat())]
#[case::claiming([&15_u32.to_be_bytes()[..], &[1, 253], &[255; 8], &[0; 5]].concat())]
#[tokio::test]
async fn a_member_outlives_a_peers_bad_frame(#[case] frame: Vec<u8>) {
    let test = start_group();
    for peer in test.group.peers() {
        let mut stream = TcpStream::connect(peer.replication).expect("the member listens");
        stream.write_all(&frame).expect("the member reads");
        let mut answer = Vec::new();
        // A reset is as good as an end: the member drops the connection unread.
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty());
    }
    let mut primary = test.caller(0).await;
    primary.simple("CREATE TABLE calls (id INT)").await.expect("a majority still runs");
}
