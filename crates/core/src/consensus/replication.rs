//! The leader's side of replication: appends, heartbeats, snapshots and commits.
//!
//! Sends each follower what its window allows, and commits the entries that a majority holds. The state is
//! elsewhere: progress in [`super::leader`], entries in [`super::log`].

use super::leader::Leader;
use super::log::Log;
use super::message::{AppendOutcome, AppendRequest, LogEnd, Message, MessageBody, SnapshotChunk};
use super::progress::{Progress, ProgressState, SnapshotTransfer};
use super::replica::{Replica, RoleState};
use super::{Action, ConsensusSettings, Entry, HardState, Payload, Rejection, RequestId};
use crate::identity::ReplicaId;
use crate::time::{Timestamp, millis};

/// Sends the leader's messages to one follower.
struct FollowerSender<'a> {
    to: ReplicaId,
    settings: &'a ConsensusSettings,
    hard_state: HardState,
    log: &'a Log,
    outbox: &'a mut Vec<Action<Message>>,
}

impl FollowerSender<'_> {
    fn send(&mut self, body: MessageBody) {
        let message = Message { term: self.hard_state.term, body };
        self.outbox.push(Action::Send { to: self.to, message });
    }

    /// Sends all appends or snapshot chunks that the follower's window allows.
    fn fill_window(&mut self, progress: &mut Progress) {
        while progress.may_send_append(self.log.last_index(), self.hard_state.commit) {
            if !self.send_append(progress) {
                self.begin_snapshot(progress);
                break;
            }
        }
        if let ProgressState::Snapshot(transfer) = &mut progress.state {
            self.send_chunks(transfer);
        }
    }

    /// Sends one append. Returns false if the log no longer holds the entry before it, or its first entry.
    fn send_append(&mut self, progress: &mut Progress) -> bool {
        let index = progress.next_index - 1;
        let Some(term) = self.log.term_at(index) else { return false };
        let entries = if progress.may_send_entries() {
            self.log.limited_range(progress.next_index, self.settings.append_bytes_limit)
        } else {
            Vec::new()
        };
        if entries.first().is_some_and(|entry| entry.index != progress.next_index) {
            return false;
        }
        let commit = self.hard_state.commit;
        progress.record_append(index + entries.len() as u64, entries.len(), commit);
        let previous = LogEnd { index, term };
        self.send(MessageBody::AppendRequest(AppendRequest { previous, entries, commit }));
        true
    }

    /// Sends an empty append, to check that the follower has received all entries sent to it.
    fn send_empty_append(&mut self, progress: &mut Progress) {
        let index = progress.next_index - 1;
        let Some(term) = self.log.term_at(index) else {
            // The entries in flight are compacted, so the log cannot tell whether they
            // arrived. The new probe ends in a snapshot.
            progress.begin_probe(progress.match_index + 1);
            return;
        };
        let previous = LogEnd { index, term };
        let commit = self.hard_state.commit;
        let request = AppendRequest { previous, entries: Vec::new(), commit };
        self.send(MessageBody::AppendRequest(request));
    }

    fn begin_snapshot(&mut self, progress: &mut Progress) {
        match self.log.snapshot() {
            Some(snapshot) => progress.begin_snapshot(snapshot.clone()),
            None => ::log::error!(
                to = self.to.0;
                "log is compacted without a snapshot: follower cannot catch up"
            ),
        }
    }

    fn send_chunks(&mut self, transfer: &mut SnapshotTransfer) {
        while transfer.may_send_chunk(self.settings.snapshot_chunk_bytes) {
            let snapshot = transfer.snapshot.clone();
            let total = snapshot.data.len();
            let start = usize::try_from(transfer.sent_bytes).unwrap_or(total).min(total);
            let end = total.min(start + self.settings.snapshot_chunk_bytes);
            transfer.sent_bytes = end as u64;
            transfer.all_sent = end == total;
            self.send(MessageBody::SnapshotChunk(SnapshotChunk {
                last: LogEnd { index: snapshot.index, term: snapshot.term },
                cell: snapshot.cell.clone(),
                total: total as u64,
                offset: start as u64,
                data: snapshot.data[start..end].to_vec(),
            }));
        }
    }
}

/// Returns the next index to probe after a rejection, from the follower's hint.
fn next_index_after_conflict(log: &Log, outcome: &AppendOutcome) -> Option<u64> {
    let AppendOutcome::Rejected { previous_index, conflict_term, conflict_index } = *outcome else {
        return None;
    };
    // The leader's last entry of the follower's conflicting term is the last one that may match.
    let last_of_conflict_term = conflict_term.and_then(|term| log.last_index_of_term(term));
    let next_index = match last_of_conflict_term {
        Some(index) if index < previous_index => index + 1,
        _ => conflict_index,
    };
    // The index that did not match must not be probed again.
    Some(next_index.clamp(1, previous_index.max(1)))
}

impl Replica {
    /// Calls `send` for every follower, or for `only` one. Does nothing if this replica is not the leader.
    fn for_each_follower(
        &mut self,
        only: Option<ReplicaId>,
        mut send: impl FnMut(&mut FollowerSender<'_>, &mut Progress),
    ) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let is_selected = |id: &ReplicaId| only.is_none_or(|only| only == *id);
        for (to, progress) in leader.progress.iter_mut().filter(|(id, _)| is_selected(id)) {
            let mut sender = FollowerSender {
                to: *to,
                settings: &self.settings,
                hard_state: self.hard_state,
                log: &self.log,
                outbox: &mut self.outbox,
            };
            send(&mut sender, progress);
        }
    }

