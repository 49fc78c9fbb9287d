//! Requests that wait for the core, the leader or the applied state.
//!
//! Assigns the request numbers and stores the origin of each request. The thread decides when an answer is
//! due.

use super::input::{ProposalAnswer, ReadTask};
use crate::error::RequestError;
use crate::leader::DutyId;
use corktack_core::consensus::{Rejection, RequestId};
use corktack_core::identity::ReplicaId;
use std::collections::{BTreeMap, HashMap};
use tokio::sync::oneshot;

/// Receives the answer to a proposal from this process.
pub(crate) type ProposalReply = oneshot::Sender<ProposalAnswer>;

/// The kind of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposalKind {
    /// A command, answered with its outcome.
    Command,
    /// A change of the cell, answered without an outcome once it is committed.
    Cell,
}

/// The origin of a proposal that went to the local core.
pub(crate) enum ProposalOrigin {
    /// A task of this process.
    Local(ProposalKind, ProposalReply),
    /// Another replica, with its own number for the request.
    Peer(ReplicaId, u64),
    /// The duties of the leader.
    Duty(DutyId),
}

/// A proposal from this process that was forwarded to the leader, or whose entry is not applied here yet.
pub(crate) struct ForwardedProposal {
    pub(crate) kind: ProposalKind,
    pub(crate) reply: ProposalReply,
}

/// The waiting requests, by what they wait for.
#[derive(Default)]
pub(crate) struct Pending {
    last_request: u64,
    proposals: HashMap<RequestId, ProposalOrigin>,
    forwarded: HashMap<u64, ForwardedProposal>,
    unapplied: BTreeMap<u64, Vec<ForwardedProposal>>,
    reads: HashMap<RequestId, Vec<ReadTask>>,
    unapplied_reads: BTreeMap<u64, Vec<ReadTask>>,
}

impl Pending {
    fn next_request(&mut self) -> u64 {
        self.last_request += 1;
        self.last_request
    }

    /// Adds a proposal for the core and returns its request number.
    pub(crate) fn add_proposal(&mut self, origin: ProposalOrigin) -> RequestId {
        let request = RequestId(self.next_request());
        self.proposals.insert(request, origin);
        request
    }

    /// Adds reads that share one read index and returns their request number.
    pub(crate) fn add_reads(&mut self, tasks: Vec<ReadTask>) -> RequestId {
        let request = RequestId(self.next_request());
        self.reads.insert(request, tasks);
        request
    }

    /// Adds a proposal for the leader and returns its request number.
    pub(crate) fn add_forwarded(&mut self, proposal: ForwardedProposal) -> u64 {
        let request = self.next_request();
        self.forwarded.insert(request, proposal);
        request
    }

    /// Removes and returns the origin of a proposal that went to the core.
    pub(crate) fn take_proposal(&mut self, request: RequestId) -> Option<ProposalOrigin> {
        self.proposals.remove(&request)
    }

    /// Removes and returns the reads of a request.
    pub(crate) fn take_reads(&mut self, request: RequestId) -> Option<Vec<ReadTask>> {
        self.reads.remove(&request)
    }

    /// Removes and returns a forwarded proposal.
    pub(crate) fn take_forwarded(&mut self, request: u64) -> Option<ForwardedProposal> {
        self.forwarded.remove(&request)
    }

    /// Stores a committed proposal until its entry is applied here.
    pub(crate) fn await_apply(&mut self, index: u64, proposal: ForwardedProposal) {
        self.unapplied.entry(index).or_default().push(proposal);
    }

    /// Stores reads whose read index is `index` until the state has applied that entry.
    pub(crate) fn await_reads(&mut self, index: u64, tasks: Vec<ReadTask>) {
        self.unapplied_reads.entry(index).or_default().extend(tasks);
    }

    /// Removes and returns the proposals whose entries are applied, each with its index.
    pub(crate) fn take_applied(&mut self, applied: u64) -> Vec<(u64, ForwardedProposal)> {
        let unready = self.unapplied.split_off(&(applied + 1));
        let ready = std::mem::replace(&mut self.unapplied, unready);
        let flatten = |(index, proposals): (u64, Vec<ForwardedProposal>)| {
            proposals.into_iter().map(move |proposal| (index, proposal))
        };
        ready.into_iter().flat_map(flatten).collect()
    }

    /// Removes and returns the reads whose read index is applied.
    pub(crate) fn take_ready_reads(&mut self, applied: u64) -> Vec<ReadTask> {
        let unready = self.unapplied_reads.split_off(&(applied + 1));
        let ready = std::mem::replace(&mut self.unapplied_reads, unready);
        ready.into_values().flatten().collect()
    }

    /// Drops the forwarded and unapplied proposals whose requesters have given up.
    pub(crate) fn forget_abandoned(&mut self) {
        self.forwarded.retain(|_, proposal| !proposal.reply.is_closed());
        for proposals in self.unapplied.values_mut() {
            proposals.retain(|proposal| !proposal.reply.is_closed());
        }
        self.unapplied.retain(|_, proposals| !proposals.is_empty());
    }

    /// Answers all forwarded proposals with [`Rejection::LeadershipLost`], so that their requesters retry.
    /// Needed when the leader changes, as the former leader may never answer.
    pub(crate) fn reject_forwarded(&mut self) {
        for (_, proposal) in self.forwarded.drain() {
            // The send fails if the requester has given up, and nobody else needs the answer.
            drop(proposal.reply.send(Err(Rejection::LeadershipLost.into())));
        }
    }

    /// Refuses all waiting requests with `error`, at the end of the thread or of the replica.
    pub(crate) fn refuse_all(&mut self, error: RequestError) {
        let reads = std::mem::take(&mut self.reads).into_values();
        let unapplied = std::mem::take(&mut self.unapplied_reads).into_values();
        for task in reads.chain(unapplied).flatten() {
            task(Err(error));
        }
        let forwarded = std::mem::take(&mut self.forwarded).into_values();
        let unapplied = std::mem::take(&mut self.unapplied).into_values().flatten();
        let waiting = forwarded.chain(unapplied).map(|proposal| proposal.reply);
        let proposed = std::mem::take(&mut self.proposals).into_values();
        let local = proposed.filter_map(|origin| match origin {
            ProposalOrigin::Local(_, reply) => Some(reply),
            // The other replica repeats its request, and the duties end with the leadership.
            ProposalOrigin::Peer(..) | ProposalOrigin::Duty(_) => None,
        });
        for reply in waiting.chain(local) {
            // The send fails if the requester has given up, and nobody else needs the answer.
            drop(reply.send(Err(error)));
        }
    }
}
