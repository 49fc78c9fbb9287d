//! The inputs of the consensus thread, and the view of its state that reads get.
//!
//! [`Proposal`] is sent between replicas, so its encoding is fixed.

use crate::back_end::BackEndResult;
use crate::cell::PeerMessage;
use crate::error::RequestError;
use crate::feed::{Feed, SnapshotFrame};
use crate::registry_calls::RegistryAnswer;
use corktack_core::consensus::{CellChange, CellConfig, CellMember};
use corktack_core::identity::{Incarnation, ProxyName, ReplicaId};
use corktack_core::limits::AllowanceReport;
use corktack_core::membership::PlatformList;
use corktack_core::state::ControlState;
use corktack_core::state::command::{Command, Outcome};
use corktack_core::view::Revision;
use corktack_protocol::cell::ProxyReport;
use corktack_protocol::frame::FrameError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// A proposal that a replica may forward to its leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Proposal {
    /// A command for the log.
    Command(Command),
    /// A change of the cell.
    Cell(CellChange),
}

/// The state that a read gets, with the feed of its changes.
pub(crate) struct StateReader<'a> {
    pub(crate) state: &'a ControlState,
    pub(crate) feed: &'a Feed,
}

/// A read that runs once on the consensus thread, with the state or with the reason why there is none.
pub(crate) type ReadTask = Box<dyn FnOnce(Result<StateReader<'_>, RequestError>) + Send>;

/// The answer to a proposal. A change of the cell has no outcome.
pub(crate) type ProposalAnswer = Result<Option<Outcome>, RequestError>;

/// The incarnation and the revision in force of each proxy, as last reported to the leader.
pub(crate) type ProxyRevisions = BTreeMap<ProxyName, (Incarnation, Revision)>;

/// An input of the consensus thread.
pub(crate) enum ConsensusInput {
    /// A message from another replica.
    PeerMessage {
        /// The replica that sent the message.
        from: ReplicaId,
        /// The received message. A repeated hello is ignored.
        message: PeerMessage,
    },
    /// Another replica has connected.
    PeerConnected(ReplicaId),
    /// A proposal from this process.
    Propose {
        /// The command or the change of the cell.
        proposal: Proposal,
        /// Receives the answer.
        reply: oneshot::Sender<ProposalAnswer>,
    },
    /// A read of a state at least as new as any answer given before the request.
    Read(ReadTask),
    /// A read of the local state, which may be stale.
    ReadLocal(ReadTask),
    /// A request for the revisions in force on the proxies.
    ProxyRevisions(oneshot::Sender<ProxyRevisions>),
    /// Reports about the proxies that are connected to this replica.
    ProxyReports(Vec<ProxyReport>),
    /// The allowances of tenants' limits that a proxy connected to this replica holds.
    AllowanceReport(AllowanceReport),
    /// A back end's answer to a call of the leader.
    BackEndResult(BackEndResult),
    /// A list that was polled from the platform.
    PlatformList(PlatformList),
    /// The result of a call of the leader about registered back ends.
    RegistryAnswer(RegistryAnswer),
    /// A replica without a cell requests to be added.
    Join(CellMember),
    /// Another replica's answer with the cell that it belongs to.
    CellLearned(CellConfig),
    /// A request to transfer leadership to another replica.
    TransferLeadership,
    /// A request to end the thread.
    Stop,
}

impl StateReader<'_> {
    /// Encodes the whole view as one frame.
    pub(crate) fn snapshot_frame(&self) -> Result<SnapshotFrame, FrameError> {
        self.feed.snapshot(self.state)
    }

    /// Encodes the whole view for a proxy that has `revision` in force, or returns `None` if deltas from
    /// that revision are available.
    pub(crate) fn snapshot_for(
        &self,
        revision: Revision,
    ) -> Option<Result<SnapshotFrame, FrameError>> {
        self.feed.needs_snapshot(revision).then(|| self.snapshot_frame())
    }
}
