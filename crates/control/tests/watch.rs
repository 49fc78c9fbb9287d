//! The watch of operators, and the proxies on the status page.

mod support;

use awc::http::StatusCode;
use corktack_control::api::{ErrorCode, ResourceList, WatchEventType};
use corktack_core::view::{ProxyState, View};
use support::proxy::Proxy;
use support::{Cell, wait_until};

#[actix_rt::test]
async fn a_watch_from_a_list_misses_nothing() {
    let cell = Cell::start(3);
    let leader = cell.leader().await;
    let writer = cell.replicas[leader].operator();
    let watcher = cell.replicas[cell.follower().await].operator();
    writer.put_class("gold", 1, None).await.accepted();
    let list: ResourceList = watcher.get("/v1/classes").await.read();
    let mut lines = watcher.watch(list.revision.0).await.ok().expect("a watch");
    let replaced = writer.put_class("gold", 2, None).await.accepted();
    let added = writer.put_class("iron", 1, None).await.accepted();
    let path = "/v1/classes/gold";
    writer.send(awc::http::Method::DELETE, path, None, None).await.accepted();
    let mut received = Vec::new();
    for _ in 0..3 {
        let line = lines.next().await.expect("the stream stays open");
        let event = &line.events[0];
        received.push((event.event_type, event.object.metadata().name.clone(), line.revision));
    }
    assert_eq!(received[0], (WatchEventType::Modified, "gold".to_owned(), replaced.revision));
    assert_eq!(received[1], (WatchEventType::Added, "iron".to_owned(), added.revision));
    assert_eq!((received[2].0, received[2].1.as_str()), (WatchEventType::Deleted, "gold"));
}

#[actix_rt::test]
async fn a_watch_from_a_revision_that_is_no_longer_kept_must_list_again() {
    let cell = Cell::start_with(1, |settings| settings.watch_changes = 4);
    cell.leader().await;
    let operator = cell.replicas[0].operator();
    let first = operator.put_class("c0", 1, None).await.accepted();
    for number in 1..=5 {
        operator.put_class(&format!("c{number}"), 1, None).await.accepted();
    }
    for revision in [first.revision.0, u64::MAX] {
        let refused = operator.watch(revision).await.err().expect("no watch");
        assert_eq!(refused.refused(StatusCode::GONE).code, ErrorCode::TooOld);
    }
}

#[actix_rt::test]
async fn status_shows_where_the_newest_revision_is_in_force() {
    let cell = Cell::start(3);
    let leader = cell.leader().await;
    let operator = cell.replicas[cell.follower().await].operator();
    let mut ahead = Proxy::connect(cell.replicas[leader].proxies, "p-ahead", View::default()).await;
    let follower = cell.follower().await;
    let mut behind =
        Proxy::connect(cell.replicas[follower].proxies, "p-behind", View::default()).await;
    wait_until("both proxies are registered", async || {
        ahead.heartbeat_is_current().await;
        behind.heartbeat_is_current().await;
        let status = operator.status().await;
        (status.in_force.on == 2 && status.in_force.of == 2).then_some(())
    })
    .await;
    let stale = behind.view.revision;
    operator.put_class("gold", 1, None).await.accepted();
    let status = wait_until("one proxy has the newest revision", async || {
        ahead.heartbeat_is_current().await;
        // This proxy reports its old revision, as if it had applied nothing more.
        behind.view.revision = stale;
        behind.heartbeat(false, Vec::new()).await;
        let status = operator.status().await;
        (status.in_force.on == 1).then_some(status)
    })
    .await;
    assert!(status.current);
    assert_eq!(status.in_force.summary, "in force on 1 of 2 proxies, not on: p-behind");
    assert_eq!(status.members.len(), 3);
    assert!(status.proxies.iter().all(|proxy| proxy.state == ProxyState::Live));
}
