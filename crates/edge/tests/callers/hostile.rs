//! Arbitrary bytes on a caller's connection cause no panic, and other callers are still served.
//!
//! The cases come from fixed seeds. Each case is complete before its result is checked: the caller
//! closes its side and reads the edge's answer to the end.

use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, settings};
use corktack_edge::{Authentication, EdgeSettings, UserSecret};
use corktack_protocol::peer::{EdgeMessage, TransactionStatus};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Once;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const CASES: u32 = 256;

/// Panics on arbiter threads. A panicking task ends alone without another sign, so the panic hook
/// counts them.
static PANICS: AtomicUsize = AtomicUsize::new(0);
static PANIC_HOOK: Once = Once::new();

fn count_panics() {
    PANIC_HOOK.call_once(|| {
        let default = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            let thread = std::thread::current();
            if thread.name().is_some_and(|name| name.contains("arbiter")) {
                PANICS.fetch_add(1, Ordering::SeqCst);
            }
            default(panic);
        }));
    });
}

fn expect_no_panic() {
    assert_eq!(PANICS.load(Ordering::SeqCst), 0, "a thread of an edge panicked");
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// Generates the inputs for a seed.
fn inputs(seed: u64, strategy: impl Strategy<Value = Vec<u8>>) -> Vec<Vec<u8>> {
    let mut runner = TestRunner::new(config(seed));
    let mut input = || {
        let tree = strategy.new_tree(&mut runner).expect("the strategy rejects nothing");
        proptest::strategy::ValueTree::current(&tree)
    };
    (0..CASES).map(|_| input()).collect()
}

/// Generates frames of any type with arbitrary bodies, with correct or arbitrary lengths, and truncated
/// at any point.
fn frames() -> impl Strategy<Value = Vec<u8>> {
    let message_type = prop_oneof![
        4 => prop::sample::select(b"QPBDECSHXpdcfF".to_vec()),
        1 => any::<u8>(),
    ];
    let body = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..64),
        prop::collection::vec(prop::sample::select(vec![0_u8, 1, b'S', b'P', 0xff]), 0..32),
        "(SELECT 1|BEGIN|COMMIT|SHOW corktack.token|[a-z;' $]{0,12})"
            .prop_map(|text| { [text.as_bytes(), &[0]].concat() }),
    ];
    let length = prop_oneof![8 => Just(None), 1 => any::<u32>().prop_map(Some)];
    let frame = (message_type, body, length).prop_map(|(message_type, body, length)| {
        let right = u32::try_from(body.len() + 4).expect("bodies are short");
        [&[message_type][..], &length.unwrap_or(right).to_be_bytes(), &body].concat()
    });
    (prop::collection::vec(frame, 1..8), any::<prop::sample::Index>(), any::<bool>()).prop_map(
        |(frames, cut, is_cut)| {
            let mut bytes = frames.concat();
            if is_cut {
                bytes.truncate(cut.index(bytes.len()));
            }
            bytes
        },
    )
}

/// Generates first messages: arbitrary bytes, or any code and body with a correct length.
fn first_messages() -> impl Strategy<Value = Vec<u8>> {
    let codes = vec![196_608, 196_610, 131_072, 80_877_102, 80_877_103, 80_877_104, 0, u32::MAX];
    let body = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..64),
        prop::collection::vec(prop::sample::select(vec![0_u8, b'u', b's', b'e', b'r']), 0..64),
        Just(b"user\0clerk\0database\0cdr\0\0".to_vec()),
    ];
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..64),
        (prop::sample::select(codes), body, frames()).prop_map(|(code, body, rest)| [
            wire::first_message(code, &body),
            rest
        ]
        .concat()),
    ]
}

/// Sends the bytes, closes the sending side, and reads the answer to the end.
async fn send_and_close(mut caller: RawCaller, bytes: &[u8]) {
    // The edge may end the session before it has read all bytes.
    let _ = caller.stream.write_all(bytes).await;
    let _ = caller.stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = caller.stream.read_to_end(&mut answer).await;
}

