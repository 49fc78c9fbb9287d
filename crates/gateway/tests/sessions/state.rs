//! Tests of session values, prepared names and transactions on pooled connections.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{LINEARIZABLE, World};

#[actix_rt::test]
async fn a_connection_has_exactly_the_values_of_the_session() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    primary.position_requested().await;
    let mut first = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let mut second = Caller::start(world.gateways[0], LINEARIZABLE, "b").await;
    first.query("set color red").await;
    assert!(first.query("write x").await.is_success());
    assert!(second.query("write y").await.is_success());
    let before = primary.on_connection_of("a-2");
    assert_eq!(before, ["set color red", "write x"]);
    // If the second session got the first one's connection, the value was reset before its statement.
    let before = primary.on_connection_of("b-1");
    if before.len() > 1 {
        assert_eq!(before, ["set color red", "write x", "reset", "write y"]);
    }
}

#[actix_rt::test]
async fn prepared_names_of_sessions_do_not_clash() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut first = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let mut second = Caller::start(world.gateways[0], LINEARIZABLE, "b").await;
    first.query("prepare s q1").await;
    second.query("prepare s q2").await;
    assert!(first.query("execute s 7").await.is_success());
    assert!(second.query("execute s 8").await.is_success());
    let prepared = |id: &str| {
        let texts = primary.on_connection_of(id);
        let name = texts.last().and_then(|text| text.split(' ').nth(1)).expect("a name").to_owned();
        let prepare = format!("prepare {name} ");
        let mut shapes =
            texts.iter().filter_map(|text| text.strip_prefix(&prepare).map(str::to_owned));
        shapes.next_back().expect("it was prepared on the connection")
    };
    assert_eq!(prepared("a-2"), "q1");
    assert_eq!(prepared("b-2"), "q2");
}

#[actix_rt::test]
async fn an_unknown_prepared_name_is_refused_without_a_member() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(!caller.query("execute s 7").await.is_success());
    assert!(primary.texts().is_empty());
}

#[actix_rt::test]
async fn a_transaction_stays_on_its_connection_and_others_stay_off_it() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    primary.position_requested().await;
    let mut first = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let mut second = Caller::start(world.gateways[0], LINEARIZABLE, "b").await;
    first.query("begin").await;
    assert!(first.query("write x").await.is_success());
    assert!(second.query("write y").await.is_success());
    assert!(first.query("write z").await.is_success());
    let answered = first.query("commit").await;
    assert_eq!((answered.is_success(), answered.state.as_str()), (true, "idle"));
    assert_eq!(primary.on_connection_of("a-4"), ["begin", "write x", "write z", "commit"]);
    assert!(!primary.on_connection_of("b-1").contains(&"begin".to_owned()));
}

#[actix_rt::test]
async fn after_a_failure_only_the_end_of_the_transaction_is_accepted() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    caller.query("begin").await;
    assert_eq!(caller.query("begin").await.state, "failed");
    assert_eq!(caller.query("write x").await.state, "failed");
    let ended = caller.query("commit").await;
    assert_eq!((ended.code(), ended.state.as_str()), ("aborted", "idle"));
    assert!(primary.texts().is_empty());
}

#[actix_rt::test]
async fn an_invalid_message_is_refused_before_the_connection_ends() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let answers = caller.answers_to("nonsense\n").await;
    assert_eq!(answers, ["error|malformed|no message of the wire"]);
    assert!(primary.texts().is_empty());
}

/// Begins a transaction, writes in it, and leaves it idle until the gateway has rolled it back.
async fn idle_past_limit(world: &World, primary: &Member) -> Caller {
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    caller.query("begin").await;
    assert!(caller.query("write x").await.is_success());
    let mut other = Caller::start(world.gateways[0], LINEARIZABLE, "b").await;
    let rolled_back = || primary.state.borrow().statements.iter().any(|ran| ran.text == "rollback");
    while !rolled_back() {
        other.query("set color red").await;
    }
    caller
}

#[actix_rt::test]
async fn a_transaction_that_was_idle_for_too_long_is_reported_as_rolled_back() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_short_idle_limit(&[&primary]);
    primary.position_requested().await;
    let mut caller = idle_past_limit(&world, &primary).await;
    let answered = caller.query("write y").await;
    assert_eq!((answered.code(), answered.state.as_str()), ("aborted", "failed"));
    assert_eq!(caller.query("write z").await.code(), "malformed", "the rollback was reported");
    assert_eq!(caller.query("rollback").await.state, "idle");
    assert_eq!(primary.texts(), ["write x"]);
}

#[actix_rt::test]
async fn the_commit_of_a_transaction_that_was_idle_for_too_long_is_refused() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_short_idle_limit(&[&primary]);
    primary.position_requested().await;
    let mut caller = idle_past_limit(&world, &primary).await;
    let answered = caller.query("commit").await;
    assert_eq!((answered.code(), answered.state.as_str()), ("aborted", "idle"));
    assert_eq!(primary.texts(), ["write x"]);
}
