//! Connections that go silent for good, without a reset, while new ones work.

mod support;

use awc::http::StatusCode;
use support::{Cell, until};

/// What the leader sends goes nowhere, and its kernel is told that all of it arrived.
#[actix_rt::test]
async fn a_replica_whose_leaders_connection_went_silent_is_reached_by_a_new_one() {
    let (cell, links) = Cell::start_linked(3, |_| ());
    let leader = cell.leader().await;
    let follower = cell.follower().await;
    let (from, to) = (cell.replicas[leader].id, cell.replicas[follower].id);
    let before = cell.replicas[follower].running().status().term;
    links.silence(from, to);
    let change = cell.replicas[leader].operator().put_class("gold", 1, None).await;
    let revision = change.accepted().revision;
    until("the follower has the change", async || {
        let status = cell.replicas[follower].running().status();
        (status.applied_index >= revision.0).then_some(())
    })
    .await;
    let after = cell.replicas[follower].running().status().term;
    assert_eq!(after, before, "no leader was replaced for it");
}

/// The way back: the leader hears nothing of a follower that hears it, and needs it for a majority.
#[actix_rt::test]
async fn a_follower_whose_connection_to_the_leader_went_silent_is_heard_again() {
    let (cell, links) = Cell::start_linked(3, |_| ());
    let leader = cell.leader().await;
    let follower = cell.follower().await;
    let other = 3 - leader - follower;
    links.silence(cell.replicas[follower].id, cell.replicas[leader].id);
    links.cut_off(cell.replicas[other].id);
    until("a majority accepts a change", async || {
        let places = [leader, follower];
        for place in places {
            let change = cell.replicas[place].operator().put_class("gold", 1, None).await;
            if change.status == StatusCode::OK {
                return Some(());
            }
        }
        None
    })
    .await;
}
