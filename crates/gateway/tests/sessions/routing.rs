//! Tests of the choice of members: which member serves a statement, and how fresh the member must be.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, OWN_WRITES, SHORT_BOUNDED, SHORT_STALENESS, World};
use futures_util::future::join_all;
use rstest::rstest;
use std::time::Duration;

#[actix_rt::test]
async fn a_write_reaches_the_primary_once_and_unchanged() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let answered = caller.query("write x 1 2 3").await;
    assert_eq!(answered.lines, ["complete|by-m1"]);
    assert_eq!(answered.state, "idle");
    assert_eq!(primary.texts(), ["write x 1 2 3"]);
    assert!(replica.texts().is_empty());
}

#[actix_rt::test]
async fn a_linearizable_read_runs_inside_a_transaction_of_the_primary() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
    assert_eq!(primary.on_connection_of("a-1"), ["begin", "read x"]);
}

#[actix_rt::test]
async fn a_former_primary_serves_no_linearizable_read() {
    let former = Member::start("m1", true, "1.5").await;
    let next = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&former, &next]);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("read x").await.is_success());
    former.state.borrow_mut().primary = false;
    next.state.borrow_mut().primary = true;
    let answered = caller.until_served("read x").await;
    assert_eq!(answered.lines, ["row|of m2", "complete|by-m2"]);
    assert_eq!(former.texts(), ["read x"], "only the read before the change ran there");
}

#[actix_rt::test]
async fn a_session_sees_its_own_write_however_far_replicas_lag() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &behind]);
    let mut caller = Caller::start(world.gateways[0], OWN_WRITES, "a").await;
    // Records a position from before the write, which on its own would satisfy the bound; any member may
    // serve this read.
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("write x").await.is_success());
    behind.state.borrow_mut().statements.clear();
    make_primary_slow(&world, &primary).await;
    for _ in 0..5 {
        assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
    }
    assert!(behind.texts().is_empty());
}

#[actix_rt::test]
async fn a_bounded_read_may_be_served_by_a_replica() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "a").await;
    assert!(caller.query("read x").await.is_success());
    make_primary_slow(&world, &primary).await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m2", "complete|by-m2"]);
}

/// Runs reads that take long at the primary, so that a replica is the first choice for later reads.
async fn make_primary_slow(world: &World, primary: &Member) {
    primary.state.borrow_mut().statement_time = Duration::from_millis(100);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "slow").await;
    for _ in 0..5 {
        assert!(caller.query("read y").await.is_success());
    }
    primary.state.borrow_mut().statement_time = Duration::ZERO;
}

#[actix_rt::test]
async fn a_write_that_fails_in_a_transaction_does_not_count_against_its_member() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let mut writer = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    primary.state.borrow_mut().writes_to_fail = usize::MAX;
    // Enough statements that the gateway knows the primary as fast and chooses it first for reads.
    for _ in 0..30 {
        assert!(writer.query("begin").await.is_success());
        assert_eq!(writer.query("write x").await.code(), "failed");
        assert!(writer.query("rollback").await.is_success());
    }
    let mut reader = Caller::start(world.gateways[0], BOUNDED, "b").await;
    assert_eq!(reader.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}

#[actix_rt::test]
async fn a_replica_behind_the_bound_serves_no_bounded_read() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.4").await;
    let world = World::with_one_gateway(&[&primary, &behind]);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "a").await;
    for _ in 0..10 {
        assert_eq!(caller.query("read x").await.lines[0], "row|of m1");
    }
    assert!(behind.texts().is_empty());
}

#[actix_rt::test]
async fn an_unknown_database_is_refused_at_the_start() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_one_gateway(&[&primary]);
    let stream = std::net::TcpStream::connect(world.gateways[0]).expect("the gateway listens");
    stream.set_nonblocking(true).expect("a socket of the runtime");
    let mut stream = tokio::net::TcpStream::from_std(stream).expect("a socket of the runtime");
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    stream.write_all(b"start|elsewhere|a\n").await.expect("the gateway reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("the gateway answers and closes");
    assert_eq!(answer, "error|nodb|elsewhere\n");
}

#[actix_rt::test]
async fn a_member_that_closes_connections_before_they_are_ready_counts_as_unreachable() {
    let primary = Member::start("m1", true, "1.5").await;
    let mut world = World::with_one_gateway(&[&primary]);
    primary.state.borrow_mut().is_gone = true;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let reading = actix_rt::spawn(async move { caller.query("read x").await });
    let report = world.reach.recv().await.expect("the gateway runs");
    assert_eq!((report.member.as_str(), report.reached), ("m1", false));
    primary.state.borrow_mut().is_gone = false;
    assert!(reading.await.expect("an answer").is_success());
    let report = world.reach.recv().await.expect("the gateway runs");
    assert_eq!((report.member.as_str(), report.reached), ("m1", true));
}

#[actix_rt::test]
async fn the_first_reads_of_a_gateway_wait_for_a_position_and_do_not_all_go_to_the_primary() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut callers = Vec::new();
    for name in names {
        callers.push(Caller::start(world.gateways[0], BOUNDED, name).await);
    }
    let answers = join_all(callers.iter_mut().map(|caller| caller.query("read x"))).await;
    assert!(answers.iter().all(|answered| answered.is_success()), "{answers:?}");
    for name in names {
        let texts = primary.on_connection_of(&format!("{name}-1"));
        let before = texts.len().checked_sub(2).map(|index| texts[index].as_str());
        assert_ne!(before, Some("begin"), "{name} read inside a transaction of the primary");
    }
}

/// Positions of different groups can't be compared: a commit in the group to which the route moved in the
/// meantime must not replace the session's commit in the first group.
#[actix_rt::test]
async fn a_session_sees_its_own_write_after_its_route_moved_to_another_group_and_back() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let other = Member::start("o1", true, "1.2").await;
    let world = World::with_two_groups(&[&primary, &behind], &[&other]);
    let mut caller = Caller::start(world.gateways[0], OWN_WRITES, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("write x").await.is_success());
    world.move_own_writes_route(true);
    assert!(caller.query("write y").await.is_success());
    assert_eq!(other.texts(), ["write y"]);
    world.move_own_writes_route(false);
    make_primary_slow(&world, &primary).await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}

#[rstest]
#[case::outside_a_transaction(&["write x"])]
#[case::in_a_transaction(&["begin", "write x", "commit"])]
#[actix_rt::test]
async fn a_session_whose_commit_has_no_position_reads_at_the_primary(#[case] texts: &[&str]) {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &behind]);
    primary.state.borrow_mut().omits_commit_positions = true;
    let mut caller = Caller::start(world.gateways[0], OWN_WRITES, "a").await;
    assert!(caller.query("read x").await.is_success());
    for text in texts {
        assert!(caller.query(text).await.is_success());
    }
    make_primary_slow(&world, &primary).await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}

/// The transaction is idle after its begin for longer than the staleness bound, and commits are acknowledged
/// in that time. The bound must count from the first read, not from the begin.
#[actix_rt::test]
async fn a_transaction_that_was_idle_before_its_first_read_is_as_fresh_as_that_read() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &behind]);
    let mut caller = Caller::start(world.gateways[0], SHORT_BOUNDED, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("begin read").await.is_success());
    make_primary_slow(&world, &primary).await;
    primary.state.borrow_mut().position.index += 10;
    tokio::time::sleep(SHORT_STALENESS + SHORT_STALENESS / 5).await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}
