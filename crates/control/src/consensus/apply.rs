//! Performs the core's actions: persists entries, installs snapshots, applies commands and answers requests.
//!
//! The order matters. Entries are synced before anything that relies on them, and a request is answered
//! only once its entry is applied.

use super::input::ProposalAnswer;
use super::pending::{ForwardedProposal, ProposalKind, ProposalOrigin};
use super::thread::{ConsensusError, ConsensusThread};
use crate::cell::PeerMessage;
use crate::error::RequestError;
use crate::state_codec::{decode_state, encode_state};
use corktack_core::consensus::{Entry, Event, HardState, Payload, Rejection, RequestId, Snapshot};
use corktack_core::state::ControlState;
use corktack_core::state::command::Command;
use corktack_core::view::Revision;
use corktack_protocol::frame::decode;
use corktack_storage::LogStore;
use std::time::Instant;

impl ConsensusThread {
    pub(super) fn persist(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), ConsensusError> {
        let started_at = Instant::now();
        self.parts.log.persist(hard_state, entries)?;
        self.record_sync(started_at);
        Ok(())
    }

    fn record_sync(&mut self, started_at: Instant) {
        let elapsed = started_at.elapsed();
        self.parts.metrics.syncs.inc();
        self.parts.metrics.sync_seconds.observe(elapsed.as_secs_f64());
        self.stalls.add_sync(elapsed);
    }

    pub(super) fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), ConsensusError> {
        let state = decode_state(&snapshot.data)?;
        let started_at = Instant::now();
        self.parts.log.install_snapshot(snapshot)?;
        self.record_sync(started_at);
        self.parts.metrics.snapshots.inc();
        self.replace_state(snapshot.index, state);
        Ok(())
    }

    /// Replaces the state by that of the snapshot at `index`, which is on disk.
    pub(super) fn replace_state(&mut self, index: u64, state: ControlState) {
        self.parts.state = state;
        self.parts.applied = index;
        self.snapshot_index = index;
        self.outcomes.clear();
        self.parts.feed.reset(self.parts.state.view_revision());
        self.answer_applied();
    }

    pub(super) fn apply(&mut self, entries: Vec<Entry>) -> Result<(), ConsensusError> {
        // A replica that was started anew after an outage of the disk hands out again what is applied.
        let applied = self.parts.applied;
        for entry in entries.into_iter().filter(|entry| entry.index > applied) {
            if let Payload::Command(command) = &entry.payload {
                self.apply_command(entry.index, decode(command)?);
            }
            self.parts.applied = entry.index;
        }
        self.answer_applied();
        Ok(())
    }

    fn apply_command(&mut self, index: u64, command: Command) {
        let revision = Revision(index);
        let applied = self.parts.feed.apply(&mut self.parts.state, revision, command);
        self.outcomes.insert(index, applied.outcome);
    }

    /// Answers the proposals and reads that waited for the entries just applied.
    fn answer_applied(&mut self) {
        let applied = self.parts.applied;
        for (index, proposal) in self.pending.take_applied(applied) {
            self.answer_once_applied(index, proposal);
        }
        let reads = self.pending.take_ready_reads(applied);
        self.run_reads(reads);
    }

    /// Answers a committed proposal once its entry is applied here, so that a later read on this replica
    /// sees the change.
    pub(super) fn answer_once_applied(&mut self, index: u64, proposal: ForwardedProposal) {
        if index > self.parts.applied {
            self.pending.await_apply(index, proposal);
            return;
        }
        let answer = self.outcome_of(index, proposal.kind);
        // The send fails if the requester has given up, and nobody else needs the answer.
        drop(proposal.reply.send(answer));
    }

    fn outcome_of(&self, index: u64, kind: ProposalKind) -> ProposalAnswer {
        match (kind, self.outcomes.get(index)) {
            (ProposalKind::Cell, _) => Ok(None),
            (ProposalKind::Command, Some(outcome)) => Ok(Some(outcome.clone())),
            (ProposalKind::Command, None) => Err(RequestError::OutcomeForgotten),
        }
    }

    pub(super) fn answer_committed(&mut self, request: RequestId, index: u64) {
        match self.pending.take_proposal(request) {
            Some(ProposalOrigin::Local(kind, reply)) => {
                self.answer_once_applied(index, ForwardedProposal { kind, reply });
            }
            Some(ProposalOrigin::Peer(replica, request)) => {
                let answer = PeerMessage::Forwarded { request, outcome: Ok(index) };
                self.parts.links.send(replica, answer);
            }
            Some(ProposalOrigin::Duty(id)) => {
                let outcome = self.outcomes.get(index).cloned();
                self.parts.duties.record_outcome(self.parts.clock.now(), id, outcome);
            }
            None => (),
        }
    }

    pub(super) fn answer_rejected(&mut self, request: RequestId, rejection: Rejection) {
        if let Some(tasks) = self.pending.take_reads(request) {
            Self::refuse_reads(tasks, rejection.into());
            return;
        }
        self.parts.metrics.proposals_rejected.inc();
        match self.pending.take_proposal(request) {
            Some(ProposalOrigin::Local(_, reply)) => drop(reply.send(Err(rejection.into()))),
            Some(ProposalOrigin::Peer(replica, request)) => {
                let answer = PeerMessage::Forwarded { request, outcome: Err(rejection) };
                self.parts.links.send(replica, answer);
            }
            Some(ProposalOrigin::Duty(id)) => {
                self.parts.duties.record_outcome(self.parts.clock.now(), id, None);
            }
            None => (),
        }
    }

    pub(super) fn answer_reads(&mut self, request: RequestId, index: u64) {
        let Some(tasks) = self.pending.take_reads(request) else { return };
        if index > self.parts.applied {
            self.pending.await_reads(index, tasks);
        } else {
            self.run_reads(tasks);
        }
    }

    /// Replaces the log's applied entries by a snapshot once they number `snapshot_entries`.
    pub(super) fn snapshot_if_due(&mut self) -> Result<(), ConsensusError> {
        let index = self.parts.applied;
        if index < self.snapshot_index + self.parts.snapshot_entries {
            return Ok(());
        }
        let Some((term, cell)) = self.parts.replica.snapshot_header(index) else { return Ok(()) };
        let data = encode_state(&self.parts.state)?;
        let snapshot = Snapshot { index, term, cell, data };
        let started_at = Instant::now();
        // The snapshot is synced before the core drops the entries that it covers.
        self.parts.log.compact(&snapshot)?;
        self.record_sync(started_at);
        self.parts.metrics.snapshots.inc();
        self.snapshot_index = index;
        self.step(vec![Event::Compact { snapshot }], Vec::new())
    }
}
