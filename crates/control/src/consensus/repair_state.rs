//! State that the leader's repair of the cell keeps between two evaluations.

use corktack_core::consensus::CellMember;
use corktack_core::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The join requests since the last evaluation, and the time at which the next evaluation is next_evaluation.
#[derive(Debug, Default)]
pub(super) struct RepairState {
    pub(super) joiners: BTreeMap<SocketAddr, CellMember>,
    pub(super) next_evaluation: Timestamp,
}

impl RepairState {
    pub(super) const fn next_deadline(&self) -> Timestamp {
        self.next_evaluation
    }
}
