//! Reading one's own writes by session tokens, across sessions and proxies.

use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, settings};
use corktack_core::position::{Position, Term};
use corktack_edge::Edge;
use corktack_protocol::peer::TransactionStatus;
use prometheus_client::registry::Registry;
use rstest::rstest;

fn position(term: u64, index: u64) -> Position {
    Position { term: Term(term), index }
}

async fn start(address: std::net::SocketAddr, parameters: &[(&str, &str)]) -> RawCaller {
    let mut caller = RawCaller::connect(address).await;
    let user = [("user", "clerk"), ("database", "cdr")];
    caller.send(&wire::startup(&[&user[..], parameters].concat())).await;
    caller.read_types_until_ready().await;
    caller
}

/// Runs a statement whose answer carries this position.
async fn run_with_position(
    fixture: &mut Fixture,
    caller: &mut RawCaller,
    text: &str,
    position: Position,
) {
    caller.send(&wire::query(text)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_position(stream, position);
    fixture.owner.send_data(stream, wire::encode(&[wire::complete("INSERT 0 1")]));
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "SCZ");
}

/// Returns the answer to `SHOW corktack.token`.
async fn show_token(caller: &mut RawCaller) -> String {
    caller.send(&wire::query("SHOW corktack.token")).await;
    assert_eq!(caller.read().await.0, 'T');
    let (_, row) = caller.read().await;
    caller.read_types_until_ready().await;
    String::from_utf8(row[6..].to_vec()).expect("a token is UTF-8")
}

/// Returns the minimum position that the next read requires.
async fn required_position(fixture: &mut Fixture, caller: &mut RawCaller) -> Option<Position> {
    caller.send(&wire::query("SELECT 1")).await;
    let request = fixture.owner.serve_one_request("1").await;
    caller.read_types_until_ready().await;
    request.minimum
}

#[actix_rt::test]
async fn write_is_read_through_another_proxy_by_its_token() {
    let mut fixture = Fixture::start().await;
    let mut registry = Registry::default();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let view = fixture.view.subscribe();
    let other = Edge::start(settings(), listener, view, &mut registry).expect("it starts");
    let mut writer = start(fixture.edge.address(), &[]).await;
    run_with_position(&mut fixture, &mut writer, "INSERT INTO t VALUES (1)", position(3, 41)).await;
    let token = show_token(&mut writer).await;
    assert_eq!(token, "cdr=3/41");
    let mut reader = start(other.address(), &[("corktack.token", &token)]).await;
    assert_eq!(required_position(&mut fixture, &mut reader).await, Some(position(3, 41)));
}

#[actix_rt::test]
async fn session_without_a_token_requires_a_barrier_then_the_position_it_has_seen() {
    let mut fixture = Fixture::start().await;
    let mut caller = start(fixture.edge.address(), &[]).await;
    assert_eq!(required_position(&mut fixture, &mut caller).await, None);
    run_with_position(&mut fixture, &mut caller, "SELECT 1", position(2, 7)).await;
    assert_eq!(required_position(&mut fixture, &mut caller).await, Some(position(2, 7)));
}

#[rstest]
#[case::lower_index(position(3, 40), position(3, 41))]
#[case::lower_term(position(2, 41), position(3, 41))]
#[case::higher_term(position(4, 40), position(4, 41))]
#[actix_rt::test]
async fn position_in_the_token_never_decreases(
    #[case] later: Position,
    #[case] expected: Position,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = start(fixture.edge.address(), &[]).await;
    run_with_position(&mut fixture, &mut caller, "INSERT INTO t VALUES (1)", position(3, 41)).await;
    run_with_position(&mut fixture, &mut caller, "SELECT 1", later).await;
    caller.send(&wire::query("SET corktack.token = 'cdr=1/1'")).await;
    caller.read_types_until_ready().await;
    assert_eq!(show_token(&mut caller).await, format!("cdr={expected}"));
    assert_eq!(required_position(&mut fixture, &mut caller).await, Some(expected));
}

#[actix_rt::test]
async fn position_is_kept_although_the_answer_is_lost() {
    let mut fixture = Fixture::start().await;
    let mut caller = start(fixture.edge.address(), &[]).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_position(stream, position(3, 41));
    fixture.owner.close_connection();
    assert_eq!(caller.read_error_code().await, "08007");
    caller.read_ready_status().await;
    assert_eq!(required_position(&mut fixture, &mut caller).await, Some(position(3, 41)));
}

#[actix_rt::test]
async fn tokens_of_both_startup_parameters_are_merged() {
    let mut fixture = Fixture::start().await;
    let parameters =
        [("corktack.token", "cdr=3/1"), ("options", "-c corktack.token=cdr=1/9 --x=y")];
    let mut caller = start(fixture.edge.address(), &parameters).await;
    assert_eq!(required_position(&mut fixture, &mut caller).await, Some(position(3, 9)));
}

#[actix_rt::test]
async fn size_of_a_session_token_is_bounded() {
    let fixture = Fixture::start().await;
    let mut caller = start(fixture.edge.address(), &[]).await;
    let mut refused = 0;
    for round in 0..3 {
        let parts: Vec<String> = (0..600).map(|n| format!("g{round}-{n}=1/1")).collect();
        let text = format!("SET corktack.token = '{}'", parts.join(","));
        caller.send(&wire::query(&text)).await;
        if caller.read_types_until_ready().await.starts_with('E') {
            refused += 1;
        }
    }
    assert_eq!(refused, 2, "1200 groups are too many");
    assert_eq!(show_token(&mut caller).await.split(',').count(), 600);
}
