//! Statements whose answer is lost: what the caller is promised, what is in doubt, and what is retried.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, SHORT_WAIT, World};

#[actix_rt::test]
async fn a_write_without_an_answer_is_in_doubt_and_never_resent() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    primary.state.borrow_mut().answers_to_lose = 1;
    let answered = caller.query("write x").await;
    assert_eq!(answered.code(), "indoubt");
    assert_eq!(answered.state, "idle");
    assert_eq!(primary.texts(), ["write x"]);
    assert!(caller.query("write y").await.is_success(), "the session continues");
}

#[actix_rt::test]
async fn a_read_without_an_answer_is_retried_at_another_member() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "a").await;
    assert!(caller.query("read x").await.is_success());
    primary.state.borrow_mut().answers_to_lose = 1;
    replica.state.borrow_mut().answers_to_lose = 1;
    let mut lost = 2;
    // A read whose answer is lost is answered by the other member, or times out after losing two answers.
    while lost > 0 {
        let answered = caller.query("read x").await;
        assert!(answered.is_success() || answered.code() == "timeout", "{answered:?}");
        lost = primary.state.borrow().answers_to_lose + replica.state.borrow().answers_to_lose;
    }
}

/// "Not run" is a promise to the caller that the statement did not run; it holds for reads too.
#[actix_rt::test]
async fn a_read_that_ran_without_an_answer_is_not_reported_as_not_run() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], SHORT_WAIT, "a").await;
    assert!(caller.query("read x").await.is_success());
    primary.state.borrow_mut().answers_to_lose = 1;
    primary.state.borrow_mut().stops_after_lost_answer = true;
    let answered = caller.query("read y").await;
    assert_eq!(primary.texts(), ["read x", "read y"]);
    assert_eq!(answered.code(), "timeout");
    assert!(!answered.lines[0].contains("not run"), "{answered:?}");
}

#[actix_rt::test]
async fn a_read_that_failed_at_one_member_is_retried_at_another() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "a").await;
    // A draining primary serves reads only if no other member can.
    world.drain(&primary);
    assert_eq!(caller.query("read x").await.lines, ["row|of m2", "complete|by-m2"]);
    replica.state.borrow_mut().reads_to_fail = 1;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}

#[actix_rt::test]
async fn a_read_that_fails_at_every_attempt_is_reported_as_failed() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    primary.state.borrow_mut().reads_to_fail = usize::MAX;
    assert_eq!(caller.query("read x").await.code(), "failed");
    assert_eq!(primary.texts(), ["read x", "read x"], "as many attempts as the route allows");
}

#[actix_rt::test]
async fn a_transaction_that_lost_its_connection_is_reported_as_aborted() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert_eq!(caller.query("begin").await.state, "open");
    assert!(caller.query("write x").await.is_success());
    primary.state.borrow_mut().answers_to_lose = 1;
    let answered = caller.query("write y").await;
    assert_eq!((answered.code(), answered.state.as_str()), ("aborted", "failed"));
    assert_eq!(caller.query("rollback").await.state, "idle");
    assert!(!primary.texts().contains(&"commit".to_owned()));
}

#[actix_rt::test]
async fn a_commit_without_an_answer_is_in_doubt() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    caller.query("begin").await;
    assert!(caller.query("write x").await.is_success());
    primary.state.borrow_mut().answers_to_lose = 1;
    let answered = caller.query("commit").await;
    assert_eq!((answered.code(), answered.state.as_str()), ("indoubt", "idle"));
    assert_eq!(primary.texts(), ["write x", "commit"]);
}
