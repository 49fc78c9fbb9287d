//! Outage of a machine's disk: from a failed write until the log can be written again.
//!
//! Performs what the product's thread does: the replica is dropped, requests are refused, and a new replica
//! starts on the log once it opens again.

use super::{Machine, MachineError, Origin, Process};
use crate::run::event::{Address, Context, Packet};
use crate::run::history::Note;
use crate::run::variant::Variant;
use corktack_core::consensus::{Action, PersistedState};
use corktack_core::time::Timestamp;
use corktack_core::watch::DeltaLog;
use corktack_protocol::frame::decode;
use corktack_storage::StorageError;
use std::time::Duration;

/// Time between two tries to open the log again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(100);

/// An outage of the disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    next_try: Timestamp,
}

impl Machine {
    /// Gives up the replica's role and the requests that wait.
    pub(super) fn begin_outage(&mut self, context: &mut Context<'_>) {
        let Some(process) = &mut self.process else { return };
        process.outage = Some(Outage { next_try: context.now + REOPEN_INTERVAL });
        for action in process.replica.resign() {
            if let Action::Send { to, message } = action {
                let from = process.replica.id();
                context.send(super::machine_of(to), Packet::Cell { from, to, message });
            }
        }
        process.duties = None;
        process.cell.note_leader(context.now, false);
        process.reads.clear();
        process.proven.clear();
        let committed =
            std::mem::take(&mut process.committed).into_iter().map(|(_, origin)| origin);
        let proposed = std::mem::take(&mut process.proposals).into_values();
        for origin in proposed.chain(committed) {
            if let Origin::Operator(operator, change) = origin {
                context.send(operator, Packet::Operated { change, outcome: None });
            }
        }
    }

    /// Refuses an operator's change; drops everything else.
    pub(super) fn refuse(context: &mut Context<'_>, from: Address, packet: Packet) {
        if let Packet::Operate { change, .. } = packet {
            context.send(from, Packet::Operated { change, outcome: None });
        }
    }

    /// Opens the log again if it is time to try, and starts a new replica on it.
    pub(super) fn try_to_reopen(&mut self, context: &mut Context<'_>) {
        if context.is(Variant::FailedWriteEndsReplica) {
            return;
        }
        let Some(process) = &mut self.process else { return };
        let Some(outage) = &mut process.outage else { return };
        if context.now < outage.next_try {
            return;
        }
        outage.next_try = context.now + REOPEN_INTERVAL;
        let reopened = match process.log.reopen() {
            Ok(persisted) => self.restart_replica(context, persisted),
            Err(StorageError::Io { .. }) => return,
            Err(error) => Err(error.into()),
        };
        if let Err(error) = reopened {
            let error = error.to_string();
            context.notes.push(Note::StartFailed { machine: self.index, error });
        }
    }

    fn restart_replica(
        &mut self,
        context: &mut Context<'_>,
        persisted: PersistedState,
    ) -> Result<(), MachineError> {
        let snapshot = persisted.snapshot.clone();
        let replica = self.new_replica(persisted, context.now)?;
        let Some(process) = &mut self.process else { return Ok(()) };
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > process.applied) {
            process.replace_state(snapshot.index, decode(&snapshot.data)?);
        }
        process.replica = replica;
        process.outage = None;
        Ok(())
    }
}

impl Process {
    /// Replaces the state by that of the snapshot at `index`, which is on disk.
    pub(super) fn replace_state(&mut self, index: u64, state: corktack_core::state::ControlState) {
        self.state = state;
        self.applied = index;
        self.snapshot_index = index;
        self.outcomes.clear();
        self.feed = DeltaLog::with_limit(self.state.view_revision(), self.delta_limit);
    }
}
