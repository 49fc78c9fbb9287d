//! Writes under an idempotency key, against real stand-in groups: each runs at most once, and each repeat
//! gets the first answer.

mod support;

use corktack_protocol::peer::{Access, Failure, StreamId, TransactionStatus};
use rstest::rstest;
use support::edge::{Answer, TestEdge, execute, parse_and_execute, query, request};
use support::group::GroupFleet;
use support::relay::Mode;

const TABLE: &str = "CREATE TABLE charge (id INTEGER PRIMARY KEY, note TEXT UNIQUE)";
const INSERT: &str = "INSERT INTO charge (note) VALUES ('x') RETURNING id";

async fn fleet(owners: usize, slots: u32) -> GroupFleet {
    let fleet = GroupFleet::start(owners, slots).await;
    fleet.sql(0, TABLE).await;
    fleet
}

async fn open(edge: &mut TestEdge, key: &str, text: &str) -> StreamId {
    let mut request = request(Access::Write, query(text));
    request.idempotency_key = Some(key.to_owned());
    request.timeout_ms = 0;
    edge.open(request).await
}

async fn send(edge: &mut TestEdge, key: &str, text: &str) -> Answer {
    let stream = open(edge, key, text).await;
    edge.answer(stream).await
}

async fn charges(fleet: &GroupFleet, index: usize) -> Vec<String> {
    fleet.sql(index, "SELECT count(*) FROM charge").await
}

#[rstest]
#[case::same_owner(0)]
#[case::another_owner(1)]
#[actix_rt::test]
async fn a_repeat_gets_the_first_answer_and_does_not_run(#[case] second: usize) {
    let fleet = fleet(2, 2).await;
    let mut edge = fleet.edge(0).await;
    let first = send(&mut edge, "order-7", INSERT).await;
    assert_eq!(first.rows, ["1"]);
    assert_eq!(first.positions.len(), 1);
    let mut edge = fleet.edge(second).await;
    let repeat = send(&mut edge, "order-7", INSERT).await;
    assert_eq!((repeat.rows, repeat.tags), (first.rows, first.tags));
    assert_eq!(repeat.ready, first.ready);
    assert!(repeat.positions[0].covers(first.positions[0]));
    assert_eq!(charges(&fleet, 0).await, ["1"]);
}

#[rstest]
#[actix_rt::test]
async fn a_repeat_after_a_failover_gets_the_first_answer() {
    let fleet = fleet(2, 2).await;
    let mut edge = fleet.edge(0).await;
    let first = send(&mut edge, "order-7", INSERT).await;
    let primary = fleet.fail_over(1, 2).await;
    let mut edge = fleet.edge(1).await;
    let repeat = send(&mut edge, "order-7", INSERT).await;
    assert_eq!((repeat.rows, repeat.tags), (first.rows, first.tags));
    assert!(repeat.positions[0].covers(first.positions[0]));
    assert_eq!(charges(&fleet, primary).await, ["1"]);
}

#[rstest]
#[actix_rt::test]
async fn requests_with_one_key_at_the_same_time_run_once() {
    let fleet = fleet(2, 4).await;
    let mut edges = [fleet.edge(0).await, fleet.edge(1).await];
    let mut streams = Vec::new();
    for _ in 0..6 {
        for (index, edge) in edges.iter_mut().enumerate() {
            streams.push((index, open(edge, "order-7", INSERT).await));
        }
    }
    for (index, stream) in streams {
        let answer = edges[index].answer(stream).await;
        assert_eq!(answer.rows, ["1"], "{answer:?}");
    }
    assert_eq!(charges(&fleet, 0).await, ["1"]);
}

#[rstest]
#[actix_rt::test]
async fn requests_with_different_keys_each_run() {
    let fleet = fleet(1, 2).await;
    let mut edge = fleet.edge(0).await;
    for (key, id) in [("a", "1"), ("b", "2"), ("a", "1")] {
        let text = format!("INSERT INTO charge (note) VALUES ('{key}') RETURNING id");
        assert_eq!(send(&mut edge, key, &text).await.rows, [id]);
    }
    assert_eq!(charges(&fleet, 0).await, ["2"]);
}