/// Answers every request at once, in a background task.
fn answer_all(fixture: Fixture) -> (SocketAddr, actix_rt::task::JoinHandle<()>) {
    let address = fixture.edge.address();
    let serving = actix_rt::spawn(async move {
        let mut fixture = fixture;
        loop {
            let (stream, batch) = match fixture.owner.next_message().await {
                EdgeMessage::Open { stream, request } => (stream, request.batch),
                EdgeMessage::Batch { stream, batch } => (stream, batch),
                _ => continue,
            };
            fixture.owner.answer_batch(stream, &batch, "1", TransactionStatus::Idle);
        }
    });
    (address, serving)
}

async fn expect_served(address: SocketAddr) {
    let mut caller = RawCaller::start(address).await;
    caller.send(&wire::query("SELECT 1")).await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn any_first_bytes_cause_no_panic() {
    count_panics();
    let (address, serving) = answer_all(Fixture::start().await);
    for bytes in inputs(1, first_messages()) {
        send_and_close(RawCaller::connect(address).await, &bytes).await;
    }
    expect_served(address).await;
    expect_no_panic();
    assert!(!serving.is_finished(), "the owner got only well-formed messages");
}

#[actix_rt::test]
async fn any_bytes_in_a_session_cause_no_panic() {
    count_panics();
    let (address, serving) = answer_all(Fixture::start().await);
    for bytes in inputs(2, frames()) {
        send_and_close(RawCaller::start(address).await, &bytes).await;
    }
    expect_served(address).await;
    expect_no_panic();
    assert!(!serving.is_finished(), "the owner got only well-formed messages");
}

#[actix_rt::test]
async fn any_bytes_instead_of_a_password_cause_no_panic() {
    count_panics();
    let users = BTreeMap::from([("clerk".to_owned(), UserSecret::Password("x".to_owned()))]);
    let authentication = Authentication::ScramSha256 { users };
    let fixture = Fixture::start_with_settings(EdgeSettings { authentication, ..settings() }).await;
    let address = fixture.edge.address();
    let message = (prop::collection::vec(any::<u8>(), 0..64), any::<bool>(), frames()).prop_map(
        |(data, named, rest)| {
            let length = u32::try_from(data.len()).expect("it is short").to_be_bytes();
            let body = [&b"SCRAM-SHA-256\0"[..], &length, &data].concat();
            let response = wire::message('p', if named { &body } else { &data });
            [response, rest].concat()
        },
    );
    for bytes in inputs(3, message) {
        let mut caller = RawCaller::connect(address).await;
        caller.send(&wire::startup(&[("user", "clerk"), ("database", "cdr")])).await;
        assert_eq!(caller.read().await.0, 'R');
        send_and_close(caller, &bytes).await;
    }
    let mut config = fixture.config();
    config.password("x");
    crate::support::connect(&config).await.expect("other callers are admitted");
    expect_no_panic();
}

#[actix_rt::test]
async fn message_over_the_limit_is_refused_at_its_header() {
    let (address, _serving) = answer_all(Fixture::start().await);
    for message_type in "QPBDE".chars() {
        let mut caller = RawCaller::start(address).await;
        let header = [&[message_type as u8][..], &u32::MAX.to_be_bytes()].concat();
        caller.send(&header).await;
        assert_eq!(caller.read_error_code().await, "54000");
        assert_eq!(caller.read_to_end().await, "");
    }
}

#[actix_rt::test]
async fn batch_over_the_limit_is_refused_and_not_buffered() {
    let limited = EdgeSettings { message_limit: 64 * 1024, ..settings() };
    let (address, _serving) = answer_all(Fixture::start_with_settings(limited).await);
    let mut caller = RawCaller::start(address).await;
    let parse = wire::message('P', format!("\0SELECT '{}'\0\0\0", "x".repeat(1_000)).as_bytes());
    for _ in 0..1_000 {
        caller.send(&parse).await;
    }
    caller.send(&wire::message('S', &[])).await;
    assert_eq!(caller.read_error_code().await, "54000");
    assert_eq!(caller.read_ready_status().await, 'I');
}
