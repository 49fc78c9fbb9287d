//! What a primary knows of its peers.

use corktack_core::identity::MemberName;
use std::collections::BTreeMap;

/// What is known of one peer in the current term.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerProgress {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Highest index the peer is known to hold.
    pub match_index: u64,
    /// Highest confirmation round the peer answered.
    pub confirmed_round: u64,
    /// Whether the peer refused the term because its log holds more.
    pub refused: bool,
}

impl PeerProgress {
    fn from(next_index: u64) -> Self {
        Self { next_index, match_index: 0, confirmed_round: 0, refused: false }
    }
}

/// Progress of all peers of a group.
pub(super) struct GroupProgress {
    peers: BTreeMap<MemberName, PeerProgress>,
}

impl GroupProgress {
    pub fn new(peers: impl IntoIterator<Item = MemberName>) -> Self {
        let blank = PeerProgress::from(1);
        Self { peers: peers.into_iter().map(|name| (name, blank)).collect() }
    }

    /// Forgets everything at the start of a term.
    pub fn reset(&mut self, next_index: u64) {
        for progress in self.peers.values_mut() {
            *progress = PeerProgress::from(next_index);
        }
    }

    pub fn get(&self, peer: &MemberName) -> Option<&PeerProgress> {
        self.peers.get(peer)
    }

    pub fn get_mut(&mut self, peer: &MemberName) -> Option<&mut PeerProgress> {
        self.peers.get_mut(peer)
    }

    /// Highest index that a majority holds, when this member holds `own`.
    pub fn majority_index(&self, own: u64) -> u64 {
        self.majority(own, |progress| progress.match_index)
    }

    /// Highest round that a majority confirmed, when this member began `own`.
    pub fn majority_round(&self, own: u64) -> u64 {
        self.majority(own, |progress| progress.confirmed_round)
    }

    /// Whether so many peers refused the term that no majority can accept it.
    pub fn majority_refused(&self) -> bool {
        let refused = self.peers.values().filter(|progress| progress.refused).count();
        let accepting = self.peers.len() + 1 - refused;
        accepting <= self.peers.len().div_ceil(2)
    }

    fn majority(&self, own: u64, of_peer: impl Fn(&PeerProgress) -> u64) -> u64 {
        let mut values: Vec<u64> = self.peers.values().map(of_peer).collect();
        values.push(own);
        values.sort_unstable();
        values[(values.len() - 1) / 2]
    }
}
