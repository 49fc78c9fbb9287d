//! The follower's side of replication: appends, heartbeats and snapshots from the leader.
//!
//! Keeps the log as the leader's, never changing what is committed. Relies on [`super::election`] to let through
//! only messages of the current term's leader.

use super::incoming_snapshot::IncomingSnapshot;
use super::message::{AppendOutcome, AppendRequest, LogEnd, MessageBody, SnapshotChunk};
use super::replica::Replica;
use super::{Entry, Snapshot};
use crate::identity::ReplicaId;

/// Whether the entries follow `previous` without a gap and with terms that never decrease.
fn well_formed(request: &AppendRequest) -> bool {
    let mut before = request.previous;
    request.entries.iter().all(|entry| {
        let follows = before.index.checked_add(1) == Some(entry.index) && entry.term >= before.term;
        before = LogEnd { index: entry.index, term: entry.term };
        follows
    })
}

impl Replica {
    pub(super) fn handle_append(&mut self, from: ReplicaId, request: AppendRequest) {
        if !well_formed(&request) {
            ::log::error!(from = from.0; "append with a gap");
            return;
        }
        let outcome = self.append_from_leader(request);
        self.send(from, MessageBody::AppendResponse(outcome));
    }

    fn append_from_leader(&mut self, request: AppendRequest) -> AppendOutcome {
        let end = request.previous.index + request.entries.len() as u64;
        let committed = self.hard_state.commit;
        if end <= committed {
            // Committed entries are the same in every later leader's log.
            return AppendOutcome::Accepted { match_index: committed };
        }
        let previous = request.previous;
        if previous.index >= committed && self.log.term_at(previous.index) != Some(previous.term) {
            return self.conflict_at(previous.index);
        }
        let uncommitted = request.entries.into_iter().filter(|entry| entry.index > committed);
        for entry in uncommitted {
            self.store(entry);
        }
        self.commit_up_to(request.commit.min(end));
        AppendOutcome::Accepted { match_index: end }
    }

    /// Stores an entry of the leader; one of ours that conflicts with it goes,
    /// with everything after it.
    fn store(&mut self, entry: Entry) {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                self.log.truncate_from(entry.index);
                self.log.append(entry);
            }
            None => self.log.append(entry),
        }
    }

    fn conflict_at(&self, previous_index: u64) -> AppendOutcome {
        let conflict_term = self.log.term_at(previous_index);
        let conflict_index = match conflict_term {
            Some(term) => self.log.first_index_of_term(term),
            None => self.log.last_index() + 1,
        };
        AppendOutcome::Rejected { previous_index, conflict_term, conflict_index }
    }

    /// Commits what the leader committed; `index` is known to match its log.
    fn commit_up_to(&mut self, index: u64) {
        self.hard_state.commit = self.hard_state.commit.max(index);
    }

    pub(super) fn handle_heartbeat(&mut self, from: ReplicaId, commit: u64, round: u64) {
        // The leader sends no more than what it knows to match here. The bound
        // guards the log against a leader that does not.
        self.commit_up_to(commit.min(self.log.last_index()));
        self.send(from, MessageBody::HeartbeatResponse { round });
    }

    pub(super) fn handle_snapshot_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let last = chunk.last;
        if last.index <= self.hard_state.commit {
            self.accept_snapshot(from, self.hard_state.commit);
        } else if self.log.term_at(last.index) == Some(last.term) {
            self.commit_up_to(last.index);
            self.accept_snapshot(from, last.index);
        } else {
            self.collect_chunk(from, chunk);
        }
    }

    fn accept_snapshot(&mut self, from: ReplicaId, match_index: u64) {
        self.incoming = None;
        let outcome = AppendOutcome::Accepted { match_index };
        self.send(from, MessageBody::AppendResponse(outcome));
    }

    fn collect_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let term = self.hard_state.term;
        let known = self.incoming.take().filter(|incoming| incoming.is_of(term, chunk.last));
        let mut incoming = known.unwrap_or(IncomingSnapshot {
            leader_term: term,
            last: chunk.last,
            data: Vec::new(),
        });
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received == chunk.total {
            self.install(from, incoming, chunk);
        } else {
            self.incoming = Some(incoming);
            let index = chunk.last.index;
            self.send(from, MessageBody::SnapshotResponse { index, received });
        }
    }

    fn install(&mut self, from: ReplicaId, incoming: IncomingSnapshot, chunk: SnapshotChunk) {
        let LogEnd { index, term } = incoming.last;
        let snapshot = Snapshot { index, term, cell: chunk.cell, data: incoming.data };
        // Entries handed to the shell and not applied yet would come after the
        // snapshot in the batch, where they no longer fit.
        self.outbox.retain(|action| !matches!(action, super::Action::Apply(_)));
        self.log.reset_to(snapshot.clone());
        self.hard_state.commit = index;
        self.applied = index;
        self.installed = Some(snapshot);
        self.accept_snapshot(from, index);
    }
}
