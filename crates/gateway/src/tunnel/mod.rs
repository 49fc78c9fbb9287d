//! Tunnels between gateways: connections to a member that another gateway holds, and statements
//! that it runs on them. Here is what both sides share.

mod client;
mod serve;

pub(crate) use client::{Grant, RunError, RunReply, TunnelClient, Tunnels};
pub(crate) use serve::accept_tunnels;

use crate::answer::{Answer, Failure};
use crate::error::LinkError;
use crate::run::Unanswered;
use corktack_core::identity::{GroupName, MemberName};
use corktack_protocol::frame::FrameError;
use corktack_protocol::tunnel::{MemberRefusal, RunFailure, RunOutcome};
use std::time::Duration;

/// Target of the log lines of `serve`: operators may filter by it.
const LOG_TARGET: &str = module_path!();

/// What is asked of a holder.
#[derive(Clone, Debug)]
pub(crate) struct TunnelWish {
    pub(crate) group: GroupName,
    pub(crate) member: MemberName,
    pub(crate) priority: u32,
    pub(crate) wait: Duration,
}

fn link_error(error: FrameError) -> LinkError {
    match error {
        FrameError::Io(error) => LinkError::Io(error),
        _ => LinkError::Closed,
    }
}

fn outcome_of(result: Result<Answer, Unanswered>) -> RunOutcome {
    let refusal = |failure: Failure| MemberRefusal { code: failure.code, text: failure.text };
    let failure = |error: LinkError| match error {
        LinkError::TimedOut => RunFailure::TimedOut,
        LinkError::Io(_) | LinkError::Closed | LinkError::Wire(_) => RunFailure::Lost,
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

fn result_of(outcome: RunOutcome) -> Result<Answer, Unanswered> {
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
        RunOutcome::NotSent(why) => Err(Unanswered::NotSent(error(why))),
        RunOutcome::Unanswered(why) => Err(Unanswered::Sent(error(why))),
    }
}
