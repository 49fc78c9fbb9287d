//! The interface of the consensus thread for the rest of the process.
//!
//! Counts the waiting requests, and applies their timeouts and retries. The thread answers each input, or
//! drops its reply channel when it ends.

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

/// Most requests that wait for an outcome; further ones are refused. Bounds the memory of a replica that
/// can commit nothing. A lower limit refuses requests earlier in a burst.
const MAX_WAITING_REQUESTS: usize = 10_000;
/// Initial and longest delay before a request is retried. Each delay is drawn between half of it and all
/// of it. Lower values retry more often while there is no leader; higher ones take longer to reach a new
/// leader.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait for one attempt, as a forwarded command or its answer may be lost. A shorter timeout repeats
/// commands that are only slow; a longer one delays the retry after a loss.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends inputs to the consensus thread. Clones share the count of waiting requests.
#[derive(Clone)]
pub(crate) struct ConsensusHandle {
    inputs: mpsc::Sender<ConsensusInput>,
    waiting: Arc<AtomicUsize>,
    request_timeout: Duration,
}

/// One waiting request. Its drop takes it off the count.
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

    /// Sends an input to the thread. Fails once the thread has ended.
    pub(crate) fn send(&self, input: ConsensusInput) -> Result<(), RequestError> {
        self.inputs.send(input).map_err(|_| RequestError::Stopping)
    }

    /// Proposes a command and retries until there is an outcome or the request timeout expires. Retries
    /// are safe because each command carries a change id, an incarnation or a term that makes it take
    /// effect only once.
    pub(crate) async fn propose(&self, command: Command) -> Result<Outcome, RequestError> {
        let outcome = self.retry(&Proposal::Command(command)).await?;
        outcome.ok_or(RequestError::OutcomeForgotten)
    }

    /// Proposes a change of the cell. A change whose outcome is unknown is not retried: the operator must
    /// look at the cell first.
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

    /// Runs `read` as [`ConsensusHandle::read`] does, but within `timeout` instead of the request timeout.
    pub(crate) async fn read_within<T, F>(
        &self,
        timeout: Duration,
        read: F,
    ) -> Result<T, RequestError>
    where
        T: Send + 'static,
        F: FnOnce(StateReader<'_>) -> T + Clone + Send + 'static,
    {
        let _waiting = self.admit()?;
        let deadline = Instant::now() + timeout;
        let mut backoff = retry_backoff();
        loop {
            let result = self.read_once(read.clone(), deadline).await;
            match result {
                Err(error) if may_retry(error) => wait_retry(&mut backoff, deadline, error).await?,
                result => return result,
            }
        }
    }

    /// Runs `read` on the local state, which may be stale.
    pub(crate) async fn read_local<T, F>(&self, read: F) -> Result<T, RequestError>
    where
        T: Send + 'static,
        F: FnOnce(StateReader<'_>) -> T + Send + 'static,
    {
        let (reply, answer) = oneshot::channel();
        self.send(ConsensusInput::ReadLocal(read_task(read, reply)))?;
        answer.await.map_err(|_| RequestError::Stopping)?
    }

    /// Returns the revisions in force on the proxies, or an error if the leader does not answer in time.
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
            let remaining = deadline.saturating_duration_since(Instant::now());
            let answer = self.attempt(proposal.clone(), remaining.min(ATTEMPT_TIMEOUT)).await;
            match answer {
                Err(error) if may_retry(error) => wait_retry(&mut backoff, deadline, error).await?,
                answer => return answer,
            }
        }
    }

    async fn attempt(&self, proposal: Proposal, timeout: Duration) -> ProposalAnswer {
        let (reply, answer) = oneshot::channel();
        self.send(ConsensusInput::Propose { proposal, reply })?;
        let answer = tokio::time::timeout(timeout, answer).await;
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
        if waiting.0.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING_REQUESTS {
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
    // The send fails if the requester has given up, and nobody else needs the answer.
    Box::new(move |reader| drop(reply.send(reader.map(read))))
}

fn retry_backoff() -> Backoff {
    Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, rand::random())
}

/// Reports whether another attempt may succeed.
fn may_retry(error: RequestError) -> bool {
    match error {
        RequestError::Rejected(Rejection::NotLeader { .. } | Rejection::LeadershipLost) => true,
        RequestError::TimedOut | RequestError::OutcomeForgotten => true,
        RequestError::Rejected(Rejection::CellChange) => false,
        // The log may stay unwritable for long, and the requester can reach another replica at once.
        RequestError::StorageUnwritable => false,
        RequestError::Overloaded | RequestError::Stopping | RequestError::Encoding => false,
    }
}

/// Waits until the next attempt, or returns `error` if the deadline would pass first.
async fn wait_retry(
    backoff: &mut Backoff,
    deadline: Instant,
    error: RequestError,
) -> Result<(), RequestError> {
    let delay = backoff.next_delay();
    if Instant::now() + delay >= deadline {
        return Err(error);
    }
    tokio::time::sleep(delay).await;
    Ok(())
}
