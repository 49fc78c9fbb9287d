//! Takes the inputs of the consensus thread apart.

use super::handle::{ConsensusInput, Proposal, ProxyRevisions};
use super::pending::{ForwardedProposal, ProposalKind, ProposalOrigin, ProposalReply};
use super::thread::{Batch, ConsensusThread};
use crate::cell::PeerMessage;
use crate::error::RequestError;
use crate::leader::DutyProposal;
use corktack_core::consensus::{Event, Message, Rejection, Role};
use corktack_core::identity::ReplicaId;
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_protocol::cell::{ProxyReport, ProxyRevision};
use corktack_protocol::frame::{decode, encode};
use tokio::sync::oneshot;

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

    fn take_proposal(&mut self, proposal: Proposal, reply: ProposalReply, batch: &mut Batch) {
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
            // The asker may have given up; there is no one else to tell.
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
    fn take_forward(
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
    fn take_forwarded(&mut self, request: u64, outcome: Result<u64, Rejection>) {
        let Some(proposal) = self.pending.take_forwarded(request) else { return };
        match outcome {
            Ok(index) => self.answer_at(index, proposal),
            Err(rejection) => drop(proposal.reply.send(Err(rejection.into()))),
        }
    }

    fn take_own_reports(&mut self, reports: Vec<ProxyReport>) {
        if self.leads() {
            self.take_reports(reports);
        } else if let Some(leader) = self.parts.replica.leader() {
            // A lost summary is made good by the next full one.
            self.parts.links.send(leader, PeerMessage::Proxies { reports });
        }
    }

    /// Reports that reach a replica which does not lead (any more) are dropped:
    /// the proxies' replicas send the next ones to the new leader.
    fn take_reports(&mut self, reports: Vec<ProxyReport>) {
        if !self.leads() {
            return;
        }
        for report in &reports {
            note_revision(&mut self.proxy_revisions, report);
        }
        self.parts.duties.take_reports(self.parts.clock.now(), reports, &self.parts.state);
    }

    /// A report that is lost, or that comes to a replica which does not lead, is made good by the
    /// next one.
    fn take_own_allowances(&mut self, report: AllowanceReport) {
        if self.leads() {
            self.answer_allowances(None, report);
        } else if let Some(leader) = self.parts.replica.leader() {
            self.parts.links.send(leader, PeerMessage::AllowanceReport(report));
        }
    }

    /// Answers a report that came through another replica, or from a proxy that is connected here.
    fn answer_allowances(&mut self, through: Option<ReplicaId>, report: AllowanceReport) {
        let now = self.parts.clock.now();
        self.grant_routes.insert(report.gateway.clone(), through);
        let grants = self.parts.duties.take_allowances(now, report, &self.parts.state);
        self.send_grants(grants);
    }

    /// Sends grants by the way that the gateways' last words came.
    pub(super) fn send_grants(&self, grants: Vec<AllowanceGrant>) {
        for grant in grants {
            match self.grant_routes.get(&grant.gateway) {
                Some(Some(replica)) => {
                    self.parts.links.send(*replica, PeerMessage::AllowanceGrant(grant));
                }
                _ => self.parts.proxies.grant(grant),
            }
        }
    }

    fn query_revisions(&mut self, reply: oneshot::Sender<ProxyRevisions>) {
        if self.leads() {
            drop(reply.send(self.proxy_revisions.clone()));
            return;
        }
        self.last_query += 1;
        let request = self.last_query;
        let Some(leader) = self.parts.replica.leader() else { return };
        if self.parts.links.send(leader, PeerMessage::QueryProxies { request }) {
            self.revision_queries.insert(request, reply);
        }
    }

    fn answer_query(&mut self, from: ReplicaId, request: u64) {
        let revision = |(proxy, (incarnation, revision)): (&_, &(_, _))| ProxyRevision {
            proxy: Clone::clone(proxy),
            incarnation: *incarnation,
            revision: *revision,
        };
        let revisions = match self.leads() {
            true => self.proxy_revisions.iter().map(revision).collect(),
            false => Vec::new(),
        };
        self.parts.links.send(from, PeerMessage::ProxyRevisions { request, revisions });
    }

    fn take_revisions(&mut self, request: u64, revisions: Vec<ProxyRevision>) {
        let Some(reply) = self.revision_queries.remove(&request) else { return };
        let entry = |it: ProxyRevision| (it.proxy, (it.incarnation, it.revision));
        drop(reply.send(revisions.into_iter().map(entry).collect()));
    }
}

fn kind_of(proposal: &Proposal) -> ProposalKind {
    match proposal {
        Proposal::Command(_) => ProposalKind::Command,
        Proposal::Cell(_) => ProposalKind::Cell,
    }
}

/// Within one life of a proxy its revision only rises, so a late report changes nothing.
fn note_revision(revisions: &mut ProxyRevisions, report: &ProxyReport) {
    let reported = (report.incarnation, report.revision);
    let entry = revisions.entry(report.proxy.clone()).or_insert(reported);
    if entry.0 != report.incarnation || entry.1 < report.revision {
        *entry = reported;
    }
}
