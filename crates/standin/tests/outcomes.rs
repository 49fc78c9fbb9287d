//! Outcomes of keyed writes, kept in the group's own database, survive a change of primary.

mod common;

use common::{Caller, TestGroup, client, eventually, start_group};
use corktack_core::backend::{fence_statement, promote_statement};
use corktack_core::position::Term;
use rstest::rstest;
use tokio_postgres::SimpleQueryMessage;

const CREATE: [&str; 3] = [
    "CREATE TABLE payments (id INTEGER PRIMARY KEY, cents INT)",
    "CREATE TABLE IF NOT EXISTS corktack_outcome (idempotency_key text PRIMARY KEY, \
     claimed_at_ms bigint NOT NULL, answer text)",
    "CREATE INDEX IF NOT EXISTS corktack_outcome_claimed_at ON corktack_outcome (claimed_at_ms)",
];

fn claim(key: &str) -> String {
    format!(
        "BEGIN; INSERT INTO corktack_outcome (idempotency_key, claimed_at_ms) \
         VALUES ('{key}', 1764660000000) ON CONFLICT (idempotency_key) DO NOTHING"
    )
}

fn write_and_store(key: &str) -> String {
    format!(
        "INSERT INTO payments (cents) VALUES (100); UPDATE corktack_outcome \
         SET answer = '494e53' WHERE idempotency_key = '{key}'; COMMIT"
    )
}

/// Claims a key; whether it was free.
async fn claims(caller: &mut Caller, key: &str) -> bool {
    let request = claim(key);
    let messages = caller.messages(&request).await.expect("the primary writes");
    let counts = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::CommandComplete(count) => Some(*count),
        _ => None,
    });
    counts.last() == Some(1)
}

async fn pay(caller: &mut Caller, key: &str) -> bool {
    let free = claims(caller, key).await;
    let end = if free { write_and_store(key) } else { "ROLLBACK".to_owned() };
    caller.simple(&end).await.expect("a majority runs");
    free
}

async fn promote(test: &TestGroup, place: usize, voters: &[usize], term: Term) -> Caller {
    for voter in voters {
        let mut caller = test.caller(*voter).await;
        caller.simple(&fence_statement(term)).await.expect("the term is the highest");
    }
    let mut caller = test.caller(place).await;
    caller.simple(&promote_statement(term)).await.expect("a majority runs");
    caller
}

async fn payments(caller: &mut Caller) -> usize {
    caller.simple("SELECT id FROM payments").await.expect("the table exists").len()
}

#[rstest]
#[tokio::test]
async fn a_key_taken_before_a_promotion_is_taken_after_it() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    for statement in CREATE {
        primary.simple(statement).await.expect("a majority runs");
    }
    assert!(pay(&mut primary, "6b31").await);
    assert!(!pay(&mut primary, "6b31").await);
    test.group.stop_member(0);
    let most = |place: usize| test.group.member(place).map(|member| member.status().last_position);
    let place = if most(1) >= most(2) { 1 } else { 2 };
    let mut primary = promote(&test, place, &[1, 2], Term(2)).await;
    assert!(!pay(&mut primary, "6b31").await);
    let lookup = "SELECT answer FROM corktack_outcome WHERE idempotency_key = '6b31'";
    let stored = primary.simple(lookup).await.expect("the table survived");
    assert_eq!(stored, vec![vec![Some("494e53".to_owned())]]);
    assert_eq!(payments(&mut primary).await, 1);
}

#[rstest]
#[tokio::test]
async fn a_keyed_write_of_unknown_outcome_takes_effect_once() {
    let mut test = start_group();
    let mut primary = test.caller(0).await;
    for statement in CREATE {
        primary.simple(statement).await.expect("a majority runs");
    }
    eventually(|| async {
        [1, 2].iter().all(|place| {
            test.group.member(*place).is_some_and(|member| member.status().last_position.index == 3)
        })
    })
    .await;
    test.group.stop_member(1);
    test.group.stop_member(2);
    let cut_off = client(test.group.postgres_addresses()[0]).await;
    let request = format!("{}; {}", claim("6b32"), write_and_store("6b32"));
    let waiting = tokio::spawn(async move { cut_off.simple_query(&request).await });
    eventually(|| async {
        test.group.member(0).is_some_and(|member| member.status().last_position.index == 4)
    })
    .await;
    test.group.stop_member(0);
    waiting.await.expect("the caller does not panic").expect_err("the answer is lost");
    for place in [1, 2] {
        test.group.restart_member(place).expect("the member starts");
    }
    let mut primary = promote(&test, 1, &[1, 2], Term(2)).await;
    assert!(pay(&mut primary, "6b32").await, "the first try was never committed");
    test.group.restart_member(0).expect("the member starts");
    let committed = primary.position().expect("a commit reports a position");
    eventually(|| async {
        test.group.member(0).is_some_and(|member| member.applied_position() == committed)
    })
    .await;
    let mut old = promote(&test, 0, &[0, 1, 2], Term(3)).await;
    assert!(!pay(&mut old, "6b32").await);
    assert_eq!(payments(&mut old).await, 1);
}
