//! What the owner decides about a request, without I/O.

use corktack_core::admission::{AdmissionError, RequiredRole};
use corktack_core::position::{Position, Term};
use corktack_owner::decisions::{
    AfterLoss, Answer, InFlight, Probed, Refusal, RetryCause, after_loss, failure_of_loss,
    is_behind, is_unverified, late_reason, longest_wait, primary_is_suspect, reason_when_late,
    retry_after_refusal,
};
use corktack_protocol::peer::{Access, Failure, NotRunReason, ServedBy, TransactionStatus};
use rstest::rstest;
use std::time::Duration;

/// The first batch of a write, of which something was sent.
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
#[case::zero_leaves_it_to_the_group(0, 5_000, 5_000)]
#[case::shorter(200, 5_000, 200)]
#[case::longer(9_000, 5_000, 5_000)]
fn a_request_waits_as_long_as_it_asks_and_the_group_allows(
    #[case] asked_ms: u32,
    #[case] group_limit_ms: u32,
    #[case] expected_ms: u64,
) {
    assert_eq!(longest_wait(asked_ms, group_limit_ms), Duration::from_millis(expected_ms));
}

#[rstest]
#[case(RetryCause::ConnectionLost, NotRunReason::NoBackEnd)]
#[case(RetryCause::NotPrimary, NotRunReason::BackEndRefused)]
#[case(RetryCause::BackEndRefused, NotRunReason::BackEndRefused)]
#[case(RetryCause::ReplicaBehind, NotRunReason::BackEndRefused)]
fn a_late_request_tells_why_it_was_tried_again(
    #[case] cause: RetryCause,
    #[case] expected: NotRunReason,
) {
    assert_eq!(late_reason(cause), expected);
    // It is told also where there is no primary any more.
    assert_eq!(reason_when_late(expected, RequiredRole::Primary, || false), expected);
}

#[rstest]
#[case(RequiredRole::Primary, false, NotRunReason::NoBackEnd)]
#[case(RequiredRole::Primary, true, NotRunReason::QueueTimeout)]
#[case(RequiredRole::Replica, false, NotRunReason::QueueTimeout)]
#[case(RequiredRole::Replica, true, NotRunReason::QueueTimeout)]
fn a_request_that_waited_for_a_primary_in_vain_says_so(
    #[case] lane: RequiredRole,
    #[case] available: bool,
    #[case] expected: NotRunReason,
) {
    assert_eq!(reason_when_late(NotRunReason::QueueTimeout, lane, || available), expected);
}

#[rstest]
#[case(AdmissionError::QueueFull { retry_after_ms: 7 }, NotRunReason::QueueFull)]
#[case(AdmissionError::TooLate { retry_after_ms: 7 }, NotRunReason::QueueTimeout)]
fn a_refusal_of_the_queue_tells_when_to_come_back(
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
fn a_lost_request_is_repeated_where_it_harms_nobody(
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
fn an_answer_that_is_too_large_is_refused_to_a_read_alone(
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
fn what_a_replica_does_not_run_goes_to_the_primary(
    #[case] cause: RetryCause,
    #[case] served_by: ServedBy,
    #[case] expected: RetryCause,
) {
    assert_eq!(retry_after_refusal(cause, served_by), expected);
}

/// The primary in force answers as that of term 3.
const PRIMARY: Probed = Probed { is_primary: true, answered: true, leads: Some(Term(3)) };

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
fn a_replica_proves_its_answer_by_its_position(
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
#[case::silent(Probed { answered: false, leads: None, ..PRIMARY }, Some(true))]
#[case::leads(PRIMARY, Some(false))]
#[case::leads_later_term(Probed { leads: Some(Term(4)), ..PRIMARY }, Some(false))]
#[case::leads_earlier_term(Probed { leads: Some(Term(2)), ..PRIMARY }, None)]
#[case::follows(Probed { leads: None, ..PRIMARY }, None)]
#[case::other_member(Probed { is_primary: false, ..PRIMARY }, None)]
#[case::other_silent(Probed { is_primary: false, answered: false, leads: None }, None)]
fn a_primary_is_suspect_until_it_answers_for_the_term(
    #[case] probed: Probed,
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
