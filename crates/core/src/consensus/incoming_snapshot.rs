//! A snapshot that a follower receives piece by piece.

use super::message::LogEnd;
use crate::position::Term;

/// A snapshot of which pieces are missing.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Term of the leader that sends it: replicas may encode the same state differently.
    pub(super) leader_term: Term,
    pub(super) last: LogEnd,
    pub(super) data: Vec<u8>,
}

impl IncomingSnapshot {
    /// Whether it is the snapshot that this leader sends.
    pub(super) fn is_of(&self, leader_term: Term, last: LogEnd) -> bool {
        self.leader_term == leader_term && self.last == last
    }
}
