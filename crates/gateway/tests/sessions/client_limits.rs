//! Limits of callers: connections, memory, session state, and statements that are sent ahead.

use crate::caller::Caller;
use crate::member::Member;
use crate::wire::MOST_TEXT_BYTES;
use crate::world::{BOUNDED, CALLERS, LINEARIZABLE, World};
use corktack_core::clients::ClientLimits;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than a connection must wait for its client before another may take its place.
const PAUSE: Duration = Duration::from_millis(30);
/// Size of a message that is accounted for, in bytes.
const LARGE: usize = 256 * 1024;

async fn primary() -> Member {
    Member::start("m1", true, "1.5").await
}

fn large_text(verb: &str) -> String {
    format!("{verb} {}", "x".repeat(LARGE))
}

/// Connects and sends a part of a message.
async fn send_half(world: &World, bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(world.gateways[0]).await.expect("the gateway listens");
    stream.write_all(b"start|").await.expect("the gateway reads");
    stream.write_all("x".repeat(bytes).as_bytes()).await.expect("the gateway reads");
    stream
}

/// Returns what the gateway sends until it closes the connection.
async fn received(mut stream: TcpStream) -> String {
    let mut text = String::new();
    // The connection may be reset.
    let _ = stream.read_to_string(&mut text).await;
    text
}

// Guards against a crowd of idle sessions that keeps callers out.
#[actix_rt::test]
async fn a_new_caller_takes_the_place_of_the_longest_idle_session() {
    let primary = primary().await;
    let limits = ClientLimits { max_connections: 2, ..CALLERS };
    let world = World::with_client_limits(&[&primary], limits);
    let longest_idle = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let mut other = Caller::start(world.gateways[0], LINEARIZABLE, "b").await;
    tokio::time::sleep(PAUSE).await;
    assert!(other.query("read x").await.is_success());
    let mut new = Caller::start(world.gateways[0], LINEARIZABLE, "c").await;
    assert!(new.query("read x").await.is_success());
    assert!(longest_idle.closes_silently().await);
    assert!(other.query("read x").await.is_success());
}

// Guards against a transaction that is lost because callers come.
#[actix_rt::test]
async fn a_caller_is_refused_if_all_others_are_in_transactions() {
    let primary = primary().await;
    let limits = ClientLimits { max_connections: 1, ..CALLERS };
    let world = World::with_client_limits(&[&primary], limits);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("begin").await.is_success());
    tokio::time::sleep(PAUSE).await;
    let stream = TcpStream::connect(world.gateways[0]).await.expect("the gateway listens");
    let refusal = received(stream).await;
    assert!(refusal.starts_with("error|busy|not run: all connections are in use"), "{refusal}");
    assert!(caller.query("write x").await.is_success());
    assert!(caller.query("commit").await.is_success());
}

// Guards against messages sent half-way that keep a whole one from being served.
#[actix_rt::test]
async fn a_message_gets_the_memory_of_one_sent_half_way_for_long() {
    let primary = primary().await;
    let limits = ClientLimits { max_bytes: 10 * LARGE, ..CALLERS };
    let world = World::with_client_limits(&[&primary], limits);
    let half = send_half(&world, 4 * LARGE).await;
    tokio::time::sleep(PAUSE).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query(&large_text("read")).await.is_success());
    let refusal = received(half).await;
    assert!(refusal.starts_with("error|busy|not run: no memory for the message"), "{refusal}");
}

// Guards against a refusal that ends a session, and against a promise about a statement that ran.
#[rstest]
#[case::outside_a_transaction(&[], "busy", "idle")]
#[case::in_a_transaction(&["begin", "write x"], "aborted", "failed")]
#[actix_rt::test]
async fn a_statement_without_memory_is_refused_and_not_run(
    #[case] before: &[&str],
    #[case] code: &str,
    #[case] state: &str,
) {
    let primary = primary().await;
    // There is room for the message, and not for running it.
    let limits = ClientLimits { max_bytes: 4 * LARGE, ..CALLERS };
    let world = World::with_client_limits(&[&primary], limits);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    for text in before {
        assert!(caller.query(text).await.is_success());
    }
    let refused = caller.query(&large_text("write")).await;
    assert_eq!((refused.code(), refused.state.as_str()), (code, state), "{refused:?}");
    assert!(!primary.texts().iter().any(|text| text.len() > LARGE));
    if !before.is_empty() {
        assert!(caller.query("rollback").await.is_success());
    }
    assert!(caller.query("read x").await.is_success());
}

// Guards against a session that takes the memory of a gateway and of its members.
#[actix_rt::test]
async fn a_value_beyond_the_limit_is_refused_and_changes_nothing() {
    let primary = primary().await;
    let world = World::with_client_limits(&[&primary], CALLERS);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let value = "x".repeat(1024 * 1024);
    assert!(caller.query(&format!("set v1 {value}")).await.is_success(), "one message is served");
    let refused = caller.query(&format!("set v2 {value}")).await;
    assert_eq!(refused.code(), "failed", "{refused:?}");
    assert!(caller.query(&format!("set v1 {value}")).await.is_success(), "it is replaced");
    assert!(caller.query("set v2 y").await.is_success());
}

// Guards against a connection of the pool that keeps the values of a session.
#[actix_rt::test]
async fn a_connection_with_large_values_is_not_kept() {
    let primary = primary().await;
    let world = World::with_client_limits(&[&primary], CALLERS);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query(&large_text("set v1")).await.is_success());
    assert!(caller.query("read x").await.is_success());
    let large = primary.state.borrow().statements.last().expect("a statement").connection;
    let mut other = Caller::start(world.gateways[0], LINEARIZABLE, "b").await;
    for _ in 0..3 {
        assert!(other.query("read x").await.is_success());
    }
    let state = primary.state.borrow();
    let later = state.statements.iter().rev().take_while(|ran| ran.id.starts_with("b-"));
    assert!(later.map(|ran| ran.connection).all(|connection| connection != large));
}

// Guards against a read that the member refuses because the gateway has made it longer than the limit.
#[actix_rt::test]
async fn a_read_without_room_for_a_position_goes_to_the_primary() {
    let primary = primary().await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_client_limits(&[&primary, &replica], CALLERS);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "a").await;
    let text = format!("read {}", "x".repeat(MOST_TEXT_BYTES));
    assert!(caller.query(&text).await.is_success());
    assert!(primary.texts().contains(&text));
    assert!(replica.texts().is_empty());
}
