//! Handles proposals from this process, from the leader's duties and from other replicas.
//!
//! A replica that isn't the leader forwards its own proposals to the leader. Proposals that wait for an
//! answer are stored in [`super::pending`].

use super::input::Proposal;
use super::pending::{ForwardedProposal, ProposalKind, ProposalOrigin, ProposalReply};
use super::thread::{Batch, ConsensusThread};
use crate::cell::PeerMessage;
use crate::error::RequestError;
use crate::leader::DutyProposal;
use corktack_core::consensus::{Event, Message, Rejection};
use corktack_core::identity::ReplicaId;
use corktack_protocol::frame::{decode, encode};

impl ConsensusThread {
    pub(super) fn handle_proposal(
        &mut self,
        proposal: Proposal,
        reply: ProposalReply,
        batch: &mut Batch,
    ) {
        if self.is_leader() {
            let kind = proposal_kind(&proposal);
            match self.proposal_event(proposal, ProposalOrigin::Local(kind, reply)) {
                Ok(event) => batch.events.push(event),
                Err((ProposalOrigin::Local(_, reply), error)) => drop(reply.send(Err(error))),
                Err(_) => (),
            }
            return;
        }
        self.forward(&proposal, reply);
    }

    /// Registers a proposal and returns its event, or the origin with an error if the command cannot be
    /// encoded.
    fn proposal_event(
        &mut self,
        proposal: Proposal,
        origin: ProposalOrigin,
    ) -> Result<Event<Message>, (ProposalOrigin, RequestError)> {
        self.parts.metrics.proposals.inc();
        match proposal {
            Proposal::Command(command) => {
                let Ok(command) = encode(&command) else {
                    return Err((origin, RequestError::Encoding));
                };
                Ok(Event::Propose { request: self.pending.add_proposal(origin), command })
            }
            Proposal::Cell(change) => {
                Ok(Event::ProposeCell { request: self.pending.add_proposal(origin), change })
            }
        }
    }

    /// Returns the event for a proposal of the leader's duties.
    pub(super) fn duty_event(&mut self, proposal: DutyProposal) -> Option<Event<Message>> {
        let DutyProposal { id, command } = proposal;
        self.proposal_event(Proposal::Command(command), ProposalOrigin::Duty(id)).ok()
    }

    fn forward(&mut self, proposal: &Proposal, reply: ProposalReply) {
        let no_leader = RequestError::Rejected(Rejection::NotLeader { leader: None });
        let Some(leader) = self.parts.replica.leader() else {
            // The send fails if the requester has given up, and nobody else needs the answer.
            drop(reply.send(Err(no_leader)));
            return;
        };
        let Ok(command) = encode(proposal) else {
            drop(reply.send(Err(RequestError::Encoding)));
            return;
        };
        let kind = proposal_kind(proposal);
        let request = self.pending.add_forwarded(ForwardedProposal { kind, reply });
        if !self.parts.links.send(leader, PeerMessage::Forward { request, command })
            && let Some(proposal) = self.pending.take_forwarded(request)
        {
            drop(proposal.reply.send(Err(no_leader)));
        }
    }

    /// Returns the event for a proposal that another replica forwarded.
    pub(super) fn handle_forward(
        &mut self,
        from: ReplicaId,
        request: u64,
        command: &[u8],
    ) -> Option<Event<Message>> {
        let Ok(proposal) = decode::<Proposal>(command) else {
            log::warn!(replica = from.0; "forwarded proposal cannot be decoded and is dropped");
            return None;
        };
        self.proposal_event(proposal, ProposalOrigin::Peer(from, request)).ok()
    }

    /// Handles the leader's answer to a proposal that this replica forwarded.
    pub(super) fn handle_forward_answer(&mut self, request: u64, outcome: Result<u64, Rejection>) {
        let Some(proposal) = self.pending.take_forwarded(request) else { return };
        match outcome {
            Ok(index) => self.answer_once_applied(index, proposal),
            Err(rejection) => drop(proposal.reply.send(Err(rejection.into()))),
        }
    }
}

fn proposal_kind(proposal: &Proposal) -> ProposalKind {
    match proposal {
        Proposal::Command(_) => ProposalKind::Command,
        Proposal::Cell(_) => ProposalKind::Cell,
    }
}
