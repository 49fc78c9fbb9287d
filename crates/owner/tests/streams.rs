//! Streams against scripted members: answers, transactions, refusals, outcomes.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_protocol::peer::{ServedBy, TransactionStatus};
use rstest::rstest;
use support::Fleet;

#[rstest]
#[actix_rt::test]
async fn a_write_is_answered_with_its_position_before_the_completion() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("write flag").await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.order, "PC");
    assert_eq!(answer.tags, ["INSERT 0 1"]);
    assert_eq!(answer.ready, Some((TransactionStatus::Idle, ServedBy::Primary)));
    assert_eq!(fleet.members[0].script().written, ["flag"]);
}
