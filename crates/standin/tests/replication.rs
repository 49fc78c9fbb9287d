//! Replication of a group: acknowledgement, lag, fence, promotion, restart.

#![allow(clippy::unwrap_used)]

mod common;

use common::{client, eventually, sqlstate, start_group, start_group_with};
use corktack_core::backend::{MemberRole, SHOW_READ_INDEX, fence_statement, promote_statement};
use corktack_core::position::{Position, Term};
use corktack_standin::Member;
use rstest::rstest;
use std::time::Duration;

const CREATE: &str = "CREATE TABLE flags (line TEXT PRIMARY KEY, set_by TEXT)";

#[rstest]
#[tokio::test]
async fn a_write_is_read_back_and_reaches_replicas() {
    let test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.unwrap();
    primary.simple("INSERT INTO flags VALUES ('54-11', 'clerk')").await.unwrap();
    let committed = primary.position().unwrap();
    assert_eq!(committed, Position { term: Term(1), index: 2 });
    let rows = primary.simple("SELECT set_by FROM flags").await.unwrap();
    assert_eq!(rows, vec![vec![Some("clerk".to_owned())]]);
    assert_eq!(primary.position(), Some(committed));
    for place in [1, 2] {
        eventually(|| async {
            test.group.member(place).unwrap().applied_position().covers(committed)
        })
        .await;
        let mut replica = test.caller(place).await;
        let rows = replica.simple("SELECT set_by FROM flags").await.unwrap();
        assert_eq!(rows, vec![vec![Some("clerk".to_owned())]]);
        assert_eq!(replica.position(), Some(committed));
        let status = replica.status().await;
        assert_eq!(status.role, MemberRole::Replica);
        assert_eq!(status.applied_position, committed);
    }
}

#[rstest]
#[case::alone("INSERT INTO draws (draw, next) VALUES (random(), random())")]
#[case::in_a_block("BEGIN; INSERT INTO draws SELECT random(), now(), random(); COMMIT")]
#[tokio::test]
async fn random_numbers_and_the_time_are_the_same_on_each_member(#[case] insert: &str) {
    let test = start_group();
    let mut primary = test.caller(0).await;
    let create =
        "CREATE TABLE draws (draw BIGINT, drawn TEXT DEFAULT CURRENT_TIMESTAMP, next BIGINT)";
    primary.simple(create).await.expect("a majority runs");
    for _ in 0..5 {
        primary.simple(insert).await.expect("a majority runs");
    }
    let committed = primary.position().expect("a commit reports a position");
    let query = "SELECT draw, drawn, next FROM draws ORDER BY draw";
    let rows = primary.simple(query).await.expect("the primary reads");
    let mut draws: Vec<_> = rows.iter().flat_map(|row| [&row[0], &row[2]]).collect();
    draws.sort();
    draws.dedup();
    assert_eq!(draws.len(), 10, "random numbers differ");
    assert!(rows.iter().all(|row| row[1].as_ref().is_some_and(|drawn| drawn.len() == 19)));
    for place in [1, 2] {
        eventually(|| async {
            test.group.member(place).is_some_and(|member| member.applied_position() == committed)
        })
        .await;
        let copy = test.caller(place).await.simple(query).await.expect("the replica reads");
        assert_eq!(copy, rows);
    }
}

#[rstest]
#[tokio::test]
async fn a_lagging_replica_reports_no_more_than_it_shows() {
    let test = start_group_with(|settings| {
        settings.replication_lag = Duration::from_secs(3600);
    });
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.unwrap();
    let mut replica = test.caller(1).await;
    eventually(|| async { test.group.member(1).unwrap().status().commit_index == 1 }).await;
    assert_eq!(replica.simple("SELECT 1").await.unwrap()[0][0].as_deref(), Some("1"));
    assert_eq!(replica.position(), Some(Position { term: Term(1), index: 0 }));
    let error = replica.simple("SELECT * FROM flags").await.unwrap_err();
    assert_eq!(sqlstate(&error), "42P01");
    replica.simple("ALTER SYSTEM SET REPLICATION LAG 0").await.unwrap();
    eventually(|| async { test.group.member(1).unwrap().applied_position().index == 1 }).await;
    assert!(replica.simple("SELECT * FROM flags").await.unwrap().is_empty());
    assert_eq!(replica.position(), Some(Position { term: Term(1), index: 1 }));
}

#[rstest]
#[tokio::test]
async fn a_replica_refuses_writes() {
    let test = start_group();
    let mut replica = test.caller(1).await;
    let error = replica.simple(CREATE).await.unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
    let error = replica.simple(SHOW_READ_INDEX).await.unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
}

#[rstest]
#[tokio::test]
async fn a_caller_of_a_stopped_member_gets_an_error() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple("SELECT 1").await.unwrap();
    test.group.stop_member(0);
    for _ in 0..2 {
        let error = primary.simple("SELECT 1").await.unwrap_err();
        assert_eq!(sqlstate(&error), "closed");
    }
}

#[rstest]
#[tokio::test]
async fn the_read_index_needs_a_majority() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.unwrap();
    let rows = primary.simple(SHOW_READ_INDEX).await.unwrap();
    assert_eq!(rows[0][0].as_deref(), Some("1/1"));
    test.group.stop_member(1);
    assert_eq!(primary.simple(SHOW_READ_INDEX).await.unwrap()[0][0].as_deref(), Some("1/1"));
    test.group.stop_member(2);
    let error = primary.simple(SHOW_READ_INDEX).await.unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
}

