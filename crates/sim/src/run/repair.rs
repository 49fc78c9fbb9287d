//! Replacement of control replicas that lost their disk, as an operator does it: a
//! learner under a new identity, its promotion, and the removal of the old identity.

use super::control::{Machine, cell_member};
use super::event::Packet;
use corktack_core::consensus::{CellChange, CellConfig, CellMember};
use corktack_core::identity::ReplicaId;

/// One replacement under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Repair {
    pub lost: ReplicaId,
    pub replacement: ReplicaId,
    /// Whether the old identity goes before the new one votes.
    pub remove_first: bool,
}

fn is_in(members: &[CellMember], id: ReplicaId) -> bool {
    members.iter().any(|member| member.id == id)
}

impl Repair {
    /// The next change; none when the cell is repaired.
    pub fn next_change(&self, cell: &CellConfig) -> Option<CellChange> {
        let lost = is_in(&cell.voters, self.lost) || is_in(&cell.learners, self.lost);
        let learns = is_in(&cell.learners, self.replacement);
        let votes = is_in(&cell.voters, self.replacement);
        if !learns && !votes {
            return Some(CellChange::AddLearner(cell_member(self.replacement)));
        }
        if lost && (votes || self.remove_first) {
            return Some(CellChange::Remove(self.lost));
        }
        (!votes).then_some(CellChange::Promote(self.replacement))
    }
}

/// The changes to ask of the leaders now. A repaired cell whose changes are committed
/// ends the repair.
pub(crate) fn advance(machines: &[Machine], repairs: &mut Vec<Repair>) -> Vec<(u8, Packet)> {
    let Some(repair) = repairs.first().copied() else { return Vec::new() };
    let mut changes = Vec::new();
    for machine in machines {
        let Some((cell, settled)) = machine.led_cell() else { continue };
        match repair.next_change(&cell) {
            Some(change) => changes.push((machine.index, Packet::ChangeCell(change))),
            None if settled => {
                repairs.remove(0);
                return Vec::new();
            }
            None => {}
        }
    }
    changes
}
