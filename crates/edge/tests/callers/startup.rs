//! Startup of a session, and the faults that may occur in it.

use crate::support::wire::{self, RawCaller, first_message};
use crate::support::{Fixture, connect, error_fields, settings};
use corktack_edge::{Authentication, EdgeSettings, UserSecret};
use corktack_protocol::peer::{EdgeMessage, TransactionStatus};
use pgwire::api::auth::sasl::scram::{SCRAM_ITERATIONS, gen_salted_password};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const SSL_REQUEST: u32 = 80_877_103;
const SALT: [u8; 16] = [7; 16];

fn scram_settings() -> EdgeSettings {
    let salted_password = gen_salted_password("kept", &SALT, SCRAM_ITERATIONS);
    let verifier = UserSecret::Verifier { salt: SALT.to_vec(), salted_password };
    let users = BTreeMap::from([
        ("clerk".to_owned(), UserSecret::Password("secret".to_owned())),
        ("auditor".to_owned(), verifier),
    ]);
    EdgeSettings { authentication: Authentication::ScramSha256 { users }, ..settings() }
}

/// Returns the SQLSTATE and the fields of the only `ErrorResponse`, after which the connection ends.
async fn read_refusal(caller: &mut RawCaller) -> (String, String) {
    let (kind, body) = caller.read().await;
    assert_eq!(kind, 'E', "the refusal comes first");
    assert_eq!(caller.read_to_end().await, "", "the connection is closed after it");
    let text = String::from_utf8(body).expect("refusals are UTF-8");
    assert!(text.contains("SFATAL\0"), "{text:?}");
    let code = text.split('\0').find_map(|field| field.strip_prefix('C'));
    (code.expect("a refusal has a SQLSTATE").to_owned(), text.replace('\0', "|"))
}

async fn expect_served(fixture: &mut Fixture) {
    let caller = fixture.caller().await;
    let (answer, _) =
        futures_util::join!(caller.simple_query("SELECT 1"), fixture.owner.serve_one_request("1"));
    answer.expect("an ordinary caller is still served");
}

#[rstest]
#[case::password("clerk", "secret")]
#[case::verifier("auditor", "kept")]
#[actix_rt::test]
async fn scram_admits_a_user_with_the_right_password(#[case] user: &str, #[case] password: &str) {
    let mut fixture = Fixture::start_with_settings(scram_settings()).await;
    let mut config = fixture.config();
    config.user(user).password(password);
    let caller = connect(&config).await.expect("the password is right");
    let (answer, _) =
        futures_util::join!(caller.simple_query("SELECT 1"), fixture.owner.serve_one_request("1"));
    answer.expect("the session is served");
}

#[rstest]
#[case::wrong_password("clerk", "guess", "cdr")]
#[case::wrong_verifier("auditor", "secret", "cdr")]
#[case::unknown_user("stranger", "secret", "cdr")]
#[case::databases_are_not_revealed_before("clerk", "guess", "nowhere")]
#[actix_rt::test]
async fn scram_refuses_wrong_credentials(
    #[case] user: &str,
    #[case] password: &str,
    #[case] database: &str,
) {
    let mut fixture = Fixture::start_with_settings(scram_settings()).await;
    let mut config = fixture.config();
    config.user(user).password(password).dbname(database);
    let error = connect(&config).await.map(drop).expect_err("it is refused");
    assert_eq!(error_fields(&error).0, "28P01");
    assert!(fixture.owner.received_nothing_more());
}

