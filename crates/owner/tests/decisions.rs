//! Decisions of the owner about a request or a probe.

use corktack_core::admission::{AdmissionError, RequiredRole};
use corktack_core::position::{Position, Term};
use corktack_owner::decisions::{
    AfterLoss, Answer, InFlight, ProbeResult, Refusal, RetryCause, after_loss, failure_of_loss,
    is_behind, is_unverified, max_wait, primary_is_suspect, reason_after_retry,
    retry_after_refusal, slot_timeout_reason,
};
use corktack_protocol::peer::{Access, Failure, NotRunReason, ServedBy, TransactionStatus};
use rstest::rstest;
use std::time::Duration;

/// The first batch of a write, partly sent.
const WRITE: InFlight = InFlight {
    access: Access::Write,
    status: TransactionStatus::Idle,
    forwarded: false,
    keyed: false,
    sent_bytes: 40,
    may_commit: false,
    only_begins: false,
    unfinished_may_be_committed: false,
};
const READ: InFlight = InFlight { access: Access::Read, ..WRITE };
/// A later batch of a transaction.
const LATER: InFlight = InFlight { status: TransactionStatus::Open, forwarded: true, ..WRITE };

#[rstest]
#[case::zero_selects_the_group_limit(0, 5_000, 5_000)]
#[case::shorter(200, 5_000, 200)]
#[case::longer(9_000, 5_000, 5_000)]
fn the_wait_is_the_lower_of_request_timeout_and_group_limit(
    #[case] asked_ms: u32,
    #[case] group_limit_ms: u32,
    #[case] expected_ms: u64,
) {
    assert_eq!(max_wait(asked_ms, group_limit_ms), Duration::from_millis(expected_ms));
}

#[rstest]
#[case(RetryCause::ConnectionLost, NotRunReason::NoBackEnd)]
#[case(RetryCause::NotPrimary, NotRunReason::BackEndRefused)]
#[case(RetryCause::BackEndRefused, NotRunReason::BackEndRefused)]
#[case(RetryCause::ReplicaBehind, NotRunReason::BackEndRefused)]
fn a_request_late_after_a_retry_is_refused_with_the_reason_of_the_retry(
    #[case] cause: RetryCause,
    #[case] expected: NotRunReason,
) {
    assert_eq!(reason_after_retry(cause), expected);
    // The reason stays the same if the group has no primary any more.
    assert_eq!(slot_timeout_reason(expected, RequiredRole::Primary, || false), expected);
}

#[rstest]
#[case(RequiredRole::Primary, false, NotRunReason::NoBackEnd)]
#[case(RequiredRole::Primary, true, NotRunReason::QueueTimeout)]
#[case(RequiredRole::Replica, false, NotRunReason::QueueTimeout)]
#[case(RequiredRole::Replica, true, NotRunReason::QueueTimeout)]
fn a_request_late_without_an_available_primary_is_refused_for_no_back_end(
    #[case] required_role: RequiredRole,
    #[case] available: bool,
    #[case] expected: NotRunReason,
) {
    assert_eq!(
        slot_timeout_reason(NotRunReason::QueueTimeout, required_role, || available),
        expected
    );
}

#[rstest]
#[case(AdmissionError::QueueFull { retry_after_ms: 7 }, NotRunReason::QueueFull)]
#[case(AdmissionError::TooLate { retry_after_ms: 7 }, NotRunReason::QueueTimeout)]
fn a_refusal_of_the_queue_carries_a_retry_hint(
    #[case] error: AdmissionError,
    #[case] reason: NotRunReason,
) {
    assert_eq!(Refusal::from(error), Refusal { reason, retry_after_ms: Some(7) });
    assert_eq!(Refusal::from(reason).retry_after_ms, None);
}

#[rstest]
#[case::write(WRITE, AfterLoss::Final(Failure::Unknown))]
#[case::unsent_write(InFlight { sent_bytes: 0, ..WRITE }, AfterLoss::Repeat)]
#[case::begin(InFlight { only_begins: true, ..WRITE }, AfterLoss::Repeat)]
#[case::keyed(InFlight { keyed: true, ..WRITE }, AfterLoss::RepeatUnderKey)]
#[case::read(READ, AfterLoss::Repeat)]
#[case::forwarded_read(
    InFlight { forwarded: true, ..READ },
    AfterLoss::Final(Failure::TransactionLost)
)]
#[case::forwarded_write(
    InFlight { forwarded: true, sent_bytes: 0, ..WRITE },
    AfterLoss::Final(Failure::TransactionLost)
)]
#[case::later(LATER, AfterLoss::Final(Failure::TransactionLost))]
#[case::later_under_a_key(
    InFlight { keyed: true, forwarded: false, ..LATER },
    AfterLoss::Final(Failure::TransactionLost)
)]
fn a_lost_request_is_repeated_only_if_repeating_is_safe(
    #[case] batch: InFlight,
    #[case] expected: AfterLoss,
) {
    assert_eq!(after_loss(&batch, false), expected);
}

