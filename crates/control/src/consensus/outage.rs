//! Outage of the disk: what the thread does from a failed write until the log can be written again.
//!
//! The core counts the entries of the failed write as stored, so the replica is dropped with all its later
//! actions. A new one starts from the log once this opens again, without the entries that were not synced.
//! Until then the thread takes no part in the cell and refuses requests at once. The state stays as it is:
//! it holds committed entries only, which do not depend on this disk.

use super::input::ConsensusInput;
use super::thread::{ConsensusError, ConsensusThread};
use crate::backoff::Backoff;
use crate::cell::PeerMessage;
use crate::error::{Causes, RequestError};
use crate::state_codec::decode_state;
use corktack_core::consensus::{Action, PersistedState};
use corktack_storage::StorageError;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// First and longest pause between two tries to open the log again. Shorter pauses try more often while the
/// disk is full; longer ones delay the return of the replica.
const FIRST_REOPEN_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// Time between two log lines while the disk does not recover.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How an outage ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum OutageEnd {
    /// The log accepts writes, and a new replica runs on it.
    Recovered,
    /// The process stops.
    Stopped,
}

impl ConsensusThread {
    /// Waits until the log can be written again, and starts a new replica on it.
    pub(super) fn wait_out_outage(
        &mut self,
        cause: &StorageError,
        inputs: &Receiver<ConsensusInput>,
    ) -> Result<OutageEnd, ConsensusError> {
        let began = Instant::now();
        self.begin_outage(cause, began);
        let mut backoff =
            Backoff::new(FIRST_REOPEN_PAUSE, LONGEST_REOPEN_PAUSE, self.parts.replica.id().0);
        let mut next_log = began + LOG_INTERVAL;
        loop {
            if self.refuse_inputs_until(Instant::now() + backoff.next_delay(), inputs) {
                return Ok(OutageEnd::Stopped);
            }
            match self.parts.log.reopen() {
                Ok(persisted) => {
                    self.start_replica(persisted)?;
                    log::info!(
                        replica = self.parts.replica.id().0, lasted_ms = began.elapsed().as_millis(),
                        last_index = self.parts.replica.last_index(), applied = self.parts.applied;
                        "log can be written again: the replica returns to its cell"
                    );
                    return Ok(OutageEnd::Recovered);
                }
                Err(error @ StorageError::Io { .. }) => {
                    if Instant::now() >= next_log {
                        next_log = Instant::now() + LOG_INTERVAL;
                        log::warn!(
                            error:% = Causes(&error), lasted_ms = began.elapsed().as_millis();
                            "log still cannot be written, trying again"
                        );
                    }
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Gives up leadership and the requests that wait.
    fn begin_outage(&mut self, cause: &StorageError, began: Instant) {
        log::error!(
            replica = self.parts.replica.id().0, role:? = self.parts.replica.role(),
            error:% = Causes(cause);
            "log cannot be written: the replica takes no part in its cell until it can"
        );
        self.parts.metrics.storage_outages.inc();
        self.parts.metrics.storage_unwritable.set(1);
        for action in self.parts.replica.resign() {
            if let Action::Send { to, message } = action {
                self.parts.links.send(to, PeerMessage::Consensus(message));
            }
        }
        let now = self.parts.clock.now();
        self.parts.duties.apply_role(now, None);
        self.parts.metrics.record_shortage(None);
        self.pending.refuse_all(RequestError::StorageUnwritable);
        self.revision_queries.clear();
        self.parts.status.send_modify(|status| status.begin_outage(began));
        self.parts.metrics.record_status(&self.parts.status.borrow());
    }

    /// Answers inputs until `deadline`; reports whether the thread must stop.
    fn refuse_inputs_until(
        &mut self,
        deadline: Instant,
        inputs: &Receiver<ConsensusInput>,
    ) -> bool {
        // Inputs that keep coming must not put off the next try.
        while let Some(remaining) = deadline.checked_duration_since(Instant::now()) {
            match inputs.recv_timeout(remaining) {
                Ok(ConsensusInput::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
                Ok(input) => self.refuse_input(input),
                Err(RecvTimeoutError::Timeout) => return false,
            }
        }
        false
    }

    /// Refuses a request, or drops an input that concerns the cell or the duties of a leader: its sender
    /// repeats it, or it is void because the replica no longer leads.
    fn refuse_input(&mut self, input: ConsensusInput) {
        let error = RequestError::StorageUnwritable;
        match input {
            // The send fails if the requester has given up, and nobody else needs the answer.
            ConsensusInput::Propose { reply, .. } => drop(reply.send(Err(error))),
            ConsensusInput::Read(task) => Self::refuse_reads(vec![task], error),
            ConsensusInput::ReadLocal(task) => self.run_reads(vec![task]),
            _ => (),
        }
    }

    /// Replaces the dropped replica by one that starts from what the disk holds.
    fn start_replica(&mut self, persisted: PersistedState) -> Result<(), ConsensusError> {
        if let Some(snapshot) = &persisted.snapshot
            && snapshot.index > self.parts.applied
        {
            self.replace_state(snapshot.index, decode_state(&snapshot.data)?);
        }
        let now = self.parts.clock.now();
        self.parts.replica = self.parts.start.replica(persisted, now)?;
        self.stalls.restart();
        self.parts.metrics.storage_unwritable.set(0);
        self.publish_status();
        Ok(())
    }
}