#[rstest]
#[case::not_a_password(wire::query("SELECT 1"), "08P01")]
#[case::empty(wire::message('p', &[]), "28P01")]
#[case::another_mechanism(wire::message('p', b"PLAIN\0\0\0\0\x01x"), "28P01")]
#[case::false_length(wire::message('p', b"SCRAM-SHA-256\0\x7f\xff\xff\xffn"), "28P01")]
#[case::negative_length(wire::message('p', b"SCRAM-SHA-256\0\xff\xff\xff\xff"), "28P01")]
#[case::not_scram(wire::message('p', b"SCRAM-SHA-256\0\0\0\0\x03abc"), "28P01")]
#[case::too_long(wire::message('p', &[b'x'; 10_000]), "54000")]
#[actix_rt::test]
async fn malformed_authentication_is_refused(#[case] response: Vec<u8>, #[case] code: &str) {
    let fixture = Fixture::start_with_settings(scram_settings()).await;
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    caller.send(&wire::startup(&[("user", "clerk"), ("database", "cdr")])).await;
    assert_eq!(caller.read().await.0, 'R');
    caller.send(&response).await;
    assert_eq!(read_refusal(&mut caller).await.0, code);
}

#[rstest]
#[case::short(vec![0, 0, 0, 3], "08P01")]
#[case::huge(vec![0x7f, 0xff, 0xff, 0xff], "54000")]
#[case::one_above_the_limit(vec![0, 0, 0x20, 0x01], "54000")]
#[case::no_last_zero(first_message(196_608, b"user\0clerk\0"), "08P01")]
#[case::name_without_value(first_message(196_608, b"user\0\0"), "08P01")]
#[case::not_utf8(first_message(196_608, b"user\0\xff\xfe\0\0"), "08P01")]
#[case::old_protocol(first_message(131_072, b"\0"), "0A000")]
#[case::http(b"GET / HTTP/1.1\r\n\r\n".to_vec(), "54000")]
#[case::no_user(wire::startup(&[("database", "cdr")]), "28000")]
#[case::unknown_database(wire::startup(&[("user", "clerk"), ("database", "nowhere")]), "3D000")]
#[case::encoding(
    wire::startup(&[("user", "clerk"), ("database", "cdr"), ("client_encoding", "LATIN1")]), "0A000"
)]
#[case::token(
    wire::startup(&[("user", "clerk"), ("database", "cdr"), ("corktack.token", "x")]), "22023"
)]
#[case::short_cancel(first_message(80_877_102, &[]), "08P01")]
#[actix_rt::test]
async fn malformed_startup_is_refused(#[case] bytes: Vec<u8>, #[case] code: &str) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    caller.send(&bytes).await;
    assert_eq!(read_refusal(&mut caller).await.0, code);
    expect_served(&mut fixture).await;
}

#[rstest]
#[case::nothing_sent(&[])]
#[case::half_a_length(&[0, 0])]
#[case::half_a_message(&[0, 0, 0, 40, 0, 3, 0, 0])]
#[actix_rt::test]
async fn silent_caller_is_refused_after_the_startup_timeout(#[case] bytes: &[u8]) {
    let settings = EdgeSettings { startup_timeout: Duration::from_millis(50), ..settings() };
    let fixture = Fixture::start_with_settings(settings).await;
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    caller.send(bytes).await;
    assert_eq!(read_refusal(&mut caller).await.0, "57P05");
}

#[actix_rt::test]
async fn encryption_is_declined_and_the_session_starts() {
    let fixture = Fixture::start().await;
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    caller.send(&first_message(SSL_REQUEST, &[])).await;
    let mut answer = [0];
    caller.read_bytes(&mut answer).await;
    assert_eq!(answer, [b'N']);
    caller.send(&wire::startup(&[("user", "clerk"), ("database", "cdr")])).await;
    assert!(caller.read_types_until_ready().await.starts_with('R'));
}

#[actix_rt::test]
async fn connection_over_the_limit_is_refused_until_one_ends() {
    let fixture =
        Fixture::start_with_settings(EdgeSettings { connection_limit: 1, ..settings() }).await;
    let first = fixture.caller().await;
    let error = connect(&fixture.config()).await.map(drop).expect_err("the limit is one");
    let (code, text, hint) = error_fields(&error);
    assert_eq!(code, "53300");
    assert!(text.contains("not run"), "{text}");
    assert_eq!(hint.as_deref(), Some("retry_after_ms=1000"));
    drop(first);
    while connect(&fixture.config()).await.is_err() {
        actix_rt::task::yield_now().await;
    }
}

