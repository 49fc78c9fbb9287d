//! State of a leader during one term: progress of the other members, pending proposals and reads, and a
//! leadership transfer. Computes which values a majority has reached; the cell in force comes from the log.

use super::log::Log;
use super::pending_reads::LeaderReads;
use super::progress::{MAX_ALLOWED_SILENCE, Progress};
use super::{RequestId, voter_ids};
use crate::identity::ReplicaId;
use crate::time::{Timestamp, millis};
use std::collections::BTreeMap;
use std::time::Duration;

/// Election timeouts for which a follower may always stay silent. Followers wait for up to two before an
/// election, so with fewer the leader gives up while nobody can have replaced it; with more, a leader that is
/// cut off takes longer to notice.
const ALLOWED_SILENT_ELECTION_TIMEOUTS: u32 = 2;

/// State of a leader; dropped when the leader steps down.
#[derive(Debug)]
pub(super) struct Leader {
    /// Progress of every other member of the cell in force, voters and learners.
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this term. Reads and the driver's duties wait for its commit; cell
    /// changes are refused until then.
    pub(super) first_index: u64,
    /// Pending proposals by the index of their entry.
    pub(super) proposals: BTreeMap<u64, RequestId>,
    pub(super) reads: LeaderReads,
    pub(super) next_heartbeat: Timestamp,
    pub(super) transfer: Option<LeadershipTransfer>,
    /// Time that the election took, with the syncs of the candidate and its voters.
    election_duration: Duration,
}

/// A leadership transfer in progress. Proposals are refused meanwhile, so that the target can catch up.
#[derive(Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) target: ReplicaId,
    deadline: Timestamp,
    pub(super) timeout_now_sent: bool,
}

impl LeadershipTransfer {
    pub(super) const fn new(target: ReplicaId, deadline: Timestamp) -> Self {
        Self { target, deadline, timeout_now_sent: false }
    }
}

impl Leader {
    /// Creates the state of a new leader that appends its first entry at `first_index`.
    pub(super) fn new(
        log: &Log,
        own_id: ReplicaId,
        first_index: u64,
        now: Timestamp,
        election_duration: Duration,
    ) -> Self {
        let mut leader = Self {
            progress: BTreeMap::new(),
            first_index,
            proposals: BTreeMap::new(),
            reads: LeaderReads::default(),
            next_heartbeat: now,
            transfer: None,
            election_duration,
        };
        leader.update_tracked_members(log, own_id, now);
        leader
    }

    /// Adds and removes progress so that it covers the other members of the cell in force.
    pub(super) fn update_tracked_members(&mut self, log: &Log, own_id: ReplicaId, now: Timestamp) {
        let cell = log.cell();
        let members = || cell.voters.iter().chain(&cell.learners).map(|member| member.id);
        self.progress.retain(|id, _| members().any(|member| member == *id));
        let next_index = log.last_index().max(1);
        for id in members().filter(|id| *id != own_id) {
            self.progress.entry(id).or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Returns the highest value that a majority of the voters has reached.
    pub(super) fn quorum_value<T: Ord + Copy>(
        &self,
        log: &Log,
        own_id: ReplicaId,
        own_value: T,
        value: impl Fn(&Progress) -> T,
    ) -> Option<T> {
        let voters = voter_ids(log.cell());
        let mut values: Vec<T> = voters
            .iter()
            .filter_map(|id| {
                if *id == own_id { Some(own_value) } else { self.progress.get(id).map(&value) }
            })
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        // In descending order, a majority of the voters has at least the value in the middle.
        values.get(voters.len() / 2).copied()
    }

    /// Reports whether a majority of the voters, this replica included, is not overdue with a response.
    pub(super) fn has_responding_quorum(
        &self,
        log: &Log,
        own_id: ReplicaId,
        now: Timestamp,
        election_timeout: Duration,
    ) -> bool {
        let allowed = self.allowed_silence(election_timeout);
        let responds = |id: &&ReplicaId| {
            let progress = self.progress.get(id);
            **id == own_id || progress.is_some_and(|progress| !progress.is_overdue(now, allowed))
        };
        let voters = voter_ids(log.cell());
        voters.iter().filter(responds).count() > voters.len() / 2
    }

    /// Returns the time for which a follower may stay silent. A follower responds to nothing while it syncs an
    /// append, which may take as long as the votes did.
    fn allowed_silence(&self, election_timeout: Duration) -> Duration {
        let usual = election_timeout.saturating_mul(ALLOWED_SILENT_ELECTION_TIMEOUTS);
        usual.saturating_add(self.election_duration).min(MAX_ALLOWED_SILENCE.max(usual))
    }

    /// Returns the time since each other member's last response, in milliseconds.
    pub(super) fn silent_times(&self, now: Timestamp) -> BTreeMap<u64, u64> {
        let silent_ms = |progress: &Progress| millis(now.saturating_since(progress.last_response));
        self.progress.iter().map(|(id, progress)| (id.0, silent_ms(progress))).collect()
    }

    /// Aborts a leadership transfer whose deadline has passed.
    pub(super) fn expire_transfer(&mut self, now: Timestamp) {
        self.transfer.take_if(|transfer| now >= transfer.deadline);
    }

    /// Returns when the leader next needs a tick.
    pub(super) fn next_deadline(&self) -> Timestamp {
        let transfer_deadline = self.transfer.as_ref().map(|transfer| transfer.deadline);
        let other_deadlines = [transfer_deadline, self.reads.next_round_at()].into_iter().flatten();
        other_deadlines.fold(self.next_heartbeat, Timestamp::min)
    }
}
