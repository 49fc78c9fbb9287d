//! Which member serves what, and how fresh it must be.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, BRIEFLY_BOUNDED, LINEARIZABLE, OWN_WRITES, SHORT_STALENESS, World};
use futures_util::future::join_all;
use rstest::rstest;
use std::time::Duration;

#[actix_rt::test]
async fn a_write_reaches_the_primary_once_and_untouched() {
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
async fn a_member_that_lost_the_lead_serves_no_linearizable_read() {
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
async fn a_session_sees_its_own_write_whatever_replicas_lag() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &behind]);
    let mut caller = Caller::start(world.gateways[0], OWN_WRITES, "a").await;
    // A position from before the write, which alone would do for the bound; any member may serve it.
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("write x").await.is_success());
    behind.state.borrow_mut().ran.clear();
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

/// Reads that take long there, so that a replica is the first choice afterwards.
async fn make_primary_slow(world: &World, primary: &Member) {
    primary.state.borrow_mut().work = Duration::from_millis(100);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "slow").await;
    for _ in 0..5 {
        assert!(caller.query("read y").await.is_success());
    }
    primary.state.borrow_mut().work = Duration::ZERO;
}

#[actix_rt::test]
async fn a_write_that_fails_in_a_transaction_says_nothing_against_its_member() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let mut writer = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    primary.state.borrow_mut().writes_to_fail = usize::MAX;
    // So many that the primary, known to be fast, is the first choice of reads.
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
    primary.state.borrow_mut().gone = true;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    let asking = actix_rt::spawn(async move { caller.query("read x").await });
    let told = world.reach.recv().await.expect("the gateway runs");
    assert_eq!((told.member.as_str(), told.reached), ("m1", false));
    primary.state.borrow_mut().gone = false;
    assert!(asking.await.expect("an answer").is_success());
    let told = world.reach.recv().await.expect("the gateway runs");
    assert_eq!((told.member.as_str(), told.reached), ("m1", true));
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
        let before = texts.len().checked_sub(2).map(|place| texts[place].as_str());
        assert_ne!(before, Some("begin"), "{name} read inside a transaction of the primary");
    }
}

/// Positions of one group say nothing of another: a commit in the group that the route led to
/// meanwhile does not take the place of the session's commit in this one.
#[actix_rt::test]
async fn a_session_sees_its_own_write_after_its_route_led_to_another_group_and_back() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let other = Member::start("o1", true, "1.2").await;
    let world = World::with_two_groups(&[&primary, &behind], &[&other]);
    let mut caller = Caller::start(world.gateways[0], OWN_WRITES, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("write x").await.is_success());
    world.move_own_writes(true);
    assert!(caller.query("write y").await.is_success());
    assert_eq!(other.texts(), ["write y"]);
    world.move_own_writes(false);
    make_primary_slow(&world, &primary).await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}

#[rstest]
#[case::alone(&["write x"])]
#[case::in_a_transaction(&["begin", "write x", "commit"])]
#[actix_rt::test]
async fn a_session_whose_commit_has_no_position_reads_at_the_primary(#[case] texts: &[&str]) {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &behind]);
    primary.state.borrow_mut().hides_commits = true;
    let mut caller = Caller::start(world.gateways[0], OWN_WRITES, "a").await;
    assert!(caller.query("read x").await.is_success());
    for text in texts {
        assert!(caller.query(text).await.is_success());
    }
    make_primary_slow(&world, &primary).await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}

/// The caller's transaction rested after its begin, longer than the bound; commits were
/// acknowledged meanwhile.
#[actix_rt::test]
async fn a_transaction_that_rested_before_its_first_read_is_as_fresh_as_that_read() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &behind]);
    let mut caller = Caller::start(world.gateways[0], BRIEFLY_BOUNDED, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("begin read").await.is_success());
    make_primary_slow(&world, &primary).await;
    primary.state.borrow_mut().at.index += 10;
    tokio::time::sleep(SHORT_STALENESS + SHORT_STALENESS / 5).await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}
