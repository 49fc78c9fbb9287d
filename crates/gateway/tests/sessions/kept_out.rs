//! Gateways that may hold connections to a primary and get none: it takes no more.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{LINEARIZABLE, World};

/// Connections that each member takes as far as the gateways know: enough that all of them hold a share.
const CONNECTIONS: u32 = 36;
const GATEWAYS: usize = 3;

/// As after a loss of power, while connections of machines that are gone fill its cap.
async fn nearly_full_primary() -> Member {
    let primary = Member::start("m1", true, "1.5").await;
    primary.state.borrow_mut().connection_limit = 1;
    primary
}

#[actix_rt::test]
async fn all_gateways_write_through_the_one_that_has_a_connection() {
    let primary = nearly_full_primary().await;
    let world = World::start(&[&primary], GATEWAYS, CONNECTIONS);
    primary.asked().await;
    for gateway in &world.gateways {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, "a").await;
        assert!(caller.query("write x").await.is_success());
    }
    assert_eq!(primary.texts(), ["write x"; GATEWAYS]);
    assert_eq!(primary.state.borrow().opened_for.len(), 1);
}

#[actix_rt::test]
async fn a_transaction_is_begun_through_the_one_that_has_a_connection() {
    let primary = nearly_full_primary().await;
    let world = World::start(&[&primary], GATEWAYS, CONNECTIONS);
    primary.asked().await;
    for gateway in &world.gateways {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, "a").await;
        for text in ["begin", "write x", "commit"] {
            assert!(caller.query(text).await.is_success(), "{text}");
        }
    }
    assert_eq!(primary.texts(), ["write x", "commit"].repeat(GATEWAYS));
}
