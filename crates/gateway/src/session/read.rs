//! Runs reads outside a transaction: retries a read at one member after the other, and keeps track of the
//! members that have had it.

use super::Session;
use super::alone::{AttemptOutcome, PendingStatement};
use super::response::Response;
use crate::error::AcquireError;
use crate::group::Target;
use crate::wire::Wire;
use corktack_core::gateway::ReadBound;
use corktack_core::identity::MemberName;
use corktack_core::statement::{ErrorCode, TransactionState};
use corktack_protocol::tunnel::LoneKind;
use std::collections::BTreeSet;

/// Most attempts at members for one read, including those at members that refused without running it. A lower
/// number leaves members untried; a higher one spends the read's time on refusals.
const MAX_READ_ATTEMPTS: u32 = 6;

/// The attempts at a read so far.
#[derive(Default)]
struct Attempts {
    /// Members at which the read isn't tried again.
    excluded: BTreeSet<MemberName>,
    /// Number of attempts in which the read may have run.
    runs: u32,
    /// Reason of the last member that did not run the read.
    last_refusal: String,
    /// Answer to the caller after the last run that gave no result.
    last_failure: Option<Response>,
}

/// Decision after an attempt.
enum NextStep {
    /// Answer the caller.
    Answer(Response),
    /// Try again.
    Retry,
}

impl Attempts {
    /// Records the outcome of an attempt at a member and decides whether to retry.
    async fn record<W: Wire>(
        &mut self,
        statement: &PendingStatement<'_, W>,
        member: MemberName,
        outcome: AttemptOutcome,
    ) -> NextStep {
        match outcome {
            AttemptOutcome::Done(response) => return NextStep::Answer(response),
            AttemptOutcome::NotRun(why) => self.last_refusal = why,
            AttemptOutcome::Failed(response) => {
                self.runs += 1;
                self.last_failure = Some(response);
            }
            AttemptOutcome::Lost { why, by_member } => {
                self.runs += 1;
                self.last_failure = Some(timeout_response(&why));
                if !by_member {
                    return self.next_step(statement).await;
                }
            }
        }
        self.excluded.insert(member);
        self.next_step(statement).await
    }

    /// Returns the last failure if the read may not be sent again.
    async fn next_step<W: Wire>(&mut self, statement: &PendingStatement<'_, W>) -> NextStep {
        if self.last_failure.is_none() || !statement.is_exhausted(self.runs).await {
            return NextStep::Retry;
        }
        self.last_failure.take().map_or(NextStep::Retry, NextStep::Answer)
    }

    /// Returns the answer if no member is left to try. It is a refusal, which promises that the read did not
    /// run, only if no attempt may have run it.
    fn into_response(self, error: &AcquireError) -> Response {
        let refused = || Response::refused(error, &self.last_refusal, TransactionState::Idle);
        self.last_failure.unwrap_or_else(refused)
    }
}

impl<W: Wire> Session<W> {
    /// Runs a read that any member may serve if it is fresh enough; falls back to the primary.
    pub(super) async fn read_anywhere(
        &mut self,
        statement: &PendingStatement<'_, W>,
        bound: ReadBound,
    ) -> Response {
        let mut attempts = Attempts::default();
        for _ in 0..MAX_READ_ATTEMPTS {
            let target = Target::Reader { refused: attempts.excluded.clone() };
            let attempted = self.attempt(statement, target, LoneKind::Read { bound }).await;
            match attempted {
                Ok((member, outcome)) => {
                    if let NextStep::Answer(response) =
                        attempts.record(statement, member, outcome).await
                    {
                        return response;
                    }
                }
                Err(
                    ref error @ (AcquireError::Unreachable(ref member)
                    | AcquireError::Full(ref member)),
                ) => {
                    self.record_attempt(&error.to_string());
                    attempts.excluded.insert(member.clone());
                }
                Err(AcquireError::NoHolder(_)) if !statement.is_wait_over() => (),
                Err(AcquireError::NoMember) if !attempts.excluded.is_empty() => break,
                Err(AcquireError::NoPosition) => break,
                Err(error) => return attempts.into_response(&error),
            }
        }
        self.retry_at_primary(statement, attempts).await
    }

    /// Runs a read that only the primary may serve.
    pub(super) async fn read_at_primary(
        &mut self,
        statement: &PendingStatement<'_, W>,
    ) -> Response {
        self.retry_at_primary(statement, Attempts::default()).await
    }

    /// Tries a read at the primary until it succeeds or may not be sent again.
    async fn retry_at_primary(
        &mut self,
        statement: &PendingStatement<'_, W>,
        mut attempts: Attempts,
    ) -> Response {
        loop {
            match self.attempt(statement, Target::Primary, LoneKind::ReadAtPrimary).await {
                Ok((member, outcome)) => {
                    if let NextStep::Answer(response) =
                        attempts.record(statement, member, outcome).await
                    {
                        return response;
                    }
                }
                Err(error) if error.is_transient() && !statement.is_wait_over() => {}
                Err(error) => return attempts.into_response(&error),
            }
            if statement.is_wait_over() {
                return attempts.into_response(&AcquireError::NoMember);
            }
        }
    }
}

/// Returns the answer to a read that may have run without an answer.
fn timeout_response(error: &str) -> Response {
    let text = format!("the read has no answer: {error}");
    Response::failure(ErrorCode::TimedOut, &text, TransactionState::Idle)
}
