//! Server connections: no stream gets another's answers, connections are reused only if sound, and limits
//! hold.

mod support;

use corktack_protocol::peer::{EdgeMessage, Failure, ServedBy, TransactionStatus};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::Fleet;
use support::back_end::FakeMember;
use support::edge::TestEdge;

/// Returns the connections that the statements ran on, in order.
fn connections(member: &FakeMember) -> Vec<i32> {
    member.script().statements.iter().map(|(number, _)| *number).collect()
}

async fn write(edge: &mut TestEdge, text: &str) -> support::edge::Answer {
    let stream = edge.write(text).await;
    edge.answer(stream).await
}

#[rstest]
#[case::first(1)]
#[case::second(2)]
#[case::third(3)]
#[actix_rt::test]
async fn late_answers_never_reach_another_stream(#[case] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::start(3, 200).await;
    let mut edge = fleet.edge().await;
    for _ in 0..40 {
        let mut open = Vec::new();
        for _ in 0..6 {
            let text = "x".repeat(random.random_range(1..40)) + &random.random::<u32>().to_string();
            let stream = edge.write(&format!("echo {text}")).await;
            match random.random_range(0..4) {
                0 => edge.send(EdgeMessage::Close { stream }).await,
                1 => {
                    edge.send(EdgeMessage::Cancel { stream }).await;
                    open.push((stream, text));
                }
                _ => open.push((stream, text)),
            }
        }
        for (stream, text) in open {
            let answer = edge.answer(stream).await;
            let cancelled = answer.errors.iter().any(|(state, _)| state == "57014");
            assert!(cancelled || answer.rows == [text.as_str()], "{text}: {answer:?}");
        }
    }
}

#[rstest]
#[actix_rt::test]
async fn a_connection_with_a_stray_answer_is_not_reused() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    write(&mut edge, "stray").await;
    assert_eq!(write(&mut edge, "echo b").await.rows, ["b"]);
    let connections = connections(&fleet.members[0]);
    assert_ne!(connections[0], connections[1]);
}

#[rstest]
#[actix_rt::test]
async fn a_stray_answer_inside_a_transaction_ends_it() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    edge.batch(stream, "stray").await;
    edge.answer(stream).await;
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::TransactionLost));
    assert_eq!(write(&mut edge, "echo b").await.rows, ["b"]);
}

#[rstest]
#[actix_rt::test]
async fn a_connection_that_broke_the_protocol_is_not_reused() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    assert_eq!(write(&mut edge, "garble").await.failure, Some(Failure::Unknown));
    assert_eq!(write(&mut edge, "echo b").await.rows, ["b"]);
    let connections = connections(&fleet.members[0]);
    assert_ne!(connections[0], connections[1]);
}

#[rstest]
#[actix_rt::test]
async fn work_on_connections_that_were_lost_while_idle_runs_once() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    for number in 0..5 {
        write(&mut edge, "echo a").await;
        fleet.members[0].cut_connections().await;
        let answer = write(&mut edge, &format!("write w{number}")).await;
        assert_eq!(answer.ready, Some((TransactionStatus::Idle, ServedBy::Primary)));
    }
    assert_eq!(fleet.members[0].script().written, ["w0", "w1", "w2", "w3", "w4"]);
}

#[rstest]
#[actix_rt::test]
async fn connections_are_kept_warm() {
    let fleet = Fleet::start(2, 10).await;
    fleet.members[0].wait_until(|script| script.serving_connections >= 2).await;
    fleet.members[0].cut_connections().await;
    // The connections are opened again without a request.
    fleet.members[0].wait_until(|script| script.serving_connections >= 4).await;
}

#[rstest]
#[actix_rt::test]
async fn a_connection_refused_over_the_limit_of_the_back_end_is_tried_again() {
    let fleet = Fleet::start(4, 20).await;
    fleet.members[0].script().connection_limit = Some(1);
    fleet.members[0].cut_connections().await;
    let mut edge = fleet.edge().await;
    let open = edge.write("BEGIN").await;
    edge.answer(open).await;
    let mut streams = Vec::new();
    for number in 0..4 {
        streams.push(edge.write(&format!("write w{number}")).await);
    }
    fleet.members[0].wait_until(|script| script.refused_connections > 0).await;
    edge.batch(open, "COMMIT").await;
    edge.answer(open).await;
    for stream in streams {
        let answer = edge.answer(stream).await;
        assert!(answer.ready.is_some(), "{answer:?}");
    }
    assert_eq!(fleet.members[0].script().written.len(), 4);
}

#[rstest]
#[actix_rt::test]
async fn a_transaction_waits_for_a_connection_at_the_limit_of_the_group() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    fleet.change_group(|group| group.spec.connections = 1);
    fleet.wait_for_view(&mut edge).await;
    for member in &fleet.members {
        member.cut_connections().await;
    }
    let first = edge.write("BEGIN").await;
    edge.answer(first).await;
    let second = edge.write("write second").await;
    fleet.wait_for_metric("corktack_owner_slots_in_use{group=\"calls\"} 2").await;
    for text in ["write first", "COMMIT"] {
        edge.batch(first, text).await;
        edge.answer(first).await;
    }
    assert!(edge.answer(second).await.ready.is_some());
    let script = fleet.members[0].script();
    assert_eq!(script.written, ["first", "second"]);
    assert_eq!(script.serving_connections - script.closed_connections, 1);
}
