//! Control's questions to a member that takes no more connections.

use crate::member::Member;
use crate::wire::TestWire;
use crate::world::{group, settings};
use corktack_core::identity::MemberName;
use corktack_core::registry::MemberAnswer;
use corktack_gateway::{ask_status, release};
use rstest::rstest;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for the end of a question; generous, for a machine with much to do.
const SOON: Duration = Duration::from_secs(5);

/// A member that refuses every connection, and its name.
async fn full() -> (Member, MemberName) {
    let member = Member::start("m1", true, "1.5").await;
    member.state.borrow_mut().connection_limit = 0;
    (member, MemberName::new("m1").expect("a valid name"))
}

#[rstest]
#[case::for_its_status(false)]
#[case::to_hold_it(true)]
#[actix_rt::test]
async fn a_member_that_stays_full_is_silent_when_the_time_of_a_question_is_over(
    #[case] hold: bool,
) {
    let (member, name) = full().await;
    let settings = settings(0, member.address);
    let group = group();
    let asking = ask_status(&TestWire, &settings, &group, &name, member.address, hold);
    let answer = timeout(SOON, asking).await.expect("the question ends");
    assert_eq!(answer, MemberAnswer::Silent);
    assert!(member.state.borrow().refused_for.len() > 1, "it is asked again until then");
}

#[actix_rt::test]
async fn a_member_that_stays_full_is_not_told_to_receive_for_ever() {
    let (member, name) = full().await;
    let settings = settings(0, member.address);
    let group = group();
    let releasing = release(&TestWire, &settings, &group, &name, member.address);
    timeout(SOON, releasing).await.expect("the attempts end");
    assert!(member.state.borrow().refused_for.len() > 1, "it is told again until then");
}
