//! Messages of a replica that lost its disk are refused under its old id.

mod support;

use awc::http::StatusCode;
use corktack_control::CellStart;
use corktack_control::api::AnyManifest;
use corktack_core::consensus::{CellMember, Role};
use rstest::rstest;
use serde_json::json;
use support::{Cell, wait_until};

const DISKS_KNOWN: &str = "corktack_control_cell_disks_known";
const DISKS_REFUSED: &str = "corktack_control_cell_disks_refused_total";
const PATH: &str = "/v1/classes/gold";

/// Waits until every replica has stored the disk ids of the other two.
async fn wait_until_disks_stored(cell: &Cell) {
    for replica in &cell.replicas {
        wait_until("the disk ids of the others are stored", async || {
            (replica.metric(DISKS_KNOWN).await == 2).then_some(())
        })
        .await;
    }
}

fn members(cell: &Cell) -> Vec<CellMember> {
    cell.replicas
        .iter()
        .map(|replica| CellMember { id: replica.id, address: replica.cell })
        .collect()
}

/// A cell of three replicas, of which only the stopped leader still stores the newest change. One follower
/// was stopped before that change; the other lost its disk and runs again under its old id.
struct DamagedCell {
    cell: Cell,
    leader: usize,
    outdated: usize,
    lost: usize,
    newest: AnyManifest,
}

async fn lose_a_disk(bootstraps: bool) -> DamagedCell {
    let mut cell = Cell::start(3);
    wait_until_disks_stored(&cell).await;
    let leader = cell.leader().await;
    let outdated = cell.follower().await;
    let lost = 3 - leader - outdated;
    cell.replicas[leader].operator().put_class("gold", 1, None).await.accepted();
    cell.replicas[outdated].stop().await;
    let operator = cell.replicas[leader].operator();
    operator.put_class("gold", 2, None).await.accepted();
    let newest: AnyManifest = operator.get(PATH).await.read();
    for index in [leader, lost] {
        cell.replicas[index].stop().await;
    }
    cell.replicas[lost].lose_disk();
    if !bootstraps {
        cell.replicas[lost].start = CellStart::Join(members(&cell));
    }
    for index in [outdated, lost] {
        cell.replicas[index].restart(&|_| ()).await;
    }
    DamagedCell { cell, leader, outdated, lost, newest }
}

#[rstest]
#[actix_rt::test]
async fn a_replica_that_lost_its_disk_does_not_vote_and_rejoins_as_a_learner(
    #[values(true, false)] bootstraps: bool,
) {
    let DamagedCell { mut cell, leader, outdated, lost, newest } = lose_a_disk(bootstraps).await;
    let elected = wait_until("an election, or a refusal", async || {
        let is_leader = |index: usize| cell.replicas[index].role() == Some(Role::Leader);
        let is_refused = cell.replicas[outdated].metric(DISKS_REFUSED).await > 0;
        (is_refused || is_leader(outdated) || is_leader(lost))
            .then(|| is_leader(outdated) || is_leader(lost))
    })
    .await;
    assert!(!elected, "a replica that lost its disk helped to elect a leader");
    cell.replicas[leader].restart(&|_| ()).await;
    let stored: AnyManifest = wait_until("the two undamaged replicas serve", async || {
        let answer = cell.replicas[outdated].operator().get(PATH).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    assert_eq!(stored, newest);
    assert!(cell.replicas[leader].metric(DISKS_REFUSED).await > 0);

    let mut removed = cell.replicas.remove(lost);
    removed.stop().await;
    cell.start_joiner(4, |_| ());
    cell.add_learner(2).await;
    cell.change_membership(json!({"operation": "promote", "id": 4})).await;
    cell.change_membership(json!({"operation": "remove", "id": removed.id})).await;
    // A second machine is lost right after the repair.
    let leader = cell.leader().await;
    drop(cell.replicas[leader].handle.take());
    let new_leader = cell.leader().await;
    let operator = cell.replicas[new_leader].operator();
    assert_eq!(operator.get(PATH).await.read::<AnyManifest>(), newest);
    operator.put_class("gold", 3, None).await.accepted();
}
