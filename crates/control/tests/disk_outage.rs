//! A replica whose log cannot be written for a time: it gives up its part in the cell, refuses requests at
//! once, and returns by itself.
//!
//! The tests move the folder of the log away, so that the next snapshot or segment cannot be written.

mod support;

use awc::http::StatusCode;
use corktack_control::ControlSettings;
use corktack_control::api::AnyManifest;
use corktack_core::registry::CellRepairSettings;
use corktack_core::resources::ResourceVersion;
use rstest::rstest;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use support::{Cell, TestReplica, wait_until};

const PATH: &str = "/v1/classes/gold";
/// Few entries, so that each change writes a snapshot soon.
const SNAPSHOT_ENTRIES: u64 = 4;
/// Longer than several election timeouts, and longer than the first pauses between two tries.
const LONG_OUTAGE: Duration = Duration::from_secs(3);
/// Silence after which a voter is replaced.
const REPLACE_AFTER: Duration = Duration::from_secs(1);
/// Far below the request timeout, for which a request must not wait.
const AT_ONCE: Duration = Duration::from_secs(1);

fn with_frequent_snapshots(settings: &mut ControlSettings) {
    settings.snapshot_entries = SNAPSHOT_ENTRIES;
}

/// The folder of a replica's log, which can be moved away.
struct LogFolder {
    path: PathBuf,
    away: PathBuf,
}

impl LogFolder {
    fn of(replica: &TestReplica) -> Self {
        let folder = replica.folder.path();
        Self { path: folder.join("test"), away: folder.join("away") }
    }

    fn move_away(&self) {
        std::fs::rename(&self.path, &self.away).expect("the folder is moved");
    }

    fn move_back(&self) {
        std::fs::rename(&self.away, &self.path).expect("the folder is moved back");
    }

    /// Flips a byte in the middle of the oldest segment.
    fn damage(&self) {
        let files = std::fs::read_dir(&self.away).expect("the folder of the log");
        let paths = files.map(|file| file.expect("a file").path());
        let is_segment =
            |path: &PathBuf| path.extension().is_some_and(|extension| extension == "log");
        let file = paths.filter(is_segment).min().expect("a segment");
        let mut bytes = std::fs::read(&file).expect("the segment is read");
        let middle = bytes.len() / 2;
        bytes[middle] ^= 0x20;
        std::fs::write(&file, bytes).expect("the segment is written");
    }
}

/// Makes changes through any replica until the replica at `index` cannot write its log.
async fn change_until_outage(cell: &Cell, index: usize) -> u32 {
    let mut priority = 0;
    wait_until("the log cannot be written", async || {
        priority += 1;
        for replica in &cell.replicas {
            if replica.operator().put_class("gold", priority, None).await.status == StatusCode::OK {
                break;
            }
        }
        let status = cell.replicas[index].running().status();
        status.storage_unwritable_since.map(|_| ())
    })
    .await;
    priority
}

async fn change_through_another(cell: &Cell, index: usize, priority: u32) -> ResourceVersion {
    wait_until("another replica makes a change", async || {
        let other = &cell.replicas[(index + 1) % cell.replicas.len()];
        let answer = other.operator().put_class("gold", priority, None).await;
        (answer.status == StatusCode::OK).then(|| answer.accepted().resource_version)
    })
    .await
}

async fn until_read(replica: &TestReplica, version: ResourceVersion) {
    wait_until("the replica serves the newest change", async || {
        let answer = replica.operator().get(PATH).await;
        let manifest = (answer.status == StatusCode::OK).then(|| answer.read::<AnyManifest>());
        (manifest?.metadata().resource_version == Some(version)).then_some(())
    })
    .await;
}

/// Guards against a replica that serves nothing for ever after a failed write, while its process stays.
#[rstest]
#[case::a_leader_for_a_moment(true, Duration::ZERO)]
#[case::a_leader_for_long(true, LONG_OUTAGE)]
#[case::a_follower_for_a_moment(false, Duration::ZERO)]
#[case::a_follower_for_long(false, LONG_OUTAGE)]
#[actix_rt::test]
async fn a_replica_whose_log_could_not_be_written_serves_again(
    #[case] leads: bool,
    #[case] outage: Duration,
) {
    let cell = Cell::start_with(3, with_frequent_snapshots);
    let index = if leads { cell.leader().await } else { cell.follower().await };
    let replica = &cell.replicas[index];
    let log = LogFolder::of(replica);
    log.move_away();
    let priority = change_until_outage(&cell, index).await;
    change_through_another(&cell, index, priority + 1).await;
    tokio::time::sleep(outage).await;
    log.move_back();
    wait_until("the log can be written", async || {
        replica.running().status().storage_unwritable_since.is_none().then_some(())
    })
    .await;
    let version = change_through_another(&cell, index, priority + 2).await;
    until_read(replica, version).await;
    assert_eq!(replica.metric("corktack_control_storage_unwritable").await, 0);
    assert_eq!(replica.metric("corktack_control_storage_outages_total").await, 1);
    replica.operator().put_class("gold", priority + 3, None).await.accepted();
}

