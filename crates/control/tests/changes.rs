//! Changes raced through different replicas, and resends whose first answer was lost.

mod support;

use awc::http::{Method, StatusCode};
use corktack_control::ControlSettings;
use corktack_control::api::{AnyManifest, ErrorCode};
use corktack_core::resources::ResourceVersion;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use support::operator::{Operator, class};
use support::{Cell, until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const PATH: &str = "/v1/classes/gold";
/// Races; who wins one depends on the schedule, that one wins does not.
const ROUNDS: u32 = 30;

#[actix_rt::test]
async fn of_changes_raced_through_every_replica_exactly_one_wins() {
    let cell = Cell::start(3);
    cell.leader().await;
    let operators: Vec<Operator> = cell.replicas.iter().map(|it| it.operator()).collect();
    let mut version = operators[0].put_class("gold", 0, Some(0)).await.accepted().resource_version;
    for round in 0..ROUNDS {
        let racing = operators.iter().zip(1..);
        let racing = racing.map(|(operator, place)| {
            operator.put_class("gold", round * 10 + place, Some(version.0))
        });
        let answers = join_all(racing).await;
        let won: Vec<_> = answers.iter().filter(|it| it.status == StatusCode::OK).collect();
        assert_eq!(won.len(), 1, "round {round}");
        let stored = won[0].accepted().resource_version;
        for lost in answers.iter().filter(|it| it.status != StatusCode::OK) {
            let lost = lost.refused(StatusCode::CONFLICT);
            assert_eq!((lost.code, lost.stored_version), (ErrorCode::Conflict, Some(stored)));
        }
        version = stored;
    }
    let last: AnyManifest = operators[0].get(PATH).await.read();
    assert_eq!(last.metadata().generation, Some(u64::from(ROUNDS) + 1));
}

/// Sends a PUT on a connection of its own and never reads the answer.
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

/// What happens between a lost answer and the resend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    LeaderKilled,
    AllRestarted,
    ReplicaCaughtUpBySnapshot,
}

fn snapshot_every(entries: u64) -> impl Fn(&mut ControlSettings) + Copy {
    move |settings| settings.snapshot_entries = entries
}

/// Brings the fault about; gives the place of the replica that takes the resends.
async fn bring_about(
    fault: Fault,
    cell: &mut Cell,
    adjust: impl Fn(&mut ControlSettings),
) -> usize {
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

/// A replica that joins an old cell knows the changes before only from a snapshot.
async fn catch_up_by_snapshot(cell: &mut Cell, adjust: impl Fn(&mut ControlSettings)) -> usize {
    cell.join(4, adjust);
    cell.add_learner(3).await;
    let operator = cell.replicas[cell.leader().await].operator();
    let newest: AnyManifest = operator.get(PATH).await.read();
    until("the newcomer has the state", async || {
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
    let first = class(1, Some(0));
    let unread = send_unread(cell.replicas[leader].operators, "lost-1", &first).await;
    let created: AnyManifest = until("the change is committed", async || {
        let answer = operator.get(PATH).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    drop(unread);
    // One that was refused, and enough others for several snapshots of four entries.
    let stale = class(9, Some(0));
    let refused = operator.send(Method::PUT, PATH, Some("lost-2"), Some(&stale)).await;
    let refused = refused.refused(StatusCode::CONFLICT);
    for priority in 2..=20 {
        operator.put_class("gold", priority, None).await.accepted();
    }

    let place = bring_about(fault, &mut cell, adjust).await;

    let operator = cell.replicas[place].operator();
    let before: AnyManifest = operator.get(PATH).await.read();
    assert_eq!(before.metadata().generation, Some(20));
    let resent = operator.send(Method::PUT, PATH, Some("lost-1"), Some(&first)).await.accepted();
    assert_eq!(Some(resent.resource_version), created.metadata().resource_version);
    let again = operator.send(Method::PUT, PATH, Some("lost-2"), Some(&stale)).await;
    let again = again.refused(StatusCode::CONFLICT);
    assert_eq!(again.stored_version, refused.stored_version);
    assert_eq!(again.stored_version, Some(resent.resource_version));
    assert_ne!(again.stored_version, Some(ResourceVersion(0)));
    let after: AnyManifest = operator.get(PATH).await.read();
    assert_eq!(after, before, "a resend changes nothing");
}
