//! The follower's side of replication: appends, heartbeats and snapshots from the leader.
//!
//! Makes the log match the leader's and never changes committed entries. [`super::election`] admits only
//! messages of the current term's leader.

use super::incoming_snapshot::IncomingSnapshot;
use super::message::{AppendOutcome, AppendRequest, LogEnd, MessageBody, SnapshotChunk};
use super::replica::Replica;
use super::{Entry, Snapshot};
use crate::identity::ReplicaId;

/// Reports whether the entries follow `previous` without a gap and with terms that never decrease.
fn is_well_formed(request: &AppendRequest) -> bool {
    let mut previous = request.previous;
    request.entries.iter().all(|entry| {
        let follows =
            previous.index.checked_add(1) == Some(entry.index) && entry.term >= previous.term;
        previous = LogEnd { index: entry.index, term: entry.term };
        follows
    })
}

impl Replica {
    pub(super) fn handle_append(&mut self, from: ReplicaId, request: AppendRequest) {
        if !is_well_formed(&request) {
            ::log::error!(
                from = from.0;
                "append request has a gap or a decreasing term: request dropped"
            );
            return;
        }
        let outcome = self.append_from_leader(request);
        self.send(from, MessageBody::AppendResponse(outcome));
    }

    fn append_from_leader(&mut self, request: AppendRequest) -> AppendOutcome {
        let last_new_index = request.previous.index + request.entries.len() as u64;
        let commit_index = self.hard_state.commit;
        if last_new_index <= commit_index {
            // Every later leader's log has the same committed entries.
            return AppendOutcome::Accepted { match_index: commit_index };
        }
        let previous = request.previous;
        if previous.index >= commit_index && self.log.term_at(previous.index) != Some(previous.term)
        {
            return self.rejection_at(previous.index);
        }
        let uncommitted = request.entries.into_iter().filter(|entry| entry.index > commit_index);
        for entry in uncommitted {
            self.store_entry(entry);
        }
        self.commit_up_to(request.commit.min(last_new_index));
        AppendOutcome::Accepted { match_index: last_new_index }
    }

    /// Stores an entry of the leader. A conflicting entry of this replica is removed,
    /// together with all entries after it.
    fn store_entry(&mut self, entry: Entry) {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                self.log.truncate_from(entry.index);
                self.log.append(entry);
            }
            None => self.log.append(entry),
        }
    }

    /// Returns the rejection of an append whose `previous` entry does not match, with a hint where the
    /// conflict begins.
    fn rejection_at(&self, previous_index: u64) -> AppendOutcome {
        let conflict_term = self.log.term_at(previous_index);
        let conflict_index = match conflict_term {
            Some(term) => self.log.first_index_of_term(term),
            None => self.log.last_index() + 1,
        };
        AppendOutcome::Rejected { previous_index, conflict_term, conflict_index }
    }

    /// Commits up to `index`, which the leader has committed and up to which this log matches the leader's.
    fn commit_up_to(&mut self, index: u64) {
        self.hard_state.commit = self.hard_state.commit.max(index);
    }

    pub(super) fn handle_heartbeat(&mut self, from: ReplicaId, commit: u64, round: u64) {
        // A correct leader sends at most this replica's match index. The bound
        // protects the log from a faulty leader.
        self.commit_up_to(commit.min(self.log.last_index()));
        self.send(from, MessageBody::HeartbeatResponse { round });
    }

    pub(super) fn handle_snapshot_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let last = chunk.last;
        if last.index <= self.hard_state.commit {
            self.acknowledge_snapshot(from, self.hard_state.commit);
        } else if self.log.term_at(last.index) == Some(last.term) {
            self.commit_up_to(last.index);
            self.acknowledge_snapshot(from, last.index);
        } else {
            self.collect_chunk(from, chunk);
        }
    }

    fn acknowledge_snapshot(&mut self, from: ReplicaId, match_index: u64) {
        self.incoming_snapshot = None;
        let outcome = AppendOutcome::Accepted { match_index };
        self.send(from, MessageBody::AppendResponse(outcome));
    }

    fn collect_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let term = self.hard_state.term;
        let matching = self
            .incoming_snapshot
            .take()
            .filter(|incoming| incoming.is_same_snapshot(term, chunk.last));
        let mut incoming = matching.unwrap_or(IncomingSnapshot {
            leader_term: term,
            last_included: chunk.last,
            data: Vec::new(),
        });
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received == chunk.total {
            self.install_snapshot(from, incoming, chunk);
        } else {
            self.incoming_snapshot = Some(incoming);
            let index = chunk.last.index;
            self.send(from, MessageBody::SnapshotResponse { index, received });
        }
    }

    fn install_snapshot(
        &mut self,
        from: ReplicaId,
        incoming: IncomingSnapshot,
        chunk: SnapshotChunk,
    ) {
        let LogEnd { index, term } = incoming.last_included;
        let snapshot = Snapshot { index, term, cell: chunk.cell, data: incoming.data };
        // Apply actions queued earlier in this batch would be handed out after the snapshot,
        // where their entries no longer fit. The snapshot covers them.
        self.outbox.retain(|action| !matches!(action, super::Action::Apply(_)));
        self.log.restore(snapshot.clone());
        self.hard_state.commit = index;
        self.applied_index = index;
        self.snapshot_to_install = Some(snapshot);
        self.acknowledge_snapshot(from, index);
    }
}
