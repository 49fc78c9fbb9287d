//! Whether the system works again after the last fault.
//!
//! Reads the participants and decides nothing; relies on the leader's state for what should hold.

use super::control::{Machine, VOTERS};
use super::names::{group_name, member_index};
use super::world::World;
use corktack_core::consensus::CellConfig;
use corktack_core::identity::ReplicaId;
use corktack_core::state::ControlState;

impl World {
    /// The state of the one leader of a whole cell.
    fn leader_state(&self) -> Result<&ControlState, &'static str> {
        let mut leaders = self.machines.iter().filter(|machine| machine.led_cell().is_some());
        let leader = leaders.next().ok_or("the cell has no leader")?;
        if leaders.next().is_some() {
            return Err("the cell has two leaders");
        }
        let (cell, settled) = leader.led_cell().ok_or("the cell has no leader")?;
        self.is_whole(&cell)?;
        if !settled {
            return Err("a change of the leader is not committed");
        }
        leader.state().ok_or("the leader has no state")
    }

    /// Whether a machine runs, or will run, the replica of this id: its disk was not lost.
    pub(super) fn is_current(&self, id: ReplicaId) -> bool {
        self.machines.iter().any(|machine| machine.id == id)
    }

    /// Why the cell is not as it should be with all machines running, if so.
    fn is_whole(&self, cell: &CellConfig) -> Result<(), &'static str> {
        if cell.voters.len() != usize::from(VOTERS) {
            return Err("the cell has another number of voters");
        }
        let members = cell.voters.iter().chain(&cell.learners);
        if members.clone().any(|member| !self.is_current(member.id)) {
            return Err("a replica whose disk was lost is a member");
        }
        let is_member = |machine: &Machine| members.clone().any(|member| member.id == machine.id);
        match self.machines.iter().all(is_member) {
            true => Ok(()),
            false => Err("a machine that runs is not a member of the cell"),
        }
    }

    /// Why the cell is not restored, if so.
    pub(super) fn is_restored(&self) -> Result<(), &'static str> {
        self.leader_state().map(drop)
    }

    /// Why the system does not work, if so.
    pub(super) fn is_healthy(&self) -> Result<(), &'static str> {
        let state = self.leader_state()?;
        let group = state.group(&group_name()).ok_or("the group was not created")?;
        let primary = group.view.primary.as_ref().ok_or("the group has no primary")?;
        let (serves, term, _) = self.members[usize::from(member_index(primary))].committed();
        if !serves || term != group.view.term {
            return Err("the announced primary does not serve");
        }
        Ok(())
    }

    /// Why not everything has been told to everyone, if so.
    pub(super) fn is_settled(&self) -> Result<(), &'static str> {
        self.is_healthy()?;
        let revision = self.leader_state()?.view_revision();
        if self.proxies.iter().any(|proxy| proxy.revision() != revision) {
            return Err("a proxy does not have the last revision in force");
        }
        if self
            .machines
            .iter()
            .any(|machine| machine.state().is_none_or(|state| state.view_revision() != revision))
        {
            return Err("a control replica has not applied the last revision");
        }
        let idle = self.clients.iter().all(super::client::Client::is_idle)
            && self.operators.iter().all(super::operator::Operator::is_idle);
        if idle { Ok(()) } else { Err("a request was not answered") }
    }

    /// Compares the history with the final state.
    pub(super) fn check_end(&mut self) {
        let Ok(state) = self.leader_state().cloned() else { return };
        self.history.check_changes(&state);
        let serving = self.members.iter().map(super::member::Member::committed);
        let last = serving.filter(|(serves, ..)| *serves).max_by_key(|(_, term, _)| *term);
        if let Some((_, _, writes)) = last {
            self.history.check_writes(&writes);
        }
    }
}
