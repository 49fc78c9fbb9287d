//! A replica that lost its disk is not heard under its old id.

mod support;

use awc::http::StatusCode;
use corktack_control::CellStart;
use corktack_control::api::AnyManifest;
use corktack_core::consensus::{CellMember, Role};
use rstest::rstest;
use serde_json::json;
use support::{Cell, until};

const DISKS_KNOWN: &str = "corktack_control_cell_disks_known";
const DISKS_REFUSED: &str = "corktack_control_cell_disks_refused_total";
const PATH: &str = "/v1/classes/gold";

/// Waits until every replica has seen the disks of the others.
async fn all_have_met(cell: &Cell) {
    for replica in &cell.replicas {
        until("the others are known", async || {
            (replica.metric(DISKS_KNOWN).await == 2).then_some(())
        })
        .await;
    }
}

fn members(cell: &Cell) -> Vec<CellMember> {
    cell.replicas.iter().map(|it| CellMember { id: it.id, address: it.cell }).collect()
}

/// A cell of three where only the leader's disk still holds the newest change: a
/// follower was away, the other lost its disk and runs again under its old id.
struct Remains {
    cell: Cell,
    leader: usize,
    away: usize,
    lost: usize,
    accepted: AnyManifest,
}

async fn lose_a_disk(founds_again: bool) -> Remains {
    let mut cell = Cell::start(3);
    all_have_met(&cell).await;
    let leader = cell.leader().await;
    let away = cell.follower().await;
    let lost = 3 - leader - away;
    cell.replicas[leader].operator().put_class("gold", 1, None).await.accepted();
    cell.replicas[away].stop().await;
    let operator = cell.replicas[leader].operator();
    operator.put_class("gold", 2, None).await.accepted();
    let accepted: AnyManifest = operator.get(PATH).await.read();
    for place in [leader, lost] {
        cell.replicas[place].stop().await;
    }
    cell.replicas[lost].lose_disk();
    if !founds_again {
        cell.replicas[lost].start = CellStart::Join(members(&cell));
    }
    for place in [away, lost] {
        cell.replicas[place].restart(&|_| ()).await;
    }
    Remains { cell, leader, away, lost, accepted }
}

#[rstest]
#[actix_rt::test]
async fn a_replica_without_its_disk_does_not_vote_and_comes_back_as_a_learner(
    #[values(true, false)] founds_again: bool,
) {
    let Remains { mut cell, leader, away, lost, accepted } = lose_a_disk(founds_again).await;
    let elected = until("an election, or a refusal", async || {
        let leads = |place: usize| cell.replicas[place].role() == Some(Role::Leader);
        let refused = cell.replicas[away].metric(DISKS_REFUSED).await > 0;
        (refused || leads(away) || leads(lost)).then(|| leads(away) || leads(lost))
    })
    .await;
    assert!(!elected, "a replica without its disk helped to elect a leader");
    cell.replicas[leader].restart(&|_| ()).await;
    let stored: AnyManifest = until("the two whole replicas serve", async || {
        let answer = cell.replicas[away].operator().get(PATH).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    assert_eq!(stored, accepted);
    assert!(cell.replicas[leader].metric(DISKS_REFUSED).await > 0);

    let mut gone = cell.replicas.remove(lost);
    gone.stop().await;
    cell.join(4, |_| ());
    cell.add_learner(2).await;
    cell.change(json!({"operation": "promote", "id": 4})).await;
    cell.change(json!({"operation": "remove", "id": gone.id})).await;
    // The second machine, lost right after the repair.
    let leader = cell.leader().await;
    drop(cell.replicas[leader].handle.take());
    let next = cell.leader().await;
    let operator = cell.replicas[next].operator();
    assert_eq!(operator.get(PATH).await.read::<AnyManifest>(), accepted);
    operator.put_class("gold", 3, None).await.accepted();
}
