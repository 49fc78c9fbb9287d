//! The leader's side of replication: appends, heartbeats, snapshots and commits.
//!
//! Sends each follower what its window allows, and commits what a majority holds. Owns no state: progress is in
//! [`super::leader`], the log in [`super::log`].

use super::leader::Leader;
use super::log::Log;
use super::message::{AppendOutcome, AppendRequest, LogEnd, Message, MessageBody, SnapshotChunk};
use super::progress::{Progress, ProgressState, SnapshotTransfer};
use super::replica::{Replica, RoleState};
use super::{Action, ConsensusSettings, Entry, HardState, Payload, Rejection, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;

/// What a leader needs to write messages to one follower.
struct Sender<'a> {
    to: ReplicaId,
    settings: &'a ConsensusSettings,
    hard_state: HardState,
    log: &'a Log,
    outbox: &'a mut Vec<Action<Message>>,
}

impl Sender<'_> {
    fn send(&mut self, body: MessageBody) {
        let message = Message { term: self.hard_state.term, body };
        self.outbox.push(Action::Send { to: self.to, message });
    }

    /// Sends everything that the follower's window allows.
    fn fill_window(&mut self, progress: &mut Progress) {
        while progress.may_append(self.log.last_index(), self.hard_state.commit) {
            if !self.send_append(progress) {
                self.begin_snapshot(progress);
                break;
            }
        }
        if let ProgressState::Snapshot(transfer) = &mut progress.state {
            self.send_chunks(transfer);
        }
    }

    /// Sends one append; returns false when the log no longer holds its place.
    fn send_append(&mut self, progress: &mut Progress) -> bool {
        let index = progress.next_index - 1;
        let Some(term) = self.log.term_at(index) else { return false };
        let entries = if progress.has_window() {
            self.log.limited_range(progress.next_index, self.settings.append_bytes_limit)
        } else {
            Vec::new()
        };
        if entries.first().is_some_and(|entry| entry.index != progress.next_index) {
            return false;
        }
        let commit = self.hard_state.commit;
        progress.appended(index + entries.len() as u64, entries.len(), commit);
        let previous = LogEnd { index, term };
        self.send(MessageBody::AppendRequest(AppendRequest { previous, entries, commit }));
        true
    }

    /// Asks by an empty append whether the follower has all that was sent to it.
    fn send_place_check(&mut self, progress: &mut Progress) {
        let index = progress.next_index - 1;
        let Some(term) = self.log.term_at(index) else {
            // Compaction overtook what is under way, and nothing in the log can
            // tell whether it arrived: start over, which ends in a snapshot.
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
            None => ::log::error!(to = self.to.0; "compacted log without a snapshot"),
        }
    }

    fn send_chunks(&mut self, transfer: &mut SnapshotTransfer) {
        while transfer.may_send(self.settings.snapshot_chunk_bytes) {
            let snapshot = transfer.snapshot.clone();
            let total = snapshot.data.len();
            let start = usize::try_from(transfer.sent).unwrap_or(total).min(total);
            let end = total.min(start + self.settings.snapshot_chunk_bytes);
            transfer.sent = end as u64;
            transfer.complete = end == total;
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

/// Where the logs may meet after a rejection, from the follower's hint.
fn next_index_after_conflict(log: &Log, outcome: &AppendOutcome) -> Option<u64> {
    let AppendOutcome::Rejected { previous_index, conflict_term, conflict_index } = *outcome else {
        return None;
    };
    // Our last entry of the follower's term is the last one that may be equal.
    let shared = conflict_term.and_then(|term| log.last_index_of_term(term));
    let next = match shared {
        Some(index) if index < previous_index => index + 1,
        _ => conflict_index,
    };
    // The place that did not match must not be asked for again.
    Some(next.clamp(1, previous_index.max(1)))
}

impl Replica {
    /// Runs `work` for every follower, or for `only` one, while this replica leads.
    fn each_follower(
        &mut self,
        only: Option<ReplicaId>,
        mut work: impl FnMut(&mut Sender<'_>, &mut Progress),
    ) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let wanted = |id: &ReplicaId| only.is_none_or(|only| only == *id);
        for (to, progress) in leader.progress.iter_mut().filter(|(id, _)| wanted(id)) {
            let mut sender = Sender {
                to: *to,
                settings: &self.settings,
                hard_state: self.hard_state,
                log: &self.log,
                outbox: &mut self.outbox,
            };
            work(&mut sender, progress);
        }
    }

    /// Sends to every follower what its window allows.
    pub(super) fn send_appends(&mut self) {
        self.each_follower(None, |sender, progress| sender.fill_window(progress));
    }

    /// Starts a heartbeat round; reads that wait ride on it.
    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let commit = self.hard_state.commit;
        let interval = self.settings.heartbeat_interval;
        let RoleState::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat = now + interval;
        let round = leader.reads.begin_round(now, commit.max(leader.first_index));
        self.each_follower(None, |sender, progress| {
            let commit = commit.min(progress.match_index);
            sender.send(MessageBody::HeartbeatRequest { commit, round });
        });
        self.confirm_reads();
    }

    pub(super) fn leader_tick(&mut self, now: Timestamp) {
        let timeout = self.settings.election_timeout;
        let RoleState::Leader(leader) = &mut self.role else { return };
        if !leader.has_recent_quorum(&self.log, self.settings.id, now, timeout) {
            // Others may have a leader of a higher term; this one must not keep callers.
            self.become_follower(now, self.hard_state.term, None);
            return;
        }
        leader.expire_transfer(now);
        if now >= leader.next_heartbeat {
            self.send_heartbeats(now);
        }
    }

    pub(super) fn handle_propose(&mut self, request: RequestId, command: Vec<u8>) {
        if let Some(rejection) = self.proposal_obstacle() {
            self.reject(request, rejection);
        } else {
            self.append_proposal(request, Payload::Command(command));
        }
    }

    /// Why this replica takes no proposals now, if so.
    pub(super) fn proposal_obstacle(&self) -> Option<Rejection> {
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

    pub(super) fn answer_proposals(&mut self, commit: u64) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let later = leader.proposals.split_off(&(commit + 1));
        let answered = std::mem::replace(&mut leader.proposals, later);
        let committed = |(index, request)| Action::Committed { request, index };
        self.outbox.extend(answered.into_iter().map(committed));
    }

    /// Notes that a follower answered in this term.
    fn note_answer(&mut self, now: Timestamp, from: ReplicaId) -> Option<(&mut Progress, &Log)> {
        let RoleState::Leader(leader) = &mut self.role else { return None };
        let progress = leader.progress.get_mut(&from)?;
        progress.last_answer = now;
        Some((progress, &self.log))
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        outcome: AppendOutcome,
    ) {
        let Some((progress, log)) = self.note_answer(now, from) else { return };
        match outcome {
            AppendOutcome::Accepted { match_index } if match_index <= log.last_index() => {
                progress.accepted(match_index);
            }
            AppendOutcome::Rejected { previous_index, .. }
                if progress.expects_rejection(previous_index) =>
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
        let Some((progress, log)) = self.note_answer(now, from) else { return };
        let check_place = progress.heartbeat_answered(round, log.last_index());
        if check_place {
            self.each_follower(Some(from), |sender, progress| sender.send_place_check(progress));
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
        if let Some((progress, _)) = self.note_answer(now, from) {
            progress.snapshot_received(index, received);
        }
    }

    /// Commits what a majority holds. Entries of earlier terms are committed only
    /// by an entry of this term after them: a majority alone does not keep a
    /// later leader from replacing them.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let RoleState::Leader(leader) = &self.role else { return };
        let own = self.settings.id;
        let last = self.log.last_index();
        let held = leader.quorum_value(&self.log, own, last, |progress| progress.match_index);
        let Some(held) = held else { return };
        let of_this_term = self.log.term_at(held) == Some(self.hard_state.term);
        if held > self.hard_state.commit && of_this_term {
            self.hard_state.commit = held;
            self.apply_committed();
            self.leave_if_removed(now);
        }
    }

    pub(super) fn leader_state(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            RoleState::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
