//! Makes calls on an arbiter, each with its limit.
//!
//! Owns nothing of a call once it is started: its result reaches the consensus thread as an input.

use super::call::{BackEndAnswer, BackEndCall, BackEndError, BackEndResult};
use super::statement::connect_and_query;
use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::stop::StopSignal;
use actix_rt::ArbiterHandle;
use std::time::Duration;
use tokio::time::timeout;

/// Makes calls on an arbiter, many at once.
#[derive(Clone)]
pub(crate) struct BackEnds {
    pub(crate) arbiter: ArbiterHandle,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) stop: StopSignal,
}

impl BackEnds {
    /// Starts a call; its result reaches the consensus thread as an input.
    pub(crate) fn start(&self, call: BackEndCall, limit: Duration) {
        let Self { consensus, stop, .. } = self.clone();
        self.arbiter.spawn(async move {
            tokio::select! {
                answer = call_within(&call, limit) => {
                    // An error says that the thread has ended: no one waits for the answer.
                    let _ = consensus.send(ConsensusInput::BackEnd(BackEndResult { call, answer }));
                }
                () = stop.stopped() => (),
            }
        });
    }
}

async fn call_within(call: &BackEndCall, limit: Duration) -> Result<BackEndAnswer, BackEndError> {
    timeout(limit, connect_and_query(call)).await.unwrap_or(Err(BackEndError::TimedOut))
}
