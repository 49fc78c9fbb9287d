//! What a machine does with the actions of its replica.

use super::duties::Duties;
use super::{MachineError, Origin, Process, machine_of};
use crate::run::event::{Context, Packet};
use crate::run::history::{Note, digest};
use crate::run::variant::Variant;
use corktack_core::consensus::{Action, Entry, Message, Payload, RequestId, Role, Snapshot};
use corktack_core::state::command::Outcome;
use corktack_core::view::Revision;
use corktack_protocol::frame::decode;
use corktack_storage::LogStore;
use std::sync::Arc;

impl Process {
    pub(super) fn perform(
        &mut self,
        context: &mut Context<'_>,
        action: Action<Message>,
    ) -> Result<(), MachineError> {
        match action {
            Action::Persist { hard_state, entries } => {
                let hard_state = hard_state.filter(|_| !context.is(Variant::TermNotPersisted));
                self.log.persist(hard_state, &entries)?;
            }
            Action::InstallSnapshot(snapshot) => self.install(context, &snapshot)?,
            Action::Send { to, message } => {
                let from = self.replica.id();
                context.send(machine_of(to), Packet::Cell { from, to, message });
            }
            Action::Apply(entries) => self.apply(context, entries)?,
            Action::Committed { request, index } => {
                if let Some(origin) = self.proposals.remove(&request) {
                    self.committed.push((index, origin));
                    self.answer_applied(context);
                }
            }
            Action::ReadReady { request, index } => {
                if let Some((proxy, life)) = self.reads.remove(&request) {
                    self.proven.push((index, proxy, life));
                    self.answer_applied(context);
                }
            }
            Action::Rejected { request, .. } => self.reject(context, request),
            Action::RoleChanged { role, term, leader } => {
                self.cell.note_leader(context.now, leader.is_some());
                let leads = role == Role::Leader;
                if leads {
                    context.notes.push(Note::Leader { id: self.replica.id(), term });
                }
                match (leads, &self.duties) {
                    (false, _) => self.duties = None,
                    (true, None) => self.duties = Some(Duties::new(context.now)),
                    (true, Some(_)) => {}
                }
            }
        }
        Ok(())
    }

    fn install(
        &mut self,
        context: &mut Context<'_>,
        snapshot: &Snapshot,
    ) -> Result<(), MachineError> {
        let state = decode(&snapshot.data)?;
        self.log.install_snapshot(snapshot)?;
        self.replace_state(snapshot.index, state);
        self.note_view(context);
        self.answer_applied(context);
        Ok(())
    }

    fn apply(
        &mut self,
        context: &mut Context<'_>,
        entries: Vec<Entry>,
    ) -> Result<(), MachineError> {
        // A replica that was started anew after an outage hands out again what is applied.
        let applied = self.applied;
        for entry in entries.into_iter().filter(|entry| entry.index > applied) {
            let index = entry.index;
            self.applied = index;
            context.notes.push(Note::Applied { index, digest: digest(&entry) });
            let Payload::Command(command) = &entry.payload else { continue };
            let before = self.state.view_revision();
            let applied = self.state.apply(Revision(index), decode(command)?);
            self.feed.push(Revision(index), applied.changes);
            self.outcomes.insert(index, applied.outcome);
            if self.state.view_revision() != before {
                self.note_view(context);
            }
        }
        self.answer_applied(context);
        Ok(())
    }

    fn note_view(&self, context: &mut Context<'_>) {
        let view = self.state.view();
        let (revision, digest) = (view.revision, digest(&view));
        context.notes.push(Note::StateView { revision, digest });
    }

    fn answer_applied(&mut self, context: &mut Context<'_>) {
        let applied = self.applied;
        let (ready, waiting) = self.committed.drain(..).partition(|(index, _)| *index <= applied);
        self.committed = waiting;
        let ready: Vec<(u64, Origin)> = ready;
        for (index, origin) in ready {
            let outcome = self.outcomes.get(&index).cloned();
            self.answer(context, origin, outcome);
        }
        let (ready, waiting) = self.proven.drain(..).partition(|(index, ..)| *index <= applied);
        self.proven = waiting;
        let ready: Vec<_> = ready;
        for (_, proxy, life) in ready {
            let view = Arc::new(self.state.view());
            context.send(proxy, Packet::Snapshot { life, view });
        }
    }

    fn reject(&mut self, context: &mut Context<'_>, request: RequestId) {
        self.reads.remove(&request);
        if let Some(origin) = self.proposals.remove(&request) {
            self.answer(context, origin, None);
        }
    }

    fn answer(&mut self, context: &mut Context<'_>, origin: Origin, outcome: Option<Outcome>) {
        match origin {
            Origin::Operator(operator, change) => {
                context.send(operator, Packet::Operated { change, outcome });
            }
            Origin::Membership => {
                if let Some(duties) = &mut self.duties {
                    duties.membership_answered();
                }
            }
            Origin::Failover(proposal) => {
                if let Some(duties) = &mut self.duties {
                    duties.proposed(context.now, proposal, outcome);
                }
            }
            Origin::Registry | Origin::Cell => {}
        }
    }
}
