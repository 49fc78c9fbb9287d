//! Requests of control to a member that is full and accepts no connection.

use crate::member::Member;
use crate::wire::TestWire;
use crate::world::{group, settings};
use corktack_core::identity::MemberName;
use corktack_core::registry::MemberAnswer;
use corktack_gateway::{request_status, resume_replication};
use rstest::rstest;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for the end of a request; generous, for a busy machine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a member that refuses every connection; returns it and its name.
async fn full_member() -> (Member, MemberName) {
    let member = Member::start("m1", true, "1.5").await;
    member.state.borrow_mut().connection_limit = 0;
    (member, MemberName::new("m1").expect("a valid name"))
}

#[rstest]
#[case::for_its_status(false)]
#[case::to_hold_it(true)]
#[actix_rt::test]
async fn a_full_member_counts_as_silent_at_the_deadline_of_a_status_request(#[case] hold: bool) {
    let (member, name) = full_member().await;
    let settings = settings(0, member.address);
    let group = group();
    let asking = request_status(&TestWire, &settings, &group, &name, member.address, hold);
    let answer = timeout(REQUEST_TIMEOUT, asking).await.expect("the request ends in time");
    assert_eq!(answer, MemberAnswer::Silent);
    assert!(
        member.state.borrow().refused_for.len() > 1,
        "the request is retried until its deadline"
    );
}

#[actix_rt::test]
async fn a_release_of_a_full_member_is_not_retried_forever() {
    let (member, name) = full_member().await;
    let settings = settings(0, member.address);
    let group = group();
    let releasing = resume_replication(&TestWire, &settings, &group, &name, member.address);
    timeout(REQUEST_TIMEOUT, releasing).await.expect("the attempts end in time");
    assert!(
        member.state.borrow().refused_for.len() > 1,
        "the release is retried until its deadline"
    );
}
