//! Converts the result of a statement between the gateway's types and those of the internal protocol, for
//! both sides of a tunnel.

use crate::answer::{Answer, Failure, Unanswered};
use crate::error::LinkError;
use corktack_protocol::tunnel::{MemberRefusal, RunFailure, RunOutcome};

/// Converts a result to the form of the internal protocol.
pub(crate) fn outcome_of(result: Result<Answer, Unanswered>) -> RunOutcome {
    let refusal = |failure: Failure| MemberRefusal { code: failure.code, text: failure.text };
    let failure = |error: LinkError| match error {
        LinkError::TimedOut | LinkError::HolderSilent => RunFailure::TimedOut,
        LinkError::Io(_) | LinkError::Closed | LinkError::Wire(_) | LinkError::AnswerTooLong => {
            RunFailure::Lost
        }
    };
    match result {
        Ok(Answer { rows, outcome, ready }) => {
            RunOutcome::Answered { rows, outcome: outcome.map_err(refusal), ready }
        }
        Err(Unanswered::Refused(failure)) => RunOutcome::Refused(refusal(failure)),
        Err(Unanswered::NotSent(error)) => RunOutcome::NotSent(failure(error)),
        Err(Unanswered::Sent(error)) => RunOutcome::Unanswered(failure(error)),
    }
}

/// Converts the outcome that a holder reported to a result.
pub(super) fn result_of(outcome: RunOutcome) -> Result<Answer, Unanswered> {
    let failure = |refusal: MemberRefusal| Failure { code: refusal.code, text: refusal.text };
    let error = |failure: RunFailure| match failure {
        RunFailure::TimedOut => LinkError::TimedOut,
        RunFailure::Lost => LinkError::Closed,
    };
    match outcome {
        RunOutcome::Answered { rows, outcome, ready } => {
            Ok(Answer { rows, outcome: outcome.map_err(failure), ready })
        }
        RunOutcome::Refused(refusal) => Err(Unanswered::Refused(failure(refusal))),
        RunOutcome::NotSent(failure) => Err(Unanswered::NotSent(error(failure))),
        RunOutcome::Unanswered(failure) => Err(Unanswered::Sent(error(failure))),
    }
}
