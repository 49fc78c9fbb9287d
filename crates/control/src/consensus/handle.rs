//! How the rest of the process reaches the consensus thread.
//!
//! Owns the number of requests that wait, and decides how long each waits and when it is made again.
//! Relies on the thread to answer each input, or to drop its reply when it ends.

use super::input::{
    ConsensusInput, Proposal, ProposalAnswer, ProxyRevisions, ReadTask, StateReader,
};
use crate::backoff::Backoff;
use crate::error::RequestError;
use corktack_core::consensus::{CellChange, Rejection};
use corktack_core::state::command::{Command, Outcome};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Requests that wait for an outcome before further ones are refused. Chosen, not measured; it bounds the
/// memory of a replica that can commit nothing, and a lower value refuses sooner in a burst.
const REQUEST_LIMIT: usize = 10_000;
/// First and longest pause before a request is made again, each drawn between half and all of it. Chosen,
/// not measured; lower values ask more often while there is no leader, higher ones add to the time until
/// a new leader is found.
const RETRY_FIRST: Duration = Duration::from_millis(10);
const RETRY_LAST: Duration = Duration::from_millis(200);
/// Longest wait for one attempt: a forwarded command or its answer may be lost. Chosen, not measured; a
/// lower value repeats commands that are only slow, a higher one adds to the time after a loss.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Feeds the consensus thread.
#[derive(Clone)]
pub(crate) struct ConsensusHandle {
    inputs: mpsc::Sender<ConsensusInput>,
    waiting: Arc<AtomicUsize>,
    request_timeout: Duration,
}

