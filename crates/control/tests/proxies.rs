//! The watch of proxies: snapshots, deltas, acknowledgements and the state of proxies.

mod support;

use corktack_core::identity::ClassName;
use corktack_core::view::{ProxyState, View};
use support::proxy::Proxy;
use support::{Cell, wait_until};

/// Changes that a disconnected proxy misses; more than the cell of the test keeps.
const MISSED_CHANGES: u32 = 500;

#[actix_rt::test]
async fn a_proxy_gets_every_change_in_order() {
    let cell = Cell::start(3);
    cell.leader().await;
    let follower = &cell.replicas[cell.follower().await];
    let operator = follower.operator();
    let mut proxy = Proxy::connect(follower.proxies, "p-1", View::default()).await;
    let mut newest = Default::default();
    for priority in 1..=20 {
        newest = operator.put_class("gold", priority, None).await.accepted().revision;
    }
    proxy.apply_until(newest).await;
    let gold = ClassName::new("gold").expect("a valid name");
    assert_eq!(proxy.view.classes[&gold].priority, 20);
    assert!(proxy.snapshots + proxy.deltas >= 1);
    let current = wait_until("a confirmation", async || proxy.heartbeat_is_current().await).await;
    assert!(current);
}

#[actix_rt::test]
async fn a_proxy_that_missed_many_changes_gets_a_snapshot() {
    let cell = Cell::start_with(1, |settings| settings.watch_changes = 100);
    cell.leader().await;
    let replica = &cell.replicas[0];
    let operator = replica.operator();
    let mut proxy = Proxy::connect(replica.proxies, "p-1", View::default()).await;
    let first = operator.put_class("gold", 0, None).await.accepted().revision;
    proxy.apply_until(first).await;
    let View { revision, .. } = proxy.view;
    let old_view = std::mem::take(&mut proxy.view);
    drop(proxy);
    let mut newest = revision;
    for priority in 1..=MISSED_CHANGES {
        newest = operator.put_class("gold", priority, None).await.accepted().revision;
    }
    let mut proxy = Proxy::connect(replica.proxies, "p-1", old_view).await;
    proxy.apply_until(newest).await;
    assert_eq!(proxy.snapshots, 1);
    let gold = ClassName::new("gold").expect("a valid name");
    assert_eq!(proxy.view.classes[&gold].priority, MISSED_CHANGES);
}

#[actix_rt::test]
async fn a_replica_that_is_cut_off_serves_no_proxy() {
    let mut cell = Cell::start(3);
    let leader = cell.leader().await;
    let follower = cell.follower().await;
    let operator = cell.replicas[follower].operator();
    operator.put_class("gold", 1, None).await.accepted();
    let address = cell.replicas[follower].proxies;
    let mut proxy = Proxy::connect(address, "p-1", View::default()).await;
    assert_eq!(proxy.heartbeat_is_current().await, Some(true));
    let other =
        (0..3).find(|index| *index != leader && *index != follower).expect("a third replica");
    cell.replicas[other].stop().await;
    cell.replicas[leader].stop().await;
    let confirmed = wait_until("a confirmation fails", async || {
        let confirmed = proxy.heartbeat_is_current().await;
        (confirmed != Some(true)).then_some(confirmed)
    })
    .await;
    assert_eq!(confirmed, Some(false));
    // The replica still has a configuration, and must not send this configuration to a new proxy.
    let mut new_proxy = Proxy::connect(address, "p-2", View::default()).await;
    assert_eq!(new_proxy.apply_next_message().await, None);
}

#[actix_rt::test]
async fn silent_proxies_are_down_and_stopping_ones_are_draining() {
    let cell = Cell::start_with(3, |settings| {
        settings.proxy_heartbeat_timeout = std::time::Duration::from_millis(400);
    });
    cell.leader().await;
    let replica = &cell.replicas[cell.follower().await];
    let operator = replica.operator();
    let mut stopping = Proxy::connect(replica.proxies, "p-stopping", View::default()).await;
    let mut silent = Proxy::connect(replica.proxies, "p-silent", View::default()).await;
    let state = async |name: &str| {
        let status = operator.status().await;
        status.proxies.iter().find(|proxy| proxy.name.as_str() == name).map(|proxy| proxy.state)
    };
    wait_until("both are live", async || {
        stopping.heartbeat_is_current().await;
        silent.heartbeat_is_current().await;
        let live = state("p-stopping").await == Some(ProxyState::Live);
        (live && state("p-silent").await == Some(ProxyState::Live)).then_some(())
    })
    .await;
    drop(silent);
    wait_until("one is draining, one is down", async || {
        stopping.heartbeat(true, Vec::new()).await;
        let draining = state("p-stopping").await == Some(ProxyState::Draining);
        (draining && state("p-silent").await == Some(ProxyState::Down)).then_some(())
    })
    .await;
}
