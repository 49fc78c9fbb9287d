//! A snapshot that a follower receives in chunks.

use super::message::LogEnd;
use crate::position::Term;

/// A partly received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Term of the leader that sends the snapshot. Chunks of different leaders must not be mixed, because
    /// replicas may encode the same state differently.
    pub(super) leader_term: Term,
    /// Last entry that the snapshot covers.
    pub(super) last_included: LogEnd,
    /// Bytes received so far, contiguous from the start.
    pub(super) data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Reports whether this is the snapshot up to `last_included` from the leader of `leader_term`.
    pub(super) fn is_same_snapshot(&self, leader_term: Term, last_included: LogEnd) -> bool {
        self.leader_term == leader_term && self.last_included == last_included
    }
}