    /// Sends every follower the appends and snapshot chunks that its window allows.
    pub(super) fn send_appends(&mut self) {
        self.for_each_follower(None, |sender, progress| sender.fill_window(progress));
    }

    /// Starts a heartbeat round, which also confirms the waiting reads.
    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let commit = self.hard_state.commit;
        let interval = self.settings.heartbeat_interval;
        let RoleState::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat = now + interval;
        let round = leader.reads.begin_round(now, commit.max(leader.first_index));
        self.for_each_follower(None, |sender, progress| {
            let commit = commit.min(progress.match_index);
            sender.send(MessageBody::HeartbeatRequest { commit, round });
        });
        self.confirm_reads();
    }

    pub(super) fn handle_leader_tick(&mut self, now: Timestamp) {
        let timeout = self.settings.election_timeout;
        let RoleState::Leader(leader) = &mut self.role else { return };
        if !leader.has_responding_quorum(&self.log, self.settings.id, now, timeout) {
            ::log::warn!(
                replica = self.settings.id.0, term = self.hard_state.term.0,
                late_ms = millis(now.saturating_since(leader.next_heartbeat)),
                silent_ms:? = leader.silent_times(now);
                "leader steps down: no majority of the voters responded"
            );
            // The others may follow a leader of a higher term, so this replica must stop serving callers.
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        leader.expire_transfer(now);
        if now >= leader.next_heartbeat {
            self.send_heartbeats(now);
        }
    }

    pub(super) fn handle_propose(&mut self, request: RequestId, command: Vec<u8>) {
        if let Some(rejection) = self.proposal_rejection() {
            self.reject(request, rejection);
        } else {
            self.append_proposal(request, Payload::Command(command));
        }
    }

    /// Returns why this replica cannot accept proposals now; none if it can.
    pub(super) fn proposal_rejection(&self) -> Option<Rejection> {
        match &self.role {
            RoleState::Leader(leader) => leader
                .transfer
                .as_ref()
                .map(|transfer| Rejection::NotLeader { leader: Some(transfer.target) }),
            _ => Some(Rejection::NotLeader { leader: self.leader }),
        }
    }

    pub(super) fn append_proposal(&mut self, request: RequestId, payload: Payload) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let index = self.log.last_index() + 1;
        leader.proposals.insert(index, request);
        self.log.append(Entry { term: self.hard_state.term, index, payload });
    }

    pub(super) fn complete_proposals(&mut self, commit: u64) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let uncommitted = leader.proposals.split_off(&(commit + 1));
        let completed = std::mem::replace(&mut leader.proposals, uncommitted);
        let committed = |(index, request)| Action::Committed { request, index };
        self.outbox.extend(completed.into_iter().map(committed));
    }

    /// Records that a follower responded in this term. Returns its progress and the log.
    fn record_response(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
    ) -> Option<(&mut Progress, &Log)> {
        let RoleState::Leader(leader) = &mut self.role else { return None };
        let progress = leader.progress.get_mut(&from)?;
        progress.record_response(now);
        Some((progress, &self.log))
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        outcome: AppendOutcome,
    ) {
        let Some((progress, log)) = self.record_response(now, from) else { return };
        match outcome {
            AppendOutcome::Accepted { match_index } if match_index <= log.last_index() => {
                progress.record_match(match_index);
            }
            AppendOutcome::Rejected { previous_index, .. }
                if progress.is_current_rejection(previous_index) =>
            {
                if let Some(next_index) = next_index_after_conflict(log, &outcome) {
                    progress.begin_probe(next_index);
                }
            }
            AppendOutcome::Accepted { .. } | AppendOutcome::Rejected { .. } => {}
        }
        self.continue_transfer(from);
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        round: u64,
    ) {
        let Some((progress, log)) = self.record_response(now, from) else { return };
        let needs_append = progress.record_heartbeat_response(round, log.last_index());
        if needs_append {
            self.for_each_follower(Some(from), |sender, progress| {
                sender.send_empty_append(progress)
            });
        }
        self.confirm_reads();
    }

    pub(super) fn handle_snapshot_response(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        index: u64,
        received: u64,
    ) {
        if let Some((progress, _)) = self.record_response(now, from) {
            progress.record_snapshot_received(index, received);
        }
    }

    /// Commits the entries that a majority holds. Entries of earlier terms are committed
    /// only through a later entry of the current term: a later leader could replace
    /// them although a majority holds them.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let RoleState::Leader(leader) = &self.role else { return };
        let own_id = self.settings.id;
        let last_index = self.log.last_index();
        let quorum_index =
            leader.quorum_value(&self.log, own_id, last_index, |progress| progress.match_index);
        let Some(quorum_index) = quorum_index else { return };
        let is_current_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index > self.hard_state.commit && is_current_term {
            self.hard_state.commit = quorum_index;
            self.apply_committed();
            self.step_down_if_removed(now);
        }
    }

    pub(super) fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            RoleState::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
