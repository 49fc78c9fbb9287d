//! Majority, fence, promotion and what survives a change of primary.

mod common;

use common::{Caller, TestGroup, client, eventually, sqlstate, start_group};
use corktack_core::backend::{MemberRole, fence_statement, promote_statement};
use corktack_core::position::{Position, Term};
use rstest::rstest;

const CREATE: &str = "CREATE TABLE calls (id INT PRIMARY KEY)";

async fn insert(caller: &mut Caller, ids: std::ops::Range<usize>) {
    for id in ids {
        let insert = format!("INSERT INTO calls VALUES ({id})");
        caller.simple(&insert).await.expect("a majority runs");
    }
}

async fn fence(test: &TestGroup, places: &[usize], term: Term) {
    for place in places {
        let mut caller = test.caller(*place).await;
        caller.simple(&fence_statement(term)).await.expect("the term is the highest");
    }
}

async fn count(caller: &mut Caller) -> u64 {
    let rows = caller.simple("SELECT count(*) FROM calls").await.expect("the table exists");
    let text = rows[0][0].as_deref().expect("a count is not null");
    text.parse().expect("a count is a number")
}

fn holds(test: &TestGroup, place: usize, index: u64) -> bool {
    test.group.member(place).is_some_and(|member| member.status().last_position.index == index)
}

#[rstest]
#[tokio::test]
async fn a_write_waits_for_a_majority_and_gets_it() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.expect("a majority runs");
    test.group.stop_member(1);
    test.group.stop_member(2);
    let waiting = client(test.group.postgres_addresses()[0]).await;
    let waiting = tokio::spawn(async move {
        waiting.simple_query("INSERT INTO calls VALUES (1)").await.map(|_| ())
    });
    eventually(|| async { holds(&test, 0, 2) }).await;
    assert_eq!(count(&mut primary).await, 0);
    assert!(!waiting.is_finished());
    test.group.restart_member(2).expect("the member starts");
    eventually(|| async { waiting.is_finished() }).await;
    waiting.await.expect("the caller does not panic").expect("two of three hold the write");
    assert_eq!(count(&mut primary).await, 1);
    assert!(holds(&test, 2, 2));
}

#[rstest]
#[tokio::test]
async fn a_replaced_primary_stays_replaced() {
    let mut test = start_group();
    let mut old = test.caller(0).await;
    old.simple(CREATE).await.expect("a majority runs");
    fence(&test, &[0, 1], Term(2)).await;
    let mut new = test.caller(1).await;
    new.simple(&promote_statement(Term(2))).await.expect("a majority runs");
    for round in 0..2 {
        eventually(|| async { test.caller(0).await.status().await.role == MemberRole::Replica })
            .await;
        let mut old = test.caller(0).await;
        let write = old.simple("INSERT INTO calls VALUES (1)").await.expect_err("a replica");
        assert_eq!(sqlstate(&write), "25006");
        for term in [Term(1), Term(2)] {
            let promotion =
                old.simple(&promote_statement(term)).await.expect_err("term 2 is taken");
            assert_eq!(sqlstate(&promotion), "55000");
        }
        let lower = old.simple(&fence_statement(Term(1))).await.expect_err("term 2 is promised");
        assert_eq!(sqlstate(&lower), "55000");
        insert(&mut new, round..round + 1).await;
        test.group.restart_member(0).expect("the member starts");
    }
}

#[rstest]
#[tokio::test]
async fn a_member_that_lacks_committed_writes_is_not_promoted() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.expect("a majority runs");
    eventually(|| async { holds(&test, 2, 1) }).await;
    test.group.stop_member(2);
    insert(&mut primary, 0..3).await;
    eventually(|| async { holds(&test, 1, 4) }).await;
    test.group.stop_member(0);
    test.group.restart_member(2).expect("the member starts");
    fence(&test, &[1, 2], Term(2)).await;
    let behind = client(test.group.postgres_addresses()[2]).await;
    let promoting =
        tokio::spawn(async move { behind.simple_query(&promote_statement(Term(2))).await });
    test.group.restart_member(0).expect("the member starts");
    eventually(|| async { promoting.is_finished() }).await;
    let refused = promoting.await.expect("the caller does not panic");
    assert_eq!(sqlstate(&refused.expect_err("both others hold more")), "55000");
    assert!(holds(&test, 2, 1), "no entry of a term that a majority refused");

    let mut ahead = test.caller(1).await;
    ahead.simple(&promote_statement(Term(2))).await.expect("it has the most of the three");
    assert_eq!(count(&mut ahead).await, 3);
    let whole = Position { term: Term(2), index: 5 };
    eventually(|| async {
        (0..3).all(|place| {
            test.group.member(place).is_some_and(|member| member.applied_position() == whole)
        })
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn a_promotion_without_majority_ends_at_the_next_term() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.expect("a majority runs");
    eventually(|| async { holds(&test, 2, 1) }).await;
    test.group.stop_member(0);
    test.group.stop_member(1);
    fence(&test, &[2], Term(2)).await;
    let alone = client(test.group.postgres_addresses()[2]).await;
    let promoting =
        tokio::spawn(async move { alone.simple_query(&promote_statement(Term(2))).await });
    eventually(|| async {
        test.group.member(2).is_some_and(|member| member.status().primary.is_some())
    })
    .await;
    assert!(!promoting.is_finished());
    fence(&test, &[2], Term(3)).await;
    eventually(|| async { promoting.is_finished() }).await;
    let refused = promoting.await.expect("the caller does not panic");
    assert_eq!(sqlstate(&refused.expect_err("term 3 is promised")), "55000");
    assert!(holds(&test, 2, 1), "no entry of a term that no majority accepted");
}

#[rstest]
#[tokio::test]
async fn a_replica_never_reports_more_than_its_read_shows() {
    let test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.expect("a majority runs");
    let mut replica = test.caller(1).await;
    eventually(|| async {
        test.group.member(1).is_some_and(|member| member.applied_position().index == 1)
    })
    .await;
    let writer = tokio::spawn(async move { insert(&mut primary, 0..100).await });
    let mut rows = 0;
    while rows < 100 {
        rows = count(&mut replica).await;
        // The table is entry 1, and each row is one entry.
        let reported = replica.position().expect("a read reports a position");
        assert_eq!(reported, Position { term: Term(1), index: rows + 1 });
    }
    writer.await.expect("the writer does not panic");
}

#[rstest]
#[tokio::test]
async fn a_cut_member_catches_up_over_many_batches() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.expect("a majority runs");
    test.group.stop_member(2);
    insert(&mut primary, 0..600).await;
    let committed = primary.position().expect("a commit reports a position");
    test.group.restart_member(2).expect("the member starts");
    eventually(|| async {
        test.group.member(2).is_some_and(|member| member.applied_position() == committed)
    })
    .await;
    assert_eq!(count(&mut test.caller(2).await).await, 600);
}