#[rstest]
#[tokio::test]
async fn failover_keeps_the_committed_and_cuts_the_uncommitted() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.unwrap();
    primary.simple("INSERT INTO flags VALUES ('kept', 'a')").await.unwrap();
    // Without a majority the commit of the next write waits, and its entry stays in one log.
    test.group.stop_member(1);
    test.group.stop_member(2);
    let cut_off = client(test.group.postgres_addresses()[0]).await;
    let waiting =
        tokio::spawn(
            async move { cut_off.simple_query("INSERT INTO flags VALUES ('cut', 'b')").await },
        );
    eventually(|| async { test.group.member(0).unwrap().status().last_position.index == 3 }).await;
    test.group.stop_member(0);
    let error = waiting.await.unwrap().unwrap_err();
    assert!(error.code().is_none(), "{error}");

    test.group.restart_member(1).unwrap();
    test.group.restart_member(2).unwrap();
    let mut second = test.caller(1).await;
    let mut third = test.caller(2).await;
    assert_eq!(second.status().await.role, MemberRole::Fenced);
    let fenced = second.simple(&fence_statement(Term(2))).await.unwrap();
    assert_eq!(fenced[0][0].as_deref(), Some("2"));
    assert_eq!(fenced[0][1].as_deref(), Some("1/2"));
    third.simple(&fence_statement(Term(2))).await.unwrap();
    let promoted = second.simple(&promote_statement(Term(2))).await.unwrap();
    assert_eq!(promoted[0][0].as_deref(), Some("2/3"));
    let rows = second.simple("SELECT line FROM flags").await.unwrap();
    assert_eq!(rows, vec![vec![Some("kept".to_owned())]]);
    second.simple("INSERT INTO flags VALUES ('new', 'c')").await.unwrap();

    test.group.restart_member(0).unwrap();
    eventually(|| async {
        let old = test.group.member(0).unwrap();
        old.applied_position() == Position { term: Term(2), index: 4 }
    })
    .await;
    let mut old = test.caller(0).await;
    let rows = old.simple("SELECT line FROM flags ORDER BY line").await.unwrap();
    let lines: Vec<_> = rows.iter().map(|row| row[0].as_deref().unwrap()).collect();
    assert_eq!(lines, ["kept", "new"]);
    let log = Member::read_log(&test.group.member_folder(0).unwrap()).unwrap();
    let terms: Vec<_> = log.iter().map(|entry| entry.term.0).collect();
    assert_eq!(terms, [1, 1, 2, 2]);
}

#[rstest]
#[tokio::test]
async fn a_fenced_primary_never_acknowledges() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.unwrap();
    test.group.stop_member(1);
    test.group.stop_member(2);
    let committing = client(test.group.postgres_addresses()[0]).await;
    let queued = client(test.group.postgres_addresses()[0]).await;
    let waiting = tokio::spawn(async move {
        committing.simple_query("INSERT INTO flags VALUES ('a', 'a')").await
    });
    eventually(|| async { test.group.member(0).unwrap().status().last_position.index == 2 }).await;
    let behind =
        tokio::spawn(
            async move { queued.simple_query("INSERT INTO flags VALUES ('b', 'b')").await },
        );
    primary.simple(&fence_statement(Term(2))).await.unwrap();
    assert_eq!(sqlstate(&waiting.await.unwrap().unwrap_err()), "08007");
    assert_eq!(sqlstate(&behind.await.unwrap().unwrap_err()), "25006");
    let error = primary.simple("INSERT INTO flags VALUES ('c', 'c')").await.unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
    let error = primary.simple(&fence_statement(Term(1))).await.unwrap_err();
    assert_eq!(sqlstate(&error), "55000");
    assert!(primary.simple("SELECT * FROM flags").await.unwrap().is_empty());
}

#[rstest]
#[tokio::test]
async fn an_open_transaction_ends_when_its_primary_is_fenced() {
    let test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.unwrap();
    let mut open = test.caller(0).await;
    open.simple("BEGIN; INSERT INTO flags VALUES ('a', 'a')").await.unwrap();
    primary.simple(&fence_statement(Term(2))).await.unwrap();
    assert!(open.simple("COMMIT").await.is_err());
    test.caller(1).await.simple(&fence_statement(Term(2))).await.unwrap();
    let rows = primary.simple(&promote_statement(Term(2))).await.unwrap();
    assert_eq!(rows[0][0].as_deref(), Some("2/2"));
    assert!(primary.simple("SELECT * FROM flags").await.unwrap().is_empty());
}

#[rstest]
#[tokio::test]
async fn a_restarted_group_keeps_the_acknowledged() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.unwrap();
    for number in 0..20 {
        let insert = format!("INSERT INTO flags VALUES ('{number}', 'a')");
        primary.simple(&insert).await.unwrap();
    }
    for place in 0..3 {
        test.group.stop_member(place);
    }
    for place in 0..3 {
        test.group.restart_member(place).unwrap();
        let status = test.caller(place).await.status().await;
        assert_eq!((status.role, status.promised_term), (MemberRole::Fenced, Term(1)));
        assert_eq!(test.group.member(place).unwrap().status().promised_term, Term(1));
    }
    let mut first = test.caller(0).await;
    assert_eq!(first.status().await.last_position, Position { term: Term(1), index: 21 });
    for place in 0..3 {
        test.caller(place).await.simple(&fence_statement(Term(2))).await.unwrap();
    }
    first.simple(&promote_statement(Term(2))).await.unwrap();
    let rows = first.simple("SELECT count(*) FROM flags").await.unwrap();
    assert_eq!(rows[0][0].as_deref(), Some("20"));
    let wrong = test.caller(1).await.simple(&promote_statement(Term(2))).await.unwrap_err();
    assert_eq!(sqlstate(&wrong), "55000");
}
