//! Gateways that hold a share of a primary but get no connection, because the primary is full.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{LINEARIZABLE, World};

/// Connection limit of the member in the document; high enough that each gateway holds a share.
const CONNECTIONS: u32 = 36;
const GATEWAYS: usize = 3;

/// Starts a primary that accepts a single connection, as after a power loss while connections of the lost
/// machines fill its connection cap.
async fn nearly_full_primary() -> Member {
    let primary = Member::start("m1", true, "1.5").await;
    primary.state.borrow_mut().connection_limit = 1;
    primary
}

#[actix_rt::test]
async fn all_gateways_write_through_the_one_that_has_a_connection() {
    let primary = nearly_full_primary().await;
    let world = World::start(&[&primary], GATEWAYS, CONNECTIONS);
    primary.position_requested().await;
    for gateway in &world.gateways {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, "a").await;
        assert!(caller.query("write x").await.is_success());
    }
    assert_eq!(primary.texts(), ["write x"; GATEWAYS]);
    assert_eq!(primary.state.borrow().opened_for.len(), 1);
}

#[actix_rt::test]
async fn all_gateways_begin_transactions_through_the_one_that_has_a_connection() {
    let primary = nearly_full_primary().await;
    let world = World::start(&[&primary], GATEWAYS, CONNECTIONS);
    primary.position_requested().await;
    for gateway in &world.gateways {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, "a").await;
        for text in ["begin", "write x", "commit"] {
            assert!(caller.query(text).await.is_success(), "{text}");
        }
    }
    assert_eq!(primary.texts(), ["write x", "commit"].repeat(GATEWAYS));
}
