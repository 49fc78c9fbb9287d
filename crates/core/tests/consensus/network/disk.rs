//! Simulated disk of a replica, with checks that votes and acknowledgements are synced before they are sent.

use corktack_core::consensus::message::{AppendOutcome, MessageBody};
use corktack_core::consensus::{Entry, HardState, Message, PersistedState, Snapshot};
use corktack_core::identity::ReplicaId;
use std::collections::BTreeMap;

#[derive(Clone, Default)]
pub struct Disk {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: BTreeMap<u64, Entry>,
}

impl Disk {
    pub fn load(&self) -> PersistedState {
        PersistedState {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.values().cloned().collect(),
        }
    }

    /// Checks that the state that `message` relies on is on disk: its term, the vote and the acknowledged
    /// entries.
    pub fn check_synced_before_send(&self, message: &Message, to: u64) {
        assert!(self.hard_state.term >= message.term || is_pre_vote(message), "{message:?}");
        match &message.body {
            MessageBody::VoteResponse { granted: true } => {
                assert_eq!(self.hard_state.vote, Some(ReplicaId(to)), "vote sent before synced");
            }
            MessageBody::VoteRequest { .. } => {
                assert!(self.hard_state.vote.is_some(), "own vote sent before synced");
            }
            MessageBody::AppendResponse(AppendOutcome::Accepted { match_index }) => {
                let last_index = self.entries.last_key_value().map_or(0, |(index, _)| *index);
                let synced = last_index.max(self.snapshot_index());
                assert!(synced >= *match_index, "acknowledged before synced: {message:?}");
            }
            _ => {}
        }
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }
}

/// Reports whether the message is part of a pre-vote, whose term no replica has entered.
fn is_pre_vote(message: &Message) -> bool {
    matches!(message.body, MessageBody::PreVoteRequest(_) | MessageBody::PreVoteResponse { .. })
}

/// Encodes the state machine's state for a snapshot.
pub fn encode_state(state: &[(u64, Vec<u8>)]) -> Vec<u8> {
    serde_json::to_vec(state).expect("encodable state")
}

pub fn decode_state(snapshot: &Snapshot) -> Vec<(u64, Vec<u8>)> {
    serde_json::from_slice(&snapshot.data).expect("decodable state in a snapshot")
}
