//! Answers to a request for votes, and how it stands.

use super::{CellConfig, voter_ids};
use crate::identity::ReplicaId;
use std::collections::BTreeMap;

/// Answers to a request for votes or pre-votes.
#[derive(Debug, Default)]
pub(super) struct Votes {
    answers: BTreeMap<ReplicaId, bool>,
}

/// How a request for votes stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tally {
    Open,
    Won,
    Lost,
}

impl Votes {
    pub(super) fn has_answer_of(&self, from: ReplicaId) -> bool {
        self.answers.contains_key(&from)
    }

    pub(super) fn record(&mut self, from: ReplicaId, granted: bool) {
        self.answers.entry(from).or_insert(granted);
    }

    /// Counts the answers of voters only: a learner's or a stranger's is worth nothing.
    pub(super) fn tally(&self, cell: &CellConfig) -> Tally {
        let voters = voter_ids(cell);
        let count = |wanted: bool| {
            let of_voters = self.answers.iter().filter(|(id, _)| voters.contains(id));
            of_voters.filter(|(_, granted)| **granted == wanted).count()
        };
        let quorum = voters.len() / 2 + 1;
        if count(true) >= quorum {
            Tally::Won
        } else if count(false) > voters.len().saturating_sub(quorum) {
            Tally::Lost
        } else {
            Tally::Open
        }
    }
}