#[actix_rt::test]
async fn cancel_is_accepted_at_the_connection_limit() {
    let mut fixture =
        Fixture::start_with_settings(EdgeSettings { connection_limit: 1, ..settings() }).await;
    let (mut caller, cancel) = RawCaller::start_with_cancel(fixture.edge.address()).await;
    caller.send(&wire::query("SELECT 1")).await;
    let (opened, request) = fixture.owner.expect_open().await;
    let mut other = RawCaller::connect(fixture.edge.address()).await;
    other.send(&cancel).await;
    assert_eq!(other.read_to_end().await, "", "a cancel request gets no answer");
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Cancel { stream: opened });
    fixture.owner.answer_batch(opened, &request.batch, "1", TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn cancel_with_an_unknown_key_is_ignored() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let owner = async {
        let (opened, request) = fixture.owner.expect_open().await;
        for secret in [0_u32, 1, u32::MAX] {
            let key = [1_u32.to_be_bytes(), secret.to_be_bytes()].concat();
            let mut stranger = RawCaller::connect(fixture.edge.address()).await;
            stranger.send(&first_message(80_877_102, &key)).await;
            assert_eq!(stranger.read_to_end().await, "");
        }
        assert!(fixture.owner.received_nothing_more(), "no cancel went to the owner");
        fixture.owner.answer_batch(opened, &request.batch, "1", TransactionStatus::Idle);
    };
    let (answer, ()) = futures_util::join!(caller.simple_query("SELECT 1"), owner);
    answer.expect("the request was not cancelled");
}

/// Returns the salt that the edge sends for a user.
async fn salt_of(fixture: &Fixture, user: &str) -> String {
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    caller.send(&wire::startup(&[("user", user), ("database", "cdr")])).await;
    assert_eq!(caller.read().await.0, 'R');
    let first = b"n,,n=,r=abcdefghijkl";
    let length = u32::try_from(first.len()).expect("it is short").to_be_bytes();
    let response = [&b"SCRAM-SHA-256\0"[..], &length, first].concat();
    caller.send(&wire::message('p', &response)).await;
    let (_, body) = caller.read().await;
    let text = String::from_utf8(body[4..].to_vec()).expect("SCRAM is text");
    let salt = text.split(',').find_map(|part| part.strip_prefix("s="));
    salt.expect("the challenge has a salt").to_owned()
}

#[rstest]
#[case::password("clerk")]
#[case::verifier("auditor")]
#[case::unknown_user("stranger")]
#[actix_rt::test]
async fn salt_does_not_reveal_which_users_exist(#[case] user: &str) {
    let fixture = Fixture::start_with_settings(scram_settings()).await;
    let first = salt_of(&fixture, user).await;
    assert_eq!(salt_of(&fixture, user).await, first, "a user has one salt");
    assert_ne!(salt_of(&fixture, "another").await, first, "and others have others");
}

#[actix_rt::test]
async fn cancel_reaches_a_session_of_any_arbiter() {
    let mut fixture =
        Fixture::start_with_settings(EdgeSettings { arbiters: 4, ..settings() }).await;
    let mut callers = Vec::new();
    for _ in 0..32 {
        let (mut caller, cancel) = RawCaller::start_with_cancel(fixture.edge.address()).await;
        caller.send(&wire::query("SELECT 1")).await;
        let (stream, _) = fixture.owner.expect_open().await;
        let mut other = RawCaller::connect(fixture.edge.address()).await;
        other.send(&cancel).await;
        assert_eq!(other.read_to_end().await, "");
        assert_eq!(fixture.owner.next_message().await, EdgeMessage::Cancel { stream });
        callers.push(caller);
    }
}
