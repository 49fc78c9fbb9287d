//! Dispatches the inputs of the consensus thread to their handlers.

use super::input::ConsensusInput;
use super::thread::{Batch, ConsensusThread};
use crate::cell::PeerMessage;
use corktack_core::consensus::{Event, Role};
use corktack_core::identity::ReplicaId;

impl ConsensusThread {
    pub(super) fn handle_input(&mut self, input: ConsensusInput, batch: &mut Batch) {
        match input {
            ConsensusInput::PeerMessage { from, message } => {
                self.handle_message(from, message, batch)
            }
            ConsensusInput::PeerConnected(replica) => {
                self.parts.links.reconnect_now(replica);
                batch.events.push(Event::Reachable { replica });
            }
            ConsensusInput::Propose { proposal, reply } => {
                self.handle_proposal(proposal, reply, batch)
            }
            ConsensusInput::Read(task) => batch.reads.push(task),
            ConsensusInput::ReadLocal(task) => self.run_reads(vec![task]),
            ConsensusInput::ProxyRevisions(reply) => self.query_revisions(reply),
            ConsensusInput::ProxyReports(reports) => self.handle_local_reports(reports),
            ConsensusInput::AllowanceReport(report) => self.handle_local_allowances(report),
            ConsensusInput::BackEndResult(result) => {
                self.parts.duties.record_back_end_result(self.parts.clock.now(), result);
            }
            ConsensusInput::PlatformList(list) => {
                self.parts.duties.record_platform_list(self.parts.clock.now(), list)
            }
            ConsensusInput::RegistryAnswer(answer) => {
                self.parts.duties.record_registry_answer(self.parts.clock.now(), answer);
            }
            ConsensusInput::Join(member) => self.handle_join(member),
            ConsensusInput::CellLearned(cell) => self.connect_to_cell(&cell),
            ConsensusInput::TransferLeadership => batch.events.push(Event::TransferLeadership),
            ConsensusInput::Stop => batch.stop = true,
        }
    }

    fn handle_message(&mut self, from: ReplicaId, message: PeerMessage, batch: &mut Batch) {
        match message {
            PeerMessage::Consensus(message) => batch.events.push(Event::Message { from, message }),
            PeerMessage::Proxies { reports } => self.handle_reports(reports),
            PeerMessage::AllowanceReport(report) => {
                self.answer_allowances(Some(from), report);
            }
            PeerMessage::AllowanceGrant(grant) => self.parts.proxies.send_grant(grant),
            PeerMessage::Join { member } => self.handle_join(member),
            PeerMessage::Forward { request, command } => {
                batch.events.extend(self.handle_forward(from, request, &command));
            }
            PeerMessage::Forwarded { request, outcome } => {
                self.handle_forward_answer(request, outcome)
            }
            PeerMessage::QueryProxies { request } => self.answer_revision_query(from, request),
            PeerMessage::ProxyRevisions { request, revisions } => {
                self.handle_revisions(request, revisions);
            }
            // The first hello of a connection is checked where it is accepted; a later one is ignored.
            PeerMessage::Hello { .. } => (),
        }
    }

    pub(super) fn is_leader(&self) -> bool {
        self.parts.replica.role() == Role::Leader
    }
}
