//! What the leader's repair of the cell keeps between two evaluations.

use corktack_core::consensus::CellMember;
use corktack_core::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The requests to join since the last evaluation, and when the next is due.
#[derive(Debug, Default)]
pub(super) struct RepairState {
    pub(super) joiners: BTreeMap<SocketAddr, CellMember>,
    pub(super) due: Timestamp,
}

impl RepairState {
    pub(super) const fn next_deadline(&self) -> Timestamp {
        self.due
    }
}