#[rstest]
#[case::read(READ, AfterLoss::RefuseAnswer)]
#[case::forwarded_read(InFlight { forwarded: true, ..READ }, AfterLoss::RefuseAnswer)]
#[case::read_in_a_transaction(
    InFlight { access: Access::Read, ..LATER },
    AfterLoss::Final(Failure::TransactionLost)
)]
#[case::write(WRITE, AfterLoss::Final(Failure::Unknown))]
fn a_too_large_answer_is_refused_only_to_a_read_outside_a_transaction(
    #[case] batch: InFlight,
    #[case] expected: AfterLoss,
) {
    assert_eq!(after_loss(&batch, true), expected);
}

#[rstest]
#[case::alone(WRITE, Failure::Unknown)]
#[case::alone_unsent(InFlight { sent_bytes: 0, ..WRITE }, Failure::TransactionLost)]
#[case::commit(InFlight { may_commit: true, ..LATER }, Failure::Unknown)]
#[case::commit_unsent(
    InFlight { may_commit: true, sent_bytes: 0, ..LATER },
    Failure::TransactionLost
)]
#[case::statement(LATER, Failure::TransactionLost)]
#[case::failed_block(
    InFlight { status: TransactionStatus::Failed, may_commit: true, ..LATER },
    Failure::TransactionLost
)]
#[case::flushed(
    InFlight { unfinished_may_be_committed: true, sent_bytes: 0, ..LATER },
    Failure::Unknown
)]
#[case::read(InFlight { may_commit: true, access: Access::Read, ..LATER }, Failure::TransactionLost)]
fn a_write_that_may_be_committed_has_an_unknown_outcome(
    #[case] batch: InFlight,
    #[case] expected: Failure,
) {
    assert_eq!(failure_of_loss(&batch), expected);
}

#[rstest]
#[case(RetryCause::NotPrimary, ServedBy::Replica, RetryCause::ReplicaBehind)]
#[case(RetryCause::NotPrimary, ServedBy::Primary, RetryCause::NotPrimary)]
#[case(RetryCause::BackEndRefused, ServedBy::Replica, RetryCause::BackEndRefused)]
#[case(RetryCause::BackEndRefused, ServedBy::Primary, RetryCause::BackEndRefused)]
fn a_statement_that_a_replica_refuses_goes_to_the_primary(
    #[case] cause: RetryCause,
    #[case] served_by: ServedBy,
    #[case] expected: RetryCause,
) {
    assert_eq!(retry_after_refusal(cause, served_by), expected);
}

/// A probe that the primary answers as the primary of term 3, which is the term in force.
const PRIMARY: ProbeResult =
    ProbeResult { is_primary: true, answered: true, led_term: Some(Term(3)) };

fn at(index: u64) -> Position {
    Position { term: Term(1), index }
}

/// A read outside a transaction that a replica answered.
fn replica_answer(position: Option<Position>) -> Answer {
    Answer {
        served_by: ServedBy::Replica,
        before: TransactionStatus::Idle,
        after: TransactionStatus::Idle,
        failed: false,
        completed: true,
        position,
    }
}

#[rstest]
#[case::without_position(None, true)]
#[case::behind(Some(at(4)), true)]
#[case::level(Some(at(5)), false)]
#[case::ahead(Some(at(6)), false)]
fn a_replica_answer_needs_a_position_that_covers_the_minimum(
    #[case] position: Option<Position>,
    #[case] unverified: bool,
) {
    let answer = replica_answer(position);
    assert_eq!(is_unverified(&answer, Some(at(5))), unverified);
    let others = [
        Answer { served_by: ServedBy::Primary, ..answer },
        Answer { before: TransactionStatus::Open, ..answer },
        Answer { after: TransactionStatus::Open, ..answer },
        Answer { failed: true, ..answer },
        Answer { completed: false, ..answer },
    ];
    for other in others {
        assert!(!is_unverified(&other, Some(at(5))), "{other:?}");
    }
}

#[test]
fn a_read_without_a_minimum_needs_only_a_position() {
    assert!(!is_unverified(&replica_answer(Some(at(1))), None));
    assert!(is_unverified(&replica_answer(None), None));
}

#[rstest]
#[case::silent(ProbeResult { answered: false, led_term: None, ..PRIMARY }, Some(true))]
#[case::leads(PRIMARY, Some(false))]
#[case::leads_later_term(ProbeResult { led_term: Some(Term(4)), ..PRIMARY }, Some(false))]
#[case::leads_earlier_term(ProbeResult { led_term: Some(Term(2)), ..PRIMARY }, None)]
#[case::follows(ProbeResult { led_term: None, ..PRIMARY }, None)]
#[case::other_member(ProbeResult { is_primary: false, ..PRIMARY }, None)]
#[case::other_silent(ProbeResult { is_primary: false, answered: false, led_term: None }, None)]
fn a_primary_is_suspect_until_it_answers_for_the_term(
    #[case] probed: ProbeResult,
    #[case] expected: Option<bool>,
) {
    assert_eq!(primary_is_suspect(probed, Term(3)), expected);
}

#[test]
fn only_a_replica_is_behind() {
    assert!(is_behind(ServedBy::Replica, at(4), Some(at(5))));
    assert!(!is_behind(ServedBy::Primary, at(4), Some(at(5))));
    assert!(!is_behind(ServedBy::Replica, at(4), None));
}
