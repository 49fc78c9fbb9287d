//! Responses of the voters during an election or pre-election, and its result.

use super::{CellConfig, voter_ids};
use crate::identity::ReplicaId;
use std::collections::BTreeMap;

/// Responses to a vote request or pre-vote request, by replica.
#[derive(Debug, Default)]
pub(super) struct Votes {
    responses: BTreeMap<ReplicaId, bool>,
}

/// Result of an election or pre-election so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VoteResult {
    Pending,
    Won,
    Lost,
}

impl Votes {
    pub(super) fn has_response_from(&self, from: ReplicaId) -> bool {
        self.responses.contains_key(&from)
    }

    /// Records the first response of a replica; later ones are ignored.
    pub(super) fn record(&mut self, from: ReplicaId, granted: bool) {
        self.responses.entry(from).or_insert(granted);
    }

    /// Counts the responses of voters. Responses of learners and of replicas outside the cell are ignored.
    pub(super) fn tally(&self, cell: &CellConfig) -> VoteResult {
        let voters = voter_ids(cell);
        let count = |granted_value: bool| {
            let of_voters = self.responses.iter().filter(|(id, _)| voters.contains(id));
            of_voters.filter(|(_, granted)| **granted == granted_value).count()
        };
        let quorum = voters.len() / 2 + 1;
        if count(true) >= quorum {
            VoteResult::Won
        } else if count(false) > voters.len().saturating_sub(quorum) {
            VoteResult::Lost
        } else {
            VoteResult::Pending
        }
    }
}
