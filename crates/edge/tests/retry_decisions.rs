//! Decisions about lost requests, tested without I/O.

use corktack_core::identity::GroupName;
use corktack_core::view::View;
use corktack_edge::Rejection;
use corktack_edge::retry::{
    Loss, LostRequest, Progress, RetryDecision, RetryScheduler, decide_retry,
    rejection_of_unfinished,
};
use corktack_protocol::peer::{Access, Failure, NotRunReason};
use rstest::rstest;
use std::time::Duration;

/// Retries that a group's budget holds at most.
const MAX_BUDGET: usize = 50;
/// Longer than any wait before a retry.
const LONG: Duration = Duration::from_secs(10);

/// A write that opens its transaction and whose answer has not begun.
const WRITE: Progress = Progress {
    access: Access::Write,
    first_batch: true,
    answered: false,
    may_commit: false,
    repeatable: false,
    keyed: false,
};
const READ: Progress = Progress { access: Access::Read, ..WRITE };

fn not_run(reason: NotRunReason) -> Rejection {
    Rejection::NotRun { reason, retry_after_ms: 40 }
}

fn refused(reason: NotRunReason) -> Loss {
    Loss::Failed(Failure::NotRun { reason, retry_after_ms: 40 })
}

fn unreachable() -> Rejection {
    Rejection::NotRun { reason: NotRunReason::OwnerUnreachable, retry_after_ms: 250 }
}

#[rstest]
#[case::no_back_end(NotRunReason::NoBackEnd, true)]
#[case::not_owner(NotRunReason::NotOwner, true)]
#[case::unknown_group(NotRunReason::UnknownGroup, true)]
#[case::stopping(NotRunReason::Stopping, true)]
#[case::unreachable(NotRunReason::OwnerUnreachable, true)]
#[case::back_end_refused(NotRunReason::BackEndRefused, true)]
#[case::queue_full(NotRunReason::QueueFull, false)]
#[case::queue_timeout(NotRunReason::QueueTimeout, false)]
#[case::retry_budget(NotRunReason::RetryBudget, false)]
fn a_refused_request_is_retried_if_another_owner_or_primary_may_be_found(
    #[case] reason: NotRunReason,
    #[case] repeated: bool,
) {
    let expected = if repeated { RetryDecision::Retry } else { RetryDecision::Final };
    assert_eq!(decide_retry(refused(reason), WRITE), expected(not_run(reason)));
}

#[test]
fn a_refusal_after_a_part_of_the_answer_leaves_the_outcome_unknown() {
    let answered = Progress { answered: true, ..WRITE };
    let loss = refused(NotRunReason::NoBackEnd);
    assert_eq!(decide_retry(loss, answered), RetryDecision::Final(Rejection::Unknown));
}

#[rstest]
#[case::link_unsent(Loss::Link { sent: false }, RetryDecision::Retry(unreachable()))]
#[case::late_unsent(Loss::TimedOut { sent: false }, RetryDecision::Final(unreachable()))]
#[case::link_sent(Loss::Link { sent: true }, RetryDecision::Final(Rejection::Unknown))]
#[case::late_sent(Loss::TimedOut { sent: true }, RetryDecision::Final(Rejection::Unknown))]
#[case::unknown(Loss::Failed(Failure::Unknown), RetryDecision::Final(Rejection::Unknown))]
#[case::lost(
    Loss::Failed(Failure::TransactionLost),
    RetryDecision::Final(Rejection::TransactionLost)
)]
fn a_write_is_retried_only_if_it_was_not_sent(#[case] loss: Loss, #[case] expected: RetryDecision) {
    assert_eq!(decide_retry(loss, WRITE), expected);
}

#[rstest]
#[case::read(READ, Rejection::ReadInterrupted)]
#[case::repeatable(Progress { repeatable: true, ..WRITE }, Rejection::TransactionLost)]
#[case::keyed(Progress { keyed: true, ..WRITE }, Rejection::Unknown)]
fn a_request_that_is_safe_to_repeat_is_retried_until_a_part_is_answered(
    #[case] progress: Progress,
    #[case] rejection: Rejection,
    #[values(Loss::Link { sent: true }, Loss::Failed(Failure::Unknown))] loss: Loss,
) {
    assert_eq!(decide_retry(loss, progress), RetryDecision::Retry(rejection.clone()));
    let answered = Progress { answered: true, ..progress };
    assert_eq!(decide_retry(loss, answered), RetryDecision::Final(rejection.clone()));
    let late = Loss::TimedOut { sent: true };
    assert_eq!(decide_retry(late, progress), RetryDecision::Final(rejection));
}

