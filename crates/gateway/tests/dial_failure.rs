//! Classification of failed attempts to connect to a member. The modules are included by path because their
//! types aren't public.

#![allow(dead_code, missing_docs)]

#[path = "../src/error.rs"]
mod error;
#[path = "../src/retry_after.rs"]
mod retry_after;

use corktack_core::statement::ErrorCode;
use error::{DialError, DialFailure, LinkError};
use rstest::rstest;

fn refused(code: ErrorCode) -> DialError {
    DialError::Refused { code, text: String::new() }
}

#[rstest]
#[case::no_connection_left(refused(ErrorCode::TooManyConnections), DialFailure::Full)]
#[case::another_member(refused(ErrorCode::WrongMember), DialFailure::Unreachable)]
#[case::nothing_listens(DialError::Unreachable(LinkError::TimedOut), DialFailure::Unreachable)]
#[case::slow(DialError::Link(LinkError::TimedOut), DialFailure::NoAnswer)]
#[case::another_refusal(refused(ErrorCode::Busy), DialFailure::Other)]
#[case::closed(DialError::Link(LinkError::Closed), DialFailure::Other)]
fn each_dial_error_is_classified(#[case] error: DialError, #[case] expected: DialFailure) {
    assert_eq!(error.failure(), expected);
}

#[rstest]
#[case::closed(LinkError::Closed, DialFailure::Unreachable)]
#[case::slow(LinkError::TimedOut, DialFailure::NoAnswer)]
fn only_a_connection_that_ends_before_it_is_ready_counts_as_unreachable(
    #[case] error: LinkError,
    #[case] expected: DialFailure,
) {
    assert_eq!(DialError::Link(error).into_startup_error().failure(), expected);
}
