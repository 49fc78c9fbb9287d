//! What replicas serve while they are partitioned from the majority, and after they dropped old changes.

mod support;

use awc::http::StatusCode;
use corktack_control::ControlSettings;
use corktack_control::api::{AnyManifest, ErrorCode, ResourceList};
use corktack_core::identity::ClassName;
use corktack_core::view::{Revision, View};
use rstest::rstest;
use std::time::Duration;
use support::proxy::Proxy;
use support::{Cell, wait_until};

/// Changes made while a proxy is disconnected.
const MISSED_CHANGES: u32 = 500;
const PATH: &str = "/v1/classes/gold";

fn short_requests(settings: &mut ControlSettings) {
    settings.request_timeout = Duration::from_millis(500);
}

#[rstest]
#[actix_rt::test]
async fn a_partitioned_replica_serves_nothing_stale_and_its_proxy_moves_on(
    #[values(true, false)] partition_leader: bool,
) {
    let (cell, links) = Cell::start_linked(3, short_requests);
    let index = if partition_leader { cell.leader().await } else { cell.follower().await };
    let (partitioned, other) = (&cell.replicas[index], &cell.replicas[(index + 1) % 3]);
    let operator = partitioned.operator();
    let first = operator.put_class("gold", 1, None).await.accepted().revision;
    let mut proxy = Proxy::connect(partitioned.proxies, "p-1", View::default()).await;
    proxy.apply_until(first).await;
    let mut lines = operator.watch(first.0).await.ok().expect("a watch");

    links.cut_off(partitioned.id);
    let newest = wait_until("the majority accepts a change", async || {
        let answer = other.operator().put_class("gold", 2, None).await;
        (answer.status == StatusCode::OK).then(|| answer.accepted().revision)
    })
    .await;

    let read = operator.get(PATH).await.refused(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(read.code, ErrorCode::Unavailable);
    let list = operator.get("/v1/classes").await.refused(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(list.code, ErrorCode::Unavailable);
    let watch = operator.watch(first.0).await.err().expect("no watch");
    assert_eq!(watch.refused(StatusCode::SERVICE_UNAVAILABLE).code, ErrorCode::Unavailable);
    assert!(lines.next().await.is_none(), "the open watch ends without an event");
    let proof = wait_until("a proof fails", async || {
        let proof = proxy.heartbeat_is_current().await;
        (proof != Some(true)).then_some(proof)
    })
    .await;
    assert_eq!((proof, proxy.view.revision), (Some(false), first));
    let mut new_proxy = Proxy::connect(partitioned.proxies, "p-2", View::default()).await;
    assert_eq!(new_proxy.apply_next_message().await, None, "no snapshot is sent");

    // The proxy connects to another replica with its view, and gets only the changes that it lacks.
    let mut proxy = Proxy::connect(other.proxies, "p-1", proxy.view).await;
    proxy.apply_until(newest).await;
    assert!(proxy.heartbeat_is_current().await.expect("the connection goes on"));

    links.heal();
    let stored: AnyManifest = wait_until("the replica is current again", async || {
        let answer = operator.get(PATH).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    assert_eq!(stored.metadata().generation, Some(2));
    let mut new_proxy = Proxy::connect(partitioned.proxies, "p-3", View::default()).await;
    new_proxy.apply_until(newest).await;
}

#[actix_rt::test]
async fn each_change_is_sent_as_one_delta_of_a_higher_revision() {
    let cell = Cell::start(3);
    cell.leader().await;
    let replica = &cell.replicas[cell.follower().await];
    let operator = replica.operator();
    let first = operator.put_class("gold", 0, None).await.accepted().revision;
    let mut proxy = Proxy::connect(replica.proxies, "p-1", View::default()).await;
    proxy.apply_until(first).await;
    // The proxy's own registration may still arrive as a delta; after it, only the changes below do.
    wait_until("the proxy is registered", async || {
        proxy.heartbeat_is_current().await;
        (proxy.view.proxies.len() == 1).then_some(())
    })
    .await;
    let gold = ClassName::new("gold").expect("a valid name");
    let (snapshots, deltas) = (proxy.snapshots, proxy.deltas);
    let mut last = proxy.view.revision;
    for priority in 1..=50 {
        let revision = operator.put_class("gold", priority, None).await.accepted().revision;
        assert!(revision > last);
        last = revision;
        // The proxy's view refuses deltas that are not newer than its revision.
        proxy.apply_until(revision).await;
        assert_eq!((proxy.view.revision, proxy.view.classes[&gold].priority), (revision, priority));
    }
    assert_eq!((proxy.snapshots, proxy.deltas), (snapshots, deltas + 50));
}

/// Makes [`MISSED_CHANGES`] changes and returns the revisions before and after them.
async fn make_changes(cell: &Cell) -> (Revision, Revision) {
    let operator = cell.replicas[cell.leader().await].operator();
    let first = operator.put_class("gold", 0, None).await.accepted().revision;
    let mut newest = first;
    for priority in 1..=MISSED_CHANGES {
        newest = operator.put_class("gold", priority, None).await.accepted().revision;
    }
    (first, newest)
}

#[actix_rt::test]
async fn after_a_restart_from_a_snapshot_watchers_list_again_and_proxies_get_a_snapshot() {
    let adjust = |settings: &mut ControlSettings| settings.snapshot_entries = 64;
    let mut cell = Cell::start_with(3, adjust);
    let (first, newest) = make_changes(&cell).await;
    for replica in &mut cell.replicas {
        replica.stop().await;
    }
    for replica in &mut cell.replicas {
        replica.restart(&adjust).await;
    }
    cell.leader().await;
    let gold = ClassName::new("gold").expect("a valid name");
    for replica in &cell.replicas {
        let operator = replica.operator();
        let refused =
            operator.watch(first.0).await.err().expect("no watch from a dropped revision");
        assert_eq!(refused.refused(StatusCode::GONE).code, ErrorCode::TooOld);
        let list: ResourceList = operator.get("/v1/classes").await.read();
        assert!(list.revision >= newest);
        assert!(operator.watch(list.revision.0).await.is_ok());
        let old_view = View { revision: first, ..View::default() };
        let mut proxy = Proxy::connect(replica.proxies, "p-1", old_view).await;
        proxy.apply_until(newest).await;
        assert_eq!((proxy.snapshots, proxy.view.classes[&gold].priority), (1, MISSED_CHANGES));
    }
}

#[actix_rt::test]
async fn a_replica_caught_up_by_a_snapshot_tells_watchers_to_list_again() {
    let adjust = |settings: &mut ControlSettings| settings.snapshot_entries = 8;
    let mut cell = Cell::start_with(3, adjust);
    let (first, newest) = make_changes(&cell).await;
    let lagging = cell.follower().await;
    let old_manifest: AnyManifest = cell.replicas[lagging].operator().get(PATH).await.read();
    cell.replicas[lagging].stop().await;
    // More changes than the leader keeps in its log for lagging replicas.
    let operator = cell.replicas[cell.leader().await].operator();
    let mut latest = newest;
    for priority in 0..1_500 {
        latest = operator.put_class("gold", priority, None).await.accepted().revision;
    }
    cell.replicas[lagging].restart(&adjust).await;
    let operator = cell.replicas[lagging].operator();
    let stored: AnyManifest = wait_until("the replica has caught up", async || {
        let answer = operator.get(PATH).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    assert!(stored.metadata().resource_version > old_manifest.metadata().resource_version);
    for dropped in [first, newest] {
        let refused =
            operator.watch(dropped.0).await.err().expect("no watch from a dropped revision");
        assert_eq!(refused.refused(StatusCode::GONE).code, ErrorCode::TooOld);
    }
    assert!(operator.watch(latest.0).await.is_ok());
}
