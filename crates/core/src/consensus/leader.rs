//! What only a leader keeps: progress of the others, proposals, reads and a hand-over under way.
//!
//! Owns that state for one leadership, and what a majority has reached. Relies on the log for the cell in force.

use super::log::Log;
use super::pending_reads::LeaderReads;
use super::progress::Progress;
use super::{RequestId, voter_ids};
use crate::identity::ReplicaId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// State of a leader; dropped when it steps down.
#[derive(Debug)]
pub(super) struct Leader {
    /// Every other member of the cell in force.
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this term; reads and changes of the cell wait for it.
    pub(super) first_index: u64,
    /// Proposals by the index of their entry.
    pub(super) proposals: BTreeMap<u64, RequestId>,
    pub(super) reads: LeaderReads,
    pub(super) next_heartbeat: Timestamp,
    pub(super) transfer: Option<Transfer>,
}

/// A hand-over under way. Proposals are refused meanwhile, so the target can catch up.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) target: ReplicaId,
    deadline: Timestamp,
    pub(super) asked: bool,
}

impl Transfer {
    pub(super) const fn new(target: ReplicaId, deadline: Timestamp) -> Self {
        Self { target, deadline, asked: false }
    }
}

impl Leader {
    /// State of a leader whose first entry will stand at `first_index`.
    pub(super) fn new(log: &Log, own: ReplicaId, first_index: u64, now: Timestamp) -> Self {
        let mut leader = Self {
            progress: BTreeMap::new(),
            first_index,
            proposals: BTreeMap::new(),
            reads: LeaderReads::default(),
            next_heartbeat: now,
            transfer: None,
        };
        leader.follow_cell(log, own, now);
        leader
    }

    /// Makes the set of followers that of the cell in force.
    pub(super) fn follow_cell(&mut self, log: &Log, own: ReplicaId, now: Timestamp) {
        let cell = log.cell();
        let members = || cell.voters.iter().chain(&cell.learners).map(|member| member.id);
        self.progress.retain(|id, _| members().any(|member| member == *id));
        let next_index = log.last_index().max(1);
        for id in members().filter(|id| *id != own) {
            self.progress.entry(id).or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// The highest value that a majority of the voters has reached.
    pub(super) fn quorum_value<T: Ord + Copy>(
        &self,
        log: &Log,
        own: ReplicaId,
        own_value: T,
        value: impl Fn(&Progress) -> T,
    ) -> Option<T> {
        let voters = voter_ids(log.cell());
        let mut values: Vec<T> = voters
            .iter()
            .filter_map(|id| {
                if *id == own { Some(own_value) } else { self.progress.get(id).map(&value) }
            })
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        // With the values in falling order, a majority has at least the one in the middle.
        values.get(voters.len() / 2).copied()
    }

    /// Whether a majority of the voters answered within `timeout`.
    pub(super) fn has_recent_quorum(
        &self,
        log: &Log,
        own: ReplicaId,
        now: Timestamp,
        timeout: Duration,
    ) -> bool {
        self.quorum_value(log, own, now, |progress| progress.last_answer)
            .is_some_and(|answered| now.saturating_since(answered) <= timeout)
    }

    /// Gives up a hand-over that took too long.
    pub(super) fn expire_transfer(&mut self, now: Timestamp) {
        self.transfer.take_if(|transfer| now >= transfer.deadline);
    }

    /// When the leader next has something to do.
    pub(super) fn next_deadline(&self) -> Timestamp {
        let transfer = self.transfer.as_ref().map(|transfer| transfer.deadline);
        let others = [transfer, self.reads.round_due()].into_iter().flatten();
        others.fold(self.next_heartbeat, Timestamp::min)
    }
}