/// One request that waits; gives its place back when it is done.
struct WaitingRequest(Arc<AtomicUsize>);

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConsensusHandle {
    pub(crate) fn new(inputs: mpsc::Sender<ConsensusInput>, request_timeout: Duration) -> Self {
        Self { inputs, waiting: Arc::default(), request_timeout }
    }

    /// Hands an input over; fails once the thread has ended.
    pub(crate) fn send(&self, input: ConsensusInput) -> Result<(), RequestError> {
        self.inputs.send(input).map_err(|_| RequestError::Stopping)
    }

    /// Proposes until there is an outcome or the time is up. Repeats are safe
    /// because a command carries what makes it take effect once: a change id, an
    /// incarnation or a term.
    pub(crate) async fn propose(&self, command: Command) -> Result<Outcome, RequestError> {
        let outcome = self.retry(&Proposal::Command(command)).await?;
        outcome.ok_or(RequestError::OutcomeForgotten)
    }

    /// Changes the cell. A change whose outcome is unknown is not repeated: the
    /// operator looks at the cell first.
    pub(crate) async fn change_cell(&self, change: CellChange) -> Result<(), RequestError> {
        let _waiting = self.admit()?;
        let answer = self.attempt(Proposal::Cell(change), self.request_timeout);
        answer.await.map(drop)
    }

    /// Runs `read` on a state that is at least as new as any answer given before the call.
    pub(crate) async fn read<T, F>(&self, read: F) -> Result<T, RequestError>
    where
        T: Send + 'static,
        F: FnOnce(StateReader<'_>) -> T + Clone + Send + 'static,
    {
        self.read_within(self.request_timeout, read).await
    }

    /// As [`ConsensusHandle::read`], with another limit than that of requests.
    pub(crate) async fn read_within<T, F>(
        &self,
        limit: Duration,
        read: F,
    ) -> Result<T, RequestError>
    where
        T: Send + 'static,
        F: FnOnce(StateReader<'_>) -> T + Clone + Send + 'static,
    {
        let _waiting = self.admit()?;
        let deadline = Instant::now() + limit;
        let mut backoff = retry_backoff();
        loop {
            let result = self.read_once(read.clone(), deadline).await;
            match result {
                Err(error) if may_retry(error) => wait_retry(&mut backoff, deadline, error).await?,
                result => return result,
            }
        }
    }

    /// Runs `read` on the state as it is here, which may be old.
    pub(crate) async fn peek<T, F>(&self, read: F) -> Result<T, RequestError>
    where
        T: Send + 'static,
        F: FnOnce(StateReader<'_>) -> T + Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        self.send(ConsensusInput::Peek(read_task(read, reply)))?;
        answer.await.map_err(|_| RequestError::Stopping)?
    }

    /// Revisions in force on the proxies; none when the leader does not answer.
    pub(crate) async fn proxy_revisions(&self) -> Result<ProxyRevisions, RequestError> {
        let (reply, answer) = oneshot::channel();
        self.send(ConsensusInput::ProxyRevisions(reply))?;
        let answer = tokio::time::timeout(ATTEMPT_TIMEOUT, answer).await;
        answer.map_err(|_| RequestError::TimedOut)?.map_err(|_| RequestError::Stopping)
    }

    async fn retry(&self, proposal: &Proposal) -> ProposalAnswer {
        let _waiting = self.admit()?;
        let deadline = Instant::now() + self.request_timeout;
        let mut backoff = retry_backoff();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let answer = self.attempt(proposal.clone(), left.min(ATTEMPT_TIMEOUT)).await;
            match answer {
                Err(error) if may_retry(error) => wait_retry(&mut backoff, deadline, error).await?,
                answer => return answer,
            }
        }
    }

    async fn attempt(&self, proposal: Proposal, limit: Duration) -> ProposalAnswer {
        let (reply, answer) = oneshot::channel();
        self.send(ConsensusInput::Propose { proposal, reply })?;
        let answer = tokio::time::timeout(limit, answer).await;
        answer.map_err(|_| RequestError::TimedOut)?.map_err(|_| RequestError::Stopping)?
    }

    async fn read_once<T, F>(&self, read: F, deadline: Instant) -> Result<T, RequestError>
    where
        T: Send + 'static,
        F: FnOnce(StateReader<'_>) -> T + Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        self.send(ConsensusInput::Read(read_task(read, reply)))?;
        let answer = tokio::time::timeout_at(deadline.into(), answer).await;
        answer.map_err(|_| RequestError::TimedOut)?.map_err(|_| RequestError::Stopping)?
    }

    fn admit(&self) -> Result<WaitingRequest, RequestError> {
        let waiting = WaitingRequest(Arc::clone(&self.waiting));
        if waiting.0.fetch_add(1, Ordering::Relaxed) >= REQUEST_LIMIT {
            return Err(RequestError::Overloaded);
        }
        Ok(waiting)
    }
}

fn read_task<T, F>(read: F, reply: oneshot::Sender<Result<T, RequestError>>) -> ReadTask
where
    T: Send + 'static,
    F: FnOnce(StateReader<'_>) -> T + Send + 'static,
{
    // The requester may have given up; there is no one else to answer.
    Box::new(move |reader| drop(reply.send(reader.map(read))))
}

fn retry_backoff() -> Backoff {
    Backoff::new(RETRY_FIRST, RETRY_LAST, rand::random())
}

/// Whether another attempt may end differently.
fn may_retry(error: RequestError) -> bool {
    match error {
        RequestError::Rejected(Rejection::NotLeader { .. } | Rejection::LeadershipLost) => true,
        RequestError::TimedOut | RequestError::OutcomeForgotten => true,
        RequestError::Rejected(Rejection::CellChange) => false,
        RequestError::Overloaded | RequestError::Stopping | RequestError::Encoding => false,
    }
}

/// Waits for the next attempt, or gives up with the last one's error.
async fn wait_retry(
    backoff: &mut Backoff,
    deadline: Instant,
    error: RequestError,
) -> Result<(), RequestError> {
    let delay = backoff.next();
    if Instant::now() + delay >= deadline {
        return Err(error);
    }
    tokio::time::sleep(delay).await;
    Ok(())
}
