//! Sorts the inputs of the consensus thread: each goes to the part that serves it.

use super::input::ConsensusInput;
use super::thread::{Batch, ConsensusThread};
use crate::cell::PeerMessage;
use corktack_core::consensus::{Event, Role};
use corktack_core::identity::ReplicaId;

impl ConsensusThread {
    pub(super) fn take_input(&mut self, input: ConsensusInput, batch: &mut Batch) {
        match input {
            ConsensusInput::Cell { from, message } => self.take_message(from, message, batch),
            ConsensusInput::Connected(replica) => {
                self.parts.links.note_reachable(replica);
                batch.events.push(Event::Reachable { replica });
            }
            ConsensusInput::Propose { proposal, reply } => {
                self.take_proposal(proposal, reply, batch)
            }
            ConsensusInput::Read(task) => batch.reads.push(task),
            ConsensusInput::Peek(task) => self.run_reads(vec![task]),
            ConsensusInput::ProxyRevisions(reply) => self.query_revisions(reply),
            ConsensusInput::Reports(reports) => self.take_own_reports(reports),
            ConsensusInput::Allowances(report) => self.take_own_allowances(report),
            ConsensusInput::BackEnd(result) => {
                self.parts.duties.take_answer(self.parts.clock.now(), result);
            }
            ConsensusInput::Platform(list) => {
                self.parts.duties.take_platform(self.parts.clock.now(), list)
            }
            ConsensusInput::Registry(answer) => {
                self.parts.duties.take_registry_answer(self.parts.clock.now(), answer);
            }
            ConsensusInput::Join(member) => self.take_join(member),
            ConsensusInput::CellLearned(cell) => self.learn_cell(&cell),
            ConsensusInput::TransferLeadership => batch.events.push(Event::TransferLeadership),
            ConsensusInput::Stop => batch.stop = true,
        }
    }

    fn take_message(&mut self, from: ReplicaId, message: PeerMessage, batch: &mut Batch) {
        match message {
            PeerMessage::Consensus(message) => batch.events.push(Event::Message { from, message }),
            PeerMessage::Proxies { reports } => self.take_reports(reports),
            PeerMessage::AllowanceReport(report) => {
                self.answer_allowances(Some(from), report);
            }
            PeerMessage::AllowanceGrant(grant) => self.parts.proxies.grant(grant),
            PeerMessage::Join { member } => self.take_join(member),
            PeerMessage::Forward { request, command } => {
                batch.events.extend(self.take_forward(from, request, &command));
            }
            PeerMessage::Forwarded { request, outcome } => self.take_forwarded(request, outcome),
            PeerMessage::QueryProxies { request } => self.answer_query(from, request),
            PeerMessage::ProxyRevisions { request, revisions } => {
                self.take_revisions(request, revisions);
            }
            // The connection has shown it to be of this cell; a second one says nothing new.
            PeerMessage::Hello { .. } => (),
        }
    }

    pub(super) fn leads(&self) -> bool {
        self.parts.replica.role() == Role::Leader
    }
}