#[rstest]
#[case::before_it_ran("INSERT INTO charge")]
#[case::after_its_commit("; COMMIT")]
#[actix_rt::test]
async fn a_write_whose_answer_was_lost_is_resolved_by_its_key(#[case] lost: &str) {
    let fleet = fleet(1, 2).await;
    fleet.relays[0].lose_answer_to(lost);
    let mut edge = fleet.edge(0).await;
    let answer = send(&mut edge, "order-7", INSERT).await;
    assert!(fleet.relays[0].has_lost());
    assert_eq!(answer.rows, ["1"], "{answer:?}");
    assert_eq!(charges(&fleet, 0).await, ["1"]);
}

#[rstest]
#[actix_rt::test]
async fn a_commit_whose_answer_is_lost_is_unknown_if_no_repeat_succeeds() {
    let fleet = fleet(1, 2).await;
    fleet.relays[0].lose_answer_and_switch("; COMMIT", Mode::Down);
    let mut edge = fleet.edge(0).await;
    let mut request = request(Access::Write, query(INSERT));
    request.idempotency_key = Some("order-7".to_owned());
    request.timeout_ms = 300;
    let stream = edge.open(request).await;
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::Unknown));
}

#[rstest]
#[actix_rt::test]
async fn a_failed_write_leaves_its_key_free() {
    let fleet = fleet(1, 1).await;
    fleet.sql(0, "INSERT INTO charge (note) VALUES ('x')").await;
    let mut edge = fleet.edge(0).await;
    let failed = send(&mut edge, "order-7", INSERT).await;
    assert_eq!(failed.errors[0].0, "23505");
    assert_eq!(failed.ready.map(|(status, _)| status), Some(TransactionStatus::Idle));
    fleet.sql(0, "DELETE FROM charge").await;
    assert_eq!(send(&mut edge, "order-7", INSERT).await.tags, ["INSERT 0 1"]);
}

#[rstest]
#[case::other_text("INSERT INTO charge (note) VALUES ('y') RETURNING id", "22023")]
#[case::with_control("BEGIN; INSERT INTO charge (note) VALUES ('y')", "0A000")]
#[actix_rt::test]
async fn a_request_that_does_not_match_its_key_is_refused(#[case] text: &str, #[case] state: &str) {
    let fleet = fleet(1, 1).await;
    let mut edge = fleet.edge(0).await;
    send(&mut edge, "order-7", INSERT).await;
    let refused = send(&mut edge, "order-7", text).await;
    assert_eq!(refused.errors[0].0, state);
    assert_eq!(charges(&fleet, 0).await, ["1"]);
}

#[rstest]
#[actix_rt::test]
async fn a_key_over_the_limit_is_refused() {
    let fleet = fleet(1, 1).await;
    let mut edge = fleet.edge(0).await;
    let refused = send(&mut edge, &"k".repeat(256), INSERT).await;
    assert_eq!(refused.errors[0].0, "22023");
    assert_eq!(charges(&fleet, 0).await, ["0"]);
}

#[rstest]
#[actix_rt::test]
async fn an_answer_over_the_limit_rolls_the_write_back() {
    let fleet = fleet(1, 1).await;
    let mut edge = fleet.edge(0).await;
    let note = "n".repeat(70 * 1024);
    let text = format!("INSERT INTO charge (note) VALUES ('{note}') RETURNING note");
    let refused = send(&mut edge, "order-7", &text).await;
    assert_eq!(refused.errors[0].0, "54000");
    assert!(refused.rows.is_empty());
    assert_eq!(charges(&fleet, 0).await, ["0"]);
}

