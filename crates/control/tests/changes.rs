//! Concurrent changes through different replicas, and resends of changes whose first answer was lost.

mod support;

use awc::http::{Method, StatusCode};
use corktack_control::ControlSettings;
use corktack_control::api::{AnyManifest, ErrorCode};
use corktack_core::resources::ResourceVersion;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use support::operator::{Operator, class_body};
use support::{Cell, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const PATH: &str = "/v1/classes/gold";
/// Rounds of concurrent changes. The schedule decides which change wins a round, but exactly one must.
const ROUNDS: u32 = 30;

#[actix_rt::test]
async fn exactly_one_of_concurrent_changes_through_all_replicas_wins() {
    let cell = Cell::start(3);
    cell.leader().await;
    let operators: Vec<Operator> = cell.replicas.iter().map(|replica| replica.operator()).collect();
    let mut version = operators[0].put_class("gold", 0, Some(0)).await.accepted().resource_version;
    for round in 0..ROUNDS {
        let numbered = operators.iter().zip(1..);
        let changes = numbered.map(|(operator, number)| {
            operator.put_class("gold", round * 10 + number, Some(version.0))
        });
        let answers = join_all(changes).await;
        let winners: Vec<_> =
            answers.iter().filter(|answer| answer.status == StatusCode::OK).collect();
        assert_eq!(winners.len(), 1, "round {round}");
        let stored = winners[0].accepted().resource_version;
        for answer in answers.iter().filter(|answer| answer.status != StatusCode::OK) {
            let loser = answer.refused(StatusCode::CONFLICT);
            assert_eq!((loser.code, loser.stored_version), (ErrorCode::Conflict, Some(stored)));
        }
        version = stored;
    }
    let stored: AnyManifest = operators[0].get(PATH).await.read();
    assert_eq!(stored.metadata().generation, Some(u64::from(ROUNDS) + 1));
}

/// Sends a PUT on a new connection without reading the answer.
async fn send_unread(to: SocketAddr, change_id: &str, body: &Value) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("the replica accepts");
    let body = body.to_string();
    let head = format!(
        "PUT {PATH} HTTP/1.1\r\nHost: test\r\nContent-Type: application/json\r\n\
         Change-Id: {change_id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    stream
}

/// The fault between the lost answer and the resend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    LeaderKilled,
    AllRestarted,
    ReplicaCaughtUpBySnapshot,
}

fn snapshot_every(entries: u64) -> impl Fn(&mut ControlSettings) + Copy {
    move |settings| settings.snapshot_entries = entries
}

/// Injects the fault and returns the index of the replica that gets the resends.
async fn inject(fault: Fault, cell: &mut Cell, adjust: impl Fn(&mut ControlSettings)) -> usize {
    match fault {
        Fault::LeaderKilled => {
            let leader = cell.leader().await;
            drop(cell.replicas[leader].handle.take());
            cell.follower().await
        }
        Fault::AllRestarted => {
            for replica in &mut cell.replicas {
                replica.stop().await;
            }
            for replica in &mut cell.replicas {
                replica.restart(&adjust).await;
            }
            cell.follower().await
        }
        Fault::ReplicaCaughtUpBySnapshot => catch_up_by_snapshot(cell, adjust).await,
    }
}

/// Adds a replica, which gets the earlier changes only from a snapshot, and returns its index.
async fn catch_up_by_snapshot(cell: &mut Cell, adjust: impl Fn(&mut ControlSettings)) -> usize {
    cell.start_joiner(4, adjust);
    cell.add_learner(3).await;
    let operator = cell.replicas[cell.leader().await].operator();
    let newest: AnyManifest = operator.get(PATH).await.read();
    wait_until("the new replica has the state", async || {
        let answer = cell.replicas[3].operator().get(PATH).await;
        (answer.status == StatusCode::OK && answer.read::<AnyManifest>() == newest).then_some(())
    })
    .await;
    3
}

#[rstest]
#[actix_rt::test]
async fn a_resend_after_a_lost_answer_gets_the_first_answer(
    #[values(Fault::LeaderKilled, Fault::AllRestarted, Fault::ReplicaCaughtUpBySnapshot)]
    fault: Fault,
    #[values(4_096, 4)] snapshot_entries: u64,
) {
    let adjust = snapshot_every(snapshot_entries);
    let mut cell = Cell::start_with(3, adjust);
    let leader = cell.leader().await;
    let operator = cell.replicas[cell.follower().await].operator();
    let first = class_body(1, Some(0));
    let unread = send_unread(cell.replicas[leader].operators, "lost-1", &first).await;
    let created: AnyManifest = wait_until("the change is committed", async || {
        let answer = operator.get(PATH).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    drop(unread);
    // A refused change, and enough accepted ones for several snapshots of 4 entries.
    let stale = class_body(9, Some(0));
    let refused = operator.send(Method::PUT, PATH, Some("lost-2"), Some(&stale)).await;
    let refused = refused.refused(StatusCode::CONFLICT);
    for priority in 2..=20 {
        operator.put_class("gold", priority, None).await.accepted();
    }

    let index = inject(fault, &mut cell, adjust).await;

    let operator = cell.replicas[index].operator();
    let before: AnyManifest = operator.get(PATH).await.read();
    assert_eq!(before.metadata().generation, Some(20));
    let resent = operator.send(Method::PUT, PATH, Some("lost-1"), Some(&first)).await.accepted();
    assert_eq!(Some(resent.resource_version), created.metadata().resource_version);
    let resent_stale = operator.send(Method::PUT, PATH, Some("lost-2"), Some(&stale)).await;
    let resent_stale = resent_stale.refused(StatusCode::CONFLICT);
    assert_eq!(resent_stale.stored_version, refused.stored_version);
    assert_eq!(resent_stale.stored_version, Some(resent.resource_version));
    assert_ne!(resent_stale.stored_version, Some(ResourceVersion(0)));
    let after: AnyManifest = operator.get(PATH).await.read();
    assert_eq!(after, before, "a resend changes nothing");
}
