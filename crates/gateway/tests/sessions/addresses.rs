//! Tests that after a member's address changes, the gateway uses its whole share of connections at the new
//! one.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{LINEARIZABLE, World};
use futures_util::future::join_all;
use rstest::rstest;
use std::time::Duration;

/// Longest wait for statements that needn't queue; long enough for an overloaded machine.
const SOON: Duration = Duration::from_secs(5);

/// Begins a transaction for each of several new callers, so that each occupies a connection.
async fn begin_each(world: &World, names: &[&'static str]) -> Vec<Caller> {
    let begin = |name: &&'static str| {
        let (gateway, name) = (world.gateways[0], *name);
        async move {
            let mut caller = Caller::start(gateway, LINEARIZABLE, name).await;
            assert!(caller.query("begin").await.is_success());
            let answered = caller.query("read x").await;
            assert!(answered.is_success(), "{name}: {answered:?}");
            caller
        }
    };
    join_all(names.iter().map(begin)).await
}

/// Ends the callers' transactions, and waits until their connections are idle.
async fn end_each(callers: &mut [Caller]) {
    for caller in callers {
        assert!(caller.query("rollback").await.is_success());
        // The gateway answers this without a member, after the connection was returned to the pool.
        assert!(caller.query("set color red").await.is_success());
    }
}

/// Control takes two of a member's connections; the only gateway holds the others.
#[rstest]
#[case::one_connection(3, &["a"], &["b"])]
#[case::two_connections(4, &["a", "b"], &["c", "d"])]
#[actix_rt::test]
async fn idle_connections_to_a_former_address_do_not_count_at_the_new_one(
    #[case] max_connections: u32,
    #[case] before: &[&'static str],
    #[case] after: &[&'static str],
) {
    let mut primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 1, max_connections);
    primary.position_requested().await;
    let mut callers = begin_each(&world, before).await;
    end_each(&mut callers).await;
    let accepted = primary.state.borrow().accepted;
    primary.change_address();
    world.change_address(&primary);
    let served = tokio::time::timeout(SOON, begin_each(&world, after)).await;
    assert!(served.is_ok(), "each is served at once");
    assert_eq!(primary.state.borrow().accepted - accepted, after.len());
}

/// Guards against a wrong count of open connections: connections that were in use when their member was
/// removed are returned to the member that was added again, which had not counted them as open.
#[actix_rt::test]
async fn a_member_that_was_removed_and_added_again_is_used_at_a_new_address() {
    let mut primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 1, 4);
    primary.position_requested().await;
    let mut callers = begin_each(&world, &["a", "b"]).await;
    world.remove(&primary);
    // When the gateway answers, it has applied the removal.
    Caller::start(world.gateways[0], LINEARIZABLE, "c").await;
    world.add(&primary);
    primary.position_requested().await;
    end_each(&mut callers).await;
    primary.change_address();
    world.change_address(&primary);
    let served = tokio::time::timeout(SOON, begin_each(&world, &["d", "e"])).await;
    assert!(served.is_ok(), "each is served at once");
}
