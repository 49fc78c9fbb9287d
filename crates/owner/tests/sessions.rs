//! Session consistency against real stand-in groups: replica lag, failover, uncommitted entries of an old
//! primary.

mod support;

use corktack_core::position::Position;
use corktack_protocol::peer::{Access, ServedBy};
use rstest::rstest;
use support::edge::{Answer, TestEdge, query, request};
use support::group::GroupFleet;

const COUNT: &str = "SELECT count(*) FROM charge";

async fn fleet(slots: u32) -> GroupFleet {
    let mut fleet = GroupFleet::start(1, slots).await;
    fleet.sql(0, "CREATE TABLE charge (id INTEGER PRIMARY KEY, note TEXT)").await;
    // The owner has probed all members once it has reported their health.
    for _ in 0..3 {
        fleet.owners[0].observations.recv().await.expect("the owner runs");
    }
    fleet
}

async fn write(edge: &mut TestEdge, note: &str) -> Answer {
    let text = format!("INSERT INTO charge (note) VALUES ('{note}')");
    let mut request = request(Access::Write, query(&text));
    request.timeout_ms = 0;
    let stream = edge.open(request).await;
    edge.answer(stream).await
}

async fn read(edge: &mut TestEdge, minimum: Option<Position>) -> Answer {
    let stream = edge.read(COUNT, minimum).await;
    edge.answer(stream).await
}

#[rstest]
#[actix_rt::test]
async fn a_session_reads_its_own_writes_while_all_replicas_lag() {
    let fleet = fleet(2).await;
    for index in [1, 2] {
        fleet.sql(index, "ALTER SYSTEM SET REPLICATION LAG 600000").await;
    }
    let mut edge = fleet.edge(0).await;
    for number in 1..=5 {
        let written = write(&mut edge, "x").await;
        let token = written.positions.last().copied();
        for minimum in [token, None] {
            let answer = read(&mut edge, minimum).await;
            assert_eq!(answer.rows, [number.to_string()], "{answer:?}");
            assert_eq!(answer.ready.map(|(_, by)| by), Some(ServedBy::Primary));
        }
    }
}

#[rstest]
#[actix_rt::test]
async fn replicas_that_keep_up_serve_reads_that_see_all_earlier_writes() {
    let fleet = fleet(2).await;
    fleet.owners[0].change_group(|group| group.spec.replica_wait_ms = 20_000);
    let mut edge = fleet.edge(0).await;
    for number in 1..=10 {
        let token = write(&mut edge, "x").await.positions.last().copied();
        for minimum in [token, None] {
            let answer = read(&mut edge, minimum).await;
            assert_eq!(answer.rows, [number.to_string()], "{answer:?}");
            assert_eq!(answer.ready.map(|(_, by)| by), Some(ServedBy::Replica));
        }
    }
}

#[rstest]
#[actix_rt::test]
async fn a_lost_tail_of_the_old_primary_is_never_read() {
    let fleet = fleet(4).await;
    let mut edge = fleet.edge(0).await;
    write(&mut edge, "kept").await;
    for index in [1, 2] {
        fleet.sql(index, "ALTER SYSTEM FENCE TERM 2").await;
    }
    // The old primary logs these writes, but no majority accepts them.
    let mut streams = Vec::new();
    for _ in 0..3 {
        streams.push(edge.write("INSERT INTO charge (note) VALUES ('tail')").await);
    }
    let primary = fleet.fail_over(1, 2).await;
    for stream in streams {
        edge.answer(stream).await;
    }
    let token = write(&mut edge, "after").await.positions.last().copied();
    let committed = fleet.sql(primary, COUNT).await;
    fleet.owners[0].change_group(|group| group.spec.replica_wait_ms = 20_000);
    for minimum in [token, None].into_iter().cycle().take(20) {
        let answer = read(&mut edge, minimum).await;
        assert_eq!(answer.rows, committed, "{answer:?}");
    }
}

#[rstest]
#[actix_rt::test]
async fn a_session_keeps_its_writes_across_a_failover() {
    let fleet = fleet(2).await;
    let mut edge = fleet.edge(0).await;
    let mut token = None;
    for _ in 0..3 {
        token = write(&mut edge, "x").await.positions.last().copied();
    }
    fleet.fail_over(2, 2).await;
    for _ in 0..10 {
        let answer = read(&mut edge, token).await;
        assert_eq!(answer.rows, ["3"], "{answer:?}");
    }
}
