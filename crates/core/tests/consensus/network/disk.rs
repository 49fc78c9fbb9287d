//! What a replica has on its disk, and the promises that must be there before they leave.

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

    /// A vote and an acknowledgement are on disk before they leave.
    pub fn check_promise(&self, message: &Message, to: u64) {
        assert!(self.hard_state.term >= message.term || is_question(message), "{message:?}");
        match &message.body {
            MessageBody::VoteResponse { granted: true } => {
                assert_eq!(self.hard_state.vote, Some(ReplicaId(to)), "vote sent before synced");
            }
            MessageBody::VoteRequest { .. } => {
                assert!(self.hard_state.vote.is_some(), "own vote sent before synced");
            }
            MessageBody::AppendResponse(AppendOutcome::Accepted { match_index }) => {
                let last = self.entries.last_key_value().map_or(0, |(index, _)| *index);
                let synced = last.max(self.snapshot_index());
                assert!(synced >= *match_index, "acknowledged before synced: {message:?}");
            }
            _ => {}
        }
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }
}

/// Messages whose term is one that is asked about, not one that was entered.
fn is_question(message: &Message) -> bool {
    matches!(message.body, MessageBody::PreVoteRequest(_) | MessageBody::PreVoteResponse { .. })
}

/// The state machine as a snapshot holds it.
pub fn encode_state(state: &[(u64, Vec<u8>)]) -> Vec<u8> {
    serde_json::to_vec(state).expect("encodable state")
}

pub fn decode_state(snapshot: &Snapshot) -> Vec<(u64, Vec<u8>)> {
    serde_json::from_slice(&snapshot.data).expect("state of a snapshot")
}
