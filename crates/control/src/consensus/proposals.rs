//! Proposals on their way into the log: those of this process, of its duties and of other replicas.
//!
//! A replica that does not lead forwards its own to the leader. What waits for an answer is kept by
//! [`super::pending`].

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
    pub(super) fn take_proposal(
        &mut self,
        proposal: Proposal,
        reply: ProposalReply,
        batch: &mut Batch,
    ) {
        if self.leads() {
            let kind = kind_of(&proposal);
            match self.proposal_event(proposal, ProposalOrigin::Local(kind, reply)) {
                Ok(event) => batch.events.push(event),
                Err((ProposalOrigin::Local(_, reply), error)) => drop(reply.send(Err(error))),
                Err(_) => (),
            }
            return;
        }
        self.forward(&proposal, reply);
    }

    /// The event for a proposal; an origin that cannot be served is given back.
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

    /// A proposal of the leader's own duties.
    pub(super) fn duty_event(&mut self, proposal: DutyProposal) -> Option<Event<Message>> {
        let DutyProposal { id, command } = proposal;
        self.proposal_event(Proposal::Command(command), ProposalOrigin::Duty(id)).ok()
    }

    fn forward(&mut self, proposal: &Proposal, reply: ProposalReply) {
        let no_leader = RequestError::Rejected(Rejection::NotLeader { leader: None });
        let Some(leader) = self.parts.replica.leader() else {
            // The requester may have given up; there is no one else to answer.
            drop(reply.send(Err(no_leader)));
            return;
        };
        let Ok(command) = encode(proposal) else {
            drop(reply.send(Err(RequestError::Encoding)));
            return;
        };
        let kind = kind_of(proposal);
        let request = self.pending.add_forwarded(ForwardedProposal { kind, reply });
        if !self.parts.links.send(leader, PeerMessage::Forward { request, command })
            && let Some(proposal) = self.pending.take_forwarded(request)
        {
            drop(proposal.reply.send(Err(no_leader)));
        }
    }

    /// A command that another replica forwarded.
    pub(super) fn take_forward(
        &mut self,
        from: ReplicaId,
        request: u64,
        command: &[u8],
    ) -> Option<Event<Message>> {
        let Ok(proposal) = decode::<Proposal>(command) else {
            log::warn!(replica = from.0; "forwarded command cannot be read");
            return None;
        };
        self.proposal_event(proposal, ProposalOrigin::Peer(from, request)).ok()
    }

    /// The leader's answer to a forwarded command.
    pub(super) fn take_forwarded(&mut self, request: u64, outcome: Result<u64, Rejection>) {
        let Some(proposal) = self.pending.take_forwarded(request) else { return };
        match outcome {
            Ok(index) => self.answer_at(index, proposal),
            Err(rejection) => drop(proposal.reply.send(Err(rejection.into()))),
        }
    }
}

fn kind_of(proposal: &Proposal) -> ProposalKind {
    match proposal {
        Proposal::Command(_) => ProposalKind::Command,
        Proposal::Cell(_) => ProposalKind::Cell,
    }
}
