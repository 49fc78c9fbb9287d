//! Connections that silently lose all data without a reset, while new connections work.

mod support;

use awc::http::StatusCode;
use support::{Cell, wait_until};

/// The messages of the leader are lost, although its kernel gets acknowledgements for all of them.
#[actix_rt::test]
async fn a_leader_replaces_a_silent_connection_to_a_follower() {
    let (cell, links) = Cell::start_linked(3, |_| ());
    let leader = cell.leader().await;
    let follower = cell.follower().await;
    let (from, to) = (cell.replicas[leader].id, cell.replicas[follower].id);
    let term_before = cell.replicas[follower].running().status().term;
    links.silence_connection(from, to);
    let change = cell.replicas[leader].operator().put_class("gold", 1, None).await;
    let revision = change.accepted().revision;
    wait_until("the follower has the change", async || {
        let status = cell.replicas[follower].running().status();
        (status.applied_index >= revision.0).then_some(())
    })
    .await;
    let term_after = cell.replicas[follower].running().status().term;
    assert_eq!(term_after, term_before, "the leader was not replaced");
}

/// The follower's messages to the leader are lost while the leader's arrive, and the leader needs this
/// follower for a majority.
#[actix_rt::test]
async fn a_follower_replaces_a_silent_connection_to_the_leader() {
    let (cell, links) = Cell::start_linked(3, |_| ());
    let leader = cell.leader().await;
    let follower = cell.follower().await;
    let other = 3 - leader - follower;
    links.silence_connection(cell.replicas[follower].id, cell.replicas[leader].id);
    links.cut_off(cell.replicas[other].id);
    wait_until("a majority accepts a change", async || {
        let indexes = [leader, follower];
        for index in indexes {
            let change = cell.replicas[index].operator().put_class("gold", 1, None).await;
            if change.status == StatusCode::OK {
                return Some(());
            }
        }
        None
    })
    .await;
}
