//! A member whose address changes is served at the new one with its whole share of connections.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{LINEARIZABLE, World};
use futures_util::future::join_all;
use rstest::rstest;
use std::time::Duration;

/// Longest wait for statements that find room at once; generous, for a machine with much to do.
const SOON: Duration = Duration::from_secs(5);

/// Begins transactions of new callers, all on connections of their own.
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

/// Ends transactions; their connections are idle afterwards.
async fn end_each(callers: &mut [Caller]) {
    for caller in callers {
        assert!(caller.query("rollback").await.is_success());
        // The session answers this by itself, once the connection has gone back.
        assert!(caller.query("set color red").await.is_success());
    }
}

/// Two connections of a member are control's, and the one gateway holds the others.
#[rstest]
#[case::one_connection(3, &["a"], &["b"])]
#[case::two_connections(4, &["a", "b"], &["c", "d"])]
#[actix_rt::test]
async fn idle_connections_to_a_former_address_take_no_place_at_the_new_one(
    #[case] max_connections: u32,
    #[case] before: &[&'static str],
    #[case] after: &[&'static str],
) {
    let mut primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 1, max_connections);
    primary.asked().await;
    let mut callers = begin_each(&world, before).await;
    end_each(&mut callers).await;
    let accepted = primary.state.borrow().accepted;
    primary.change_address();
    world.change_address(&primary);
    let served = tokio::time::timeout(SOON, begin_each(&world, after)).await;
    assert!(served.is_ok(), "each is served at once");
    assert_eq!(primary.state.borrow().accepted - accepted, after.len());
}

/// Connections that were in use when their member left go to the member that came back, which did
/// not count them as open.
#[actix_rt::test]
async fn a_member_that_left_and_came_back_is_served_at_a_new_address() {
    let mut primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 1, 4);
    primary.asked().await;
    let mut callers = begin_each(&world, &["a", "b"]).await;
    world.remove(&primary);
    // The gateway has followed when it answers.
    Caller::start(world.gateways[0], LINEARIZABLE, "c").await;
    world.add(&primary);
    primary.asked().await;
    end_each(&mut callers).await;
    primary.change_address();
    world.change_address(&primary);
    let served = tokio::time::timeout(SOON, begin_each(&world, &["d", "e"])).await;
    assert!(served.is_ok(), "each is served at once");
}