/// Guards against a leader that keeps its followers from an election although it can store nothing: it asks
/// one of them to take over, and refuses requests without waiting for their timeout.
#[actix_rt::test]
async fn a_leader_that_cannot_write_its_log_hands_over_and_refuses_requests_at_once() {
    let cell = Cell::start_with(3, |settings| {
        with_frequent_snapshots(settings);
        // Without the hand-over, no other replica would lead before the test times out.
        settings.election_timeout = Duration::from_secs(60);
        settings.first_election_timeout = Duration::from_millis(300);
    });
    let index = cell.leader().await;
    let replica = &cell.replicas[index];
    let log = LogFolder::of(replica);
    log.move_away();
    let priority = change_until_outage(&cell, index).await;
    let began = Instant::now();
    replica
        .operator()
        .put_class("gold", priority, None)
        .await
        .refused(StatusCode::SERVICE_UNAVAILABLE);
    replica.operator().get(PATH).await.refused(StatusCode::SERVICE_UNAVAILABLE);
    replica.operator().get("/ready").await.refused(StatusCode::SERVICE_UNAVAILABLE);
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    assert_eq!(replica.operator().get("/live").await.status, StatusCode::OK);
    assert_eq!(replica.metric("corktack_control_storage_unwritable").await, 1);
    change_through_another(&cell, index, priority + 1).await;
    log.move_back();
}

/// Guards against a process that stays after its replica has ended: the log is damaged during the outage.
#[actix_rt::test]
async fn a_replica_that_cannot_return_tells_its_process() {
    let cell = Cell::start_with(3, with_frequent_snapshots);
    let index = cell.follower().await;
    let replica = &cell.replicas[index];
    let log = LogFolder::of(replica);
    log.move_away();
    change_until_outage(&cell, index).await;
    log.damage();
    log.move_back();
    let ended = tokio::time::timeout(Duration::from_secs(20), replica.running().ended());
    ended.await.expect("the end is told");
    assert_eq!(replica.operator().get("/live").await.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a voter that is replaced while its disk is full and stays outside when the disk has room
/// again: it is silent as a voter meanwhile, and receives no entry of its removal.
#[actix_rt::test]
async fn a_voter_that_was_replaced_during_an_outage_returns_as_a_learner() {
    let repairing = |settings: &mut ControlSettings| {
        with_frequent_snapshots(settings);
        settings.cell_repair = Some(CellRepairSettings { voters: 3, replace_after: REPLACE_AFTER });
    };
    let mut cell = Cell::start_with(3, repairing);
    let contacts: Vec<_> = cell.replicas.iter().map(|replica| replica.proxies).collect();
    let joining = |own: SocketAddr, settings: &mut ControlSettings| {
        repairing(settings);
        settings.join_addresses.clone_from(&contacts);
        settings.cell_address = Some(own);
    };
    let index = cell.follower().await;
    let own = cell.replicas[index].cell;
    cell.replicas[index].stop().await;
    cell.replicas[index].restart(&|settings: &mut _| joining(own, settings)).await;
    cell.start_join_requester(4, joining);
    let replica = &cell.replicas[index];
    let log = LogFolder::of(replica);
    log.move_away();
    let priority = change_until_outage(&cell, index).await;
    wait_until("another replica votes in its place", async || {
        let status = cell.replicas[3].running().status();
        let voters: Vec<_> = status.cell.voters.iter().map(|voter| voter.id).collect();
        (voters.len() == 3 && !voters.contains(&replica.id)).then_some(())
    })
    .await;
    log.move_back();
    wait_until("the replica is a learner by its own log", async || {
        let learners = replica.running().status().cell.learners;
        learners.iter().any(|learner| learner.id == replica.id).then_some(())
    })
    .await;
    let version = change_through_another(&cell, index, priority + 1).await;
    until_read(replica, version).await;
}
