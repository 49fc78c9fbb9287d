//! Runs calls to back ends on an arbiter, each with a timeout.
//!
//! A started call is a task of its own, which sends its result to the consensus thread.

use super::call::{BackEndAnswer, BackEndCall, BackEndError, BackEndResult};
use super::statement::connect_and_query;
use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::stop::StopSignal;
use actix_rt::ArbiterHandle;
use std::time::Duration;
use tokio::time::timeout;

/// Runs calls to back ends concurrently on an arbiter.
#[derive(Clone)]
pub(crate) struct BackEndCaller {
    pub(crate) arbiter: ArbiterHandle,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) stop: StopSignal,
}

impl BackEndCaller {
    /// Starts a call; the result is sent to the consensus thread as an input.
    pub(crate) fn start(&self, call: BackEndCall, call_timeout: Duration) {
        let Self { consensus, stop, .. } = self.clone();
        self.arbiter.spawn(async move {
            tokio::select! {
                answer = call_with_timeout(&call, call_timeout) => {
                    // Sending fails only after the consensus thread ended, when nothing waits for the answer.
                    let _ = consensus
                        .send(ConsensusInput::BackEndResult(BackEndResult { call, answer }));
                }
                () = stop.stopped() => (),
            }
        });
    }
}

async fn call_with_timeout(
    call: &BackEndCall,
    call_timeout: Duration,
) -> Result<BackEndAnswer, BackEndError> {
    timeout(call_timeout, connect_and_query(call)).await.unwrap_or(Err(BackEndError::TimedOut))
}