#[rstest]
#[actix_rt::test]
async fn a_repeat_may_prepare_where_the_first_request_did_not() {
    let fleet = fleet(1, 1).await;
    let mut edge = fleet.edge(0).await;
    let mut orders = Vec::new();
    for batch in [execute("s1", INSERT), parse_and_execute("s1", INSERT)] {
        let mut request = request(Access::Write, batch);
        request.idempotency_key = Some("order-7".to_owned());
        let stream = edge.open(request).await;
        let answer = edge.answer(stream).await;
        assert_eq!(answer.rows.len(), 1, "{answer:?}");
        orders.push(answer.order);
    }
    assert_eq!(orders, ["P2DC", "P12DC"]);
    assert_eq!(charges(&fleet, 0).await, ["1"]);
}

async fn transaction(edge: &mut TestEdge, note: &str) -> Vec<Answer> {
    let stream = open(edge, "order-7", "BEGIN").await;
    let mut answers = vec![edge.answer(stream).await];
    let insert = format!("INSERT INTO charge (note) VALUES ('{note}') RETURNING id");
    for text in [insert.as_str(), "SELECT count(*) FROM charge", "COMMIT"] {
        edge.batch(stream, text).await;
        let answer = edge.answer(stream).await;
        let over = answer.ready.is_none_or(|(status, _)| status == TransactionStatus::Idle);
        answers.push(answer);
        if over {
            break;
        }
    }
    answers
}

#[rstest]
#[actix_rt::test]
async fn a_repeated_transaction_is_answered_batch_by_batch() {
    let fleet = fleet(2, 1).await;
    let mut edge = fleet.edge(0).await;
    let first = transaction(&mut edge, "x").await;
    fleet.sql(0, "INSERT INTO charge (note) VALUES ('other')").await;
    let mut edge = fleet.edge(1).await;
    let repeat = transaction(&mut edge, "x").await;
    let contents = |answers: &[Answer]| {
        let part = |answer: &Answer| (answer.rows.clone(), answer.tags.clone(), answer.ready);
        answers.iter().map(part).collect::<Vec<_>>()
    };
    assert_eq!(contents(&repeat), contents(&first));
    assert_eq!(first.last().map(|answer| answer.tags.clone()), Some(vec!["COMMIT".to_owned()]));
    assert_eq!(charges(&fleet, 0).await, ["2"]);
    let mut edge = fleet.edge(0).await;
    let other = transaction(&mut edge, "y").await;
    assert_eq!(other.last().map(|answer| answer.errors[0].0.clone()), Some("22023".to_owned()));
    assert_eq!(charges(&fleet, 0).await, ["2"]);
}

#[rstest]
#[actix_rt::test]
async fn a_transaction_that_was_rolled_back_leaves_its_key_free() {
    let fleet = fleet(1, 1).await;
    let mut edge = fleet.edge(0).await;
    let stream = open(&mut edge, "order-7", "BEGIN").await;
    edge.answer(stream).await;
    for text in [INSERT, "ROLLBACK"] {
        edge.batch(stream, text).await;
        edge.answer(stream).await;
    }
    let answers = transaction(&mut edge, "x").await;
    assert_eq!(answers.len(), 4, "{answers:?}");
    assert_eq!(charges(&fleet, 0).await, ["1"]);
}

#[rstest]
#[actix_rt::test]
async fn old_outcomes_are_removed() {
    let fleet = fleet(1, 1).await;
    let mut edge = fleet.edge(0).await;
    let insert = |note: &str| format!("INSERT INTO charge (note) VALUES ('{note}')");
    send(&mut edge, "first", &insert("first")).await;
    fleet.sql(0, "UPDATE corktack_outcome SET claimed_at_ms = 1").await;
    // 70 commits are more than the number between two removals. The single slot serialises the writes.
    for number in 0..70 {
        send(&mut edge, &format!("key-{number}"), &insert(&number.to_string())).await;
    }
    let kept = fleet.sql(0, "SELECT count(*) FROM corktack_outcome").await;
    assert_eq!(kept, ["70"]);
}
