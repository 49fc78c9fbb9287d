//! Restarts, network partitions and membership changes of a cell.

mod support;

use awc::http::{Method, StatusCode};
use corktack_control::api::{AnyManifest, ErrorCode, ResourceList};
use corktack_core::consensus::Role;
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use support::operator::class_body;
use support::{Cell, wait_until};

#[rstest]
#[case::from_the_log(4_096)]
#[case::from_a_snapshot(8)]
#[actix_rt::test]
async fn accepted_changes_survive_a_restart_of_all_replicas(#[case] snapshot_entries: u64) {
    let adjust = |settings: &mut corktack_control::ControlSettings| {
        settings.snapshot_entries = snapshot_entries;
    };
    let mut cell = Cell::start_with(3, adjust);
    let leader = cell.leader().await;
    let operator = cell.replicas[leader].operator();
    for priority in 1..=30 {
        operator.put_class("gold", priority, None).await.accepted();
    }
    let before: AnyManifest = operator.get("/v1/classes/gold").await.read();
    for replica in &mut cell.replicas {
        replica.stop().await;
    }
    for replica in &mut cell.replicas {
        replica.restart(&adjust).await;
    }
    cell.leader().await;
    for replica in &cell.replicas {
        let after: AnyManifest = replica.operator().get("/v1/classes/gold").await.read();
        assert_eq!(after, before);
    }
}

#[actix_rt::test]
async fn a_leader_without_a_majority_answers_nothing_stale() {
    let adjust = |settings: &mut corktack_control::ControlSettings| {
        settings.request_timeout = Duration::from_millis(500);
    };
    let mut cell = Cell::start_with(3, adjust);
    let leader = cell.leader().await;
    let operator = cell.replicas[leader].operator();
    wait_until("a change", async || {
        let answer = operator.put_class("gold", 1, None).await;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await;
    for index in (0..3).filter(|index| *index != leader) {
        cell.replicas[index].stop().await;
    }
    let read = operator.get("/v1/classes/gold").await;
    assert!(read.retry_after);
    assert_eq!(read.refused(StatusCode::SERVICE_UNAVAILABLE).code, ErrorCode::Unavailable);
    assert_eq!(operator.get("/ready").await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(operator.get("/live").await.status, StatusCode::OK);
    assert!(!operator.status().await.current);
    let body = class_body(2, None);
    let path = "/v1/classes/gold";
    let unanswered = operator.send(Method::PUT, path, Some("change-2"), Some(&body)).await;
    let unanswered = unanswered.refused(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(unanswered.change_id.as_deref(), Some("change-2"));
    // The others come back. The resend is accepted once, whether or not the first request took effect.
    for index in (0..3).filter(|index| *index != leader) {
        cell.replicas[index].restart(&adjust).await;
    }
    wait_until("the resend is accepted", async || {
        let answer = operator.send(Method::PUT, path, Some("change-2"), Some(&body)).await;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await;
    let stored: AnyManifest = operator.get(path).await.read();
    assert_eq!(stored.metadata().generation, Some(2));
}

#[actix_rt::test]
async fn a_planned_stop_transfers_leadership() {
    let mut cell = Cell::start(3);
    let leader = cell.leader().await;
    let term = cell.replicas[leader].running().status().term;
    cell.replicas[leader].stop().await;
    let new_leader = cell.leader().await;
    assert_ne!(new_leader, leader);
    // A transfer raises the term once; an election after a timeout may need several.
    assert_eq!(cell.replicas[new_leader].running().status().term.0, term.0 + 1);
}

#[actix_rt::test]
async fn a_lost_disk_is_replaced_by_a_learner_under_a_new_id() {
    let adjust = |settings: &mut corktack_control::ControlSettings| {
        settings.snapshot_entries = 8;
    };
    let mut cell = Cell::start_with(3, adjust);
    let leader = cell.leader().await;
    let operator = cell.replicas[leader].operator();
    for priority in 1..=20 {
        operator.put_class("gold", priority, None).await.accepted();
    }
    let lost = (0..3).find(|index| *index != leader).expect("a follower");
    let lost_id = cell.replicas[lost].id;
    cell.replicas[lost].stop().await;
    cell.start_joiner(4, adjust);
    let address = cell.replicas[3].cell;
    let changes = [
        json!({"operation": "addLearner", "id": 4, "address": address}),
        json!({"operation": "promote", "id": 4}),
        json!({"operation": "remove", "id": lost_id}),
    ];
    for change in &changes {
        wait_until("the cell changes", async || {
            let answer = operator.send(Method::POST, "/v1/cell", None, Some(change)).await;
            let allowed = [StatusCode::NO_CONTENT, StatusCode::CONFLICT];
            assert!(allowed.contains(&answer.status), "{:?}", answer.body);
            (answer.status == StatusCode::NO_CONTENT).then_some(())
        })
        .await;
    }
    // A second machine is lost right after the repair, so the majority needs the new replica.
    let third = (0..3).find(|index| *index != leader && *index != lost).expect("a third");
    cell.replicas[third].stop().await;
    let new_replica = &cell.replicas[3];
    wait_until("the new replica is a follower", async || {
        (new_replica.role() == Some(Role::Follower)).then_some(())
    })
    .await;
    let list: ResourceList = wait_until("the new replica answers", async || {
        let answer = new_replica.operator().get("/v1/classes").await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    assert_eq!(list.items.len(), 1);
    new_replica.operator().put_class("gold", 21, None).await.accepted();
}

/// Bytes between regions cost more than the time to compress them. The follower is brought up to date by
/// one append of many similar entries.
#[actix_rt::test]
async fn large_messages_between_replicas_are_compressed() {
    let (cell, links) = Cell::start_linked(3, |_| ());
    let leader = cell.leader().await;
    let follower = cell.follower().await;
    links.cut_off(cell.replicas[follower].id);
    let operator = cell.replicas[leader].operator();
    for priority in 1..=150 {
        operator.put_class("gold", priority, None).await.accepted();
    }
    assert_eq!(links.compressed_frames(), 0, "a single change is too small to compress");
    links.heal();
    let leader_index = cell.replicas[leader].running().status().applied_index;
    wait_until("the follower has the changes", async || {
        let status = cell.replicas[follower].running().status();
        (status.applied_index >= leader_index).then_some(())
    })
    .await;
    assert!(links.compressed_frames() > 0, "the append is compressed");
}
