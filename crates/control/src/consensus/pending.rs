//! Requests that wait for the core, the leader or the state.
//!
//! Owns the numbers of requests and who waits for each. Decides nothing: the thread says when an answer
//! is due.

use super::input::{ProposalAnswer, ReadTask};
use crate::error::RequestError;
use crate::leader::DutyId;
use corktack_core::consensus::{Rejection, RequestId};
use corktack_core::identity::ReplicaId;
use std::collections::{BTreeMap, HashMap};
use tokio::sync::oneshot;

/// Takes the answer to a proposal of this process.
pub(crate) type ProposalReply = oneshot::Sender<ProposalAnswer>;

/// What a proposal holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposalKind {
    /// A command: its outcome is the answer.
    Command,
    /// A change of the cell: it has no outcome beside being committed.
    Cell,
}

/// Who waits for a proposal made here.
pub(crate) enum ProposalOrigin {
    /// A task of this process.
    Local(ProposalKind, ProposalReply),
    /// Another replica, under its own number.
    Peer(ReplicaId, u64),
    /// The duties of the leader.
    Duty(DutyId),
}

/// A proposal that was forwarded, or whose entry is not applied here yet.
pub(crate) struct ForwardedProposal {
    pub(crate) kind: ProposalKind,
    pub(crate) reply: ProposalReply,
}

/// Requests that wait.
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

    /// Notes a proposal that goes to the core.
    pub(crate) fn add_proposal(&mut self, origin: ProposalOrigin) -> RequestId {
        let request = RequestId(self.next_request());
        self.proposals.insert(request, origin);
        request
    }

    /// Notes reads that share one proof.
    pub(crate) fn add_reads(&mut self, tasks: Vec<ReadTask>) -> RequestId {
        let request = RequestId(self.next_request());
        self.reads.insert(request, tasks);
        request
    }

    /// Notes a proposal that goes to the leader.
    pub(crate) fn add_forwarded(&mut self, proposal: ForwardedProposal) -> u64 {
        let request = self.next_request();
        self.forwarded.insert(request, proposal);
        request
    }

    /// Takes a proposal of the core's back.
    pub(crate) fn take_proposal(&mut self, request: RequestId) -> Option<ProposalOrigin> {
        self.proposals.remove(&request)
    }

    /// Takes reads back.
    pub(crate) fn take_reads(&mut self, request: RequestId) -> Option<Vec<ReadTask>> {
        self.reads.remove(&request)
    }

    /// Takes a forwarded proposal back.
    pub(crate) fn take_forwarded(&mut self, request: u64) -> Option<ForwardedProposal> {
        self.forwarded.remove(&request)
    }

    /// Keeps a committed proposal until its entry is applied here.
    pub(crate) fn await_apply(&mut self, index: u64, proposal: ForwardedProposal) {
        self.unapplied.entry(index).or_default().push(proposal);
    }

    /// Keeps proven reads until the state has applied `index`.
    pub(crate) fn await_reads(&mut self, index: u64, tasks: Vec<ReadTask>) {
        self.unapplied_reads.entry(index).or_default().extend(tasks);
    }

    /// Takes the proposals whose entries are applied.
    pub(crate) fn take_applied(&mut self, applied: u64) -> Vec<(u64, ForwardedProposal)> {
        let rest = self.unapplied.split_off(&(applied + 1));
        let ready = std::mem::replace(&mut self.unapplied, rest);
        let flatten = |(index, proposals): (u64, Vec<ForwardedProposal>)| {
            proposals.into_iter().map(move |proposal| (index, proposal))
        };
        ready.into_iter().flat_map(flatten).collect()
    }

    /// Takes the reads whose state is applied.
    pub(crate) fn take_ready_reads(&mut self, applied: u64) -> Vec<ReadTask> {
        let rest = self.unapplied_reads.split_off(&(applied + 1));
        let ready = std::mem::replace(&mut self.unapplied_reads, rest);
        ready.into_values().flatten().collect()
    }

    /// Forgets forwarded proposals whose requesters have given up.
    pub(crate) fn forget_abandoned(&mut self) {
        self.forwarded.retain(|_, proposal| !proposal.reply.is_closed());
        for proposals in self.unapplied.values_mut() {
            proposals.retain(|proposal| !proposal.reply.is_closed());
        }
        self.unapplied.retain(|_, proposals| !proposals.is_empty());
    }

    /// Gives forwarded proposals back, when another replica leads: the answer of
    /// the former leader may never come.
    pub(crate) fn give_back_forwarded(&mut self) {
        for (_, proposal) in self.forwarded.drain() {
            // The requester may have given up; there is no one else to answer.
            drop(proposal.reply.send(Err(Rejection::LeadershipLost.into())));
        }
    }

    /// Answers everything that waits, at the end of the thread.
    pub(crate) fn refuse_all(&mut self) {
        let reads = std::mem::take(&mut self.reads).into_values();
        let unapplied = std::mem::take(&mut self.unapplied_reads).into_values();
        for task in reads.chain(unapplied).flatten() {
            task(Err(RequestError::Stopping));
        }
        // A dropped reply shows its requester that the replica is stopping.
        self.proposals.clear();
        self.forwarded.clear();
        self.unapplied.clear();
    }
}