#[rstest]
#[case::unsent(Loss::Link { sent: false }, Rejection::TransactionLost)]
#[case::late_unsent(Loss::TimedOut { sent: false }, Rejection::TransactionLost)]
#[case::sent(Loss::Link { sent: true }, Rejection::Unknown)]
#[case::late(Loss::TimedOut { sent: true }, Rejection::Unknown)]
#[case::unknown(Loss::Failed(Failure::Unknown), Rejection::Unknown)]
#[case::lost(Loss::Failed(Failure::TransactionLost), Rejection::TransactionLost)]
#[case::refused(refused(NotRunReason::NotOwner), Rejection::TransactionLost)]
fn a_later_batch_is_never_retried_and_its_commit_may_be_unknown(
    #[case] loss: Loss,
    #[case] expected: Rejection,
) {
    let commit = Progress { first_batch: false, may_commit: true, ..WRITE };
    assert_eq!(decide_retry(loss, commit), RetryDecision::Final(expected));
    let read = Progress { access: Access::Read, ..commit };
    assert_eq!(decide_retry(loss, read), RetryDecision::Final(Rejection::TransactionLost));
}

#[rstest]
#[case::sent(Loss::Link { sent: true })]
#[case::late(Loss::TimedOut { sent: true })]
fn a_later_batch_that_cannot_commit_loses_its_transaction(#[case] loss: Loss) {
    let later = Progress { first_batch: false, ..WRITE };
    assert_eq!(decide_retry(loss, later), RetryDecision::Final(Rejection::TransactionLost));
}

#[rstest]
#[case::ran_before(Loss::Link { sent: false }, true, false, Rejection::Unknown)]
#[case::sent(Loss::Link { sent: true }, false, true, Rejection::Unknown)]
#[case::late(Loss::TimedOut { sent: true }, false, true, Rejection::Unknown)]
#[case::unknown(Loss::Failed(Failure::Unknown), false, true, Rejection::Unknown)]
#[case::unsent(Loss::TimedOut { sent: false }, false, true, Rejection::TransactionLost)]
#[case::lost(Loss::Failed(Failure::TransactionLost), false, true, Rejection::TransactionLost)]
#[case::reads(Loss::Link { sent: true }, false, false, Rejection::TransactionLost)]
fn a_write_of_an_unfinished_batch_that_may_have_run_is_unknown(
    #[case] loss: Loss,
    #[case] ran_write: bool,
    #[case] runs_write: bool,
    #[case] expected: Rejection,
) {
    assert_eq!(rejection_of_unfinished(loss, ran_write, runs_write), expected);
}

/// Retry state of one group that has had a request.
fn retries() -> (RetryScheduler, GroupName) {
    let group: GroupName = "calls".parse().expect("a valid name");
    let mut retries = RetryScheduler::new(7);
    retries.record_request(&group, &View::default());
    (retries, group)
}

fn lost(reason: NotRunReason, attempt: u32) -> LostRequest {
    LostRequest { loss: refused(reason), rejection: not_run(reason), attempt }
}

#[test]
fn an_exhausted_retry_budget_is_the_reason_in_the_answer() {
    let (mut retries, group) = retries();
    for _ in 0..MAX_BUDGET {
        assert!(retries.schedule_retry(lost(NotRunReason::NoBackEnd, 0), &group, LONG).is_ok());
    }
    let refused = retries.schedule_retry(lost(NotRunReason::NoBackEnd, 0), &group, LONG);
    assert_eq!(refused, Err(not_run(NotRunReason::RetryBudget)));
    let unknown = LostRequest { rejection: Rejection::Unknown, ..lost(NotRunReason::NoBackEnd, 0) };
    assert_eq!(retries.schedule_retry(unknown, &group, LONG), Err(Rejection::Unknown));
}

#[test]
fn a_handover_uses_no_retry_budget() {
    let (mut retries, group) = retries();
    for attempt in 0..2 * MAX_BUDGET as u32 {
        assert!(
            retries.schedule_retry(lost(NotRunReason::Stopping, attempt), &group, LONG).is_ok()
        );
        assert!(retries.schedule_retry(lost(NotRunReason::NotOwner, 0), &group, LONG).is_ok());
    }
    for _ in 0..MAX_BUDGET {
        assert!(retries.schedule_retry(lost(NotRunReason::NotOwner, 1), &group, LONG).is_ok());
    }
    assert!(retries.schedule_retry(lost(NotRunReason::NotOwner, 1), &group, LONG).is_err());
}

#[test]
fn a_wait_past_the_deadline_uses_no_budget_and_keeps_the_answer() {
    let (mut retries, group) = retries();
    for _ in 0..2 * MAX_BUDGET {
        let late = retries.schedule_retry(lost(NotRunReason::NoBackEnd, 0), &group, Duration::ZERO);
        assert_eq!(late, Err(not_run(NotRunReason::NoBackEnd)));
    }
    assert!(retries.schedule_retry(lost(NotRunReason::NoBackEnd, 0), &group, LONG).is_ok());
}

#[rstest]
#[case(0, 10)]
#[case(1, 20)]
#[case(3, 80)]
#[case(6, 500)]
#[case(60, 500)]
fn the_wait_grows_to_its_bound(#[case] attempt: u32, #[case] bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    let (mut retries, group) = retries();
    let waits: Vec<Duration> = (0..MAX_BUDGET)
        .map(|_| retries.schedule_retry(lost(NotRunReason::NoBackEnd, attempt), &group, LONG))
        .map(|wait| wait.expect("the budget has a retry"))
        .collect();
    assert!(waits.iter().all(|wait| (bound / 2..=bound).contains(wait)), "{waits:?}");
}
