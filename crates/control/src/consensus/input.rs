//! What reaches the consensus thread, and what reads of its state see.
//!
//! Owns the types alone. [`Proposal`] travels between replicas: its form is fixed.

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

/// What a replica may forward to its leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Proposal {
    /// A command of the log.
    Command(Command),
    /// A change of the cell.
    Cell(CellChange),
}

/// What a read sees: a state that was current after the read was requested.
pub(crate) struct StateReader<'a> {
    pub(crate) state: &'a ControlState,
    pub(crate) feed: &'a Feed,
}

/// A read: runs once on the consensus thread, with a proven state or the reason for none.
pub(crate) type ReadTask = Box<dyn FnOnce(Result<StateReader<'_>, RequestError>) + Send>;

/// Answer to a proposal; none for a change of the cell.
pub(crate) type ProposalAnswer = Result<Option<Outcome>, RequestError>;

/// Revisions in force on the proxies, as the leader knows them.
pub(crate) type ProxyRevisions = BTreeMap<ProxyName, (Incarnation, Revision)>;

/// What reaches the consensus thread.
pub(crate) enum ConsensusInput {
    /// A message of another replica.
    Cell {
        /// Its sender.
        from: ReplicaId,
        /// The message.
        message: PeerMessage,
    },
    /// Another replica has connected.
    Connected(ReplicaId),
    /// A proposal of this process.
    Propose {
        /// What is proposed.
        proposal: Proposal,
        /// Takes the answer.
        reply: oneshot::Sender<ProposalAnswer>,
    },
    /// A read of the state.
    Read(ReadTask),
    /// A read of the state as it is here, without a proof that it is current.
    Peek(ReadTask),
    /// A request for the revisions in force on the proxies.
    ProxyRevisions(oneshot::Sender<ProxyRevisions>),
    /// Proxies that are connected here.
    Reports(Vec<ProxyReport>),
    /// What a proxy that is connected here holds of tenants' limits.
    Allowances(AllowanceReport),
    /// A back end's answer to the leader.
    BackEnd(BackEndResult),
    /// The platform's list was polled.
    Platform(PlatformList),
    /// An answer to the leader about registered back ends.
    Registry(RegistryAnswer),
    /// A replica without a cell requests to be added.
    Join(CellMember),
    /// Another replica answered which cell it belongs to.
    CellLearned(CellConfig),
    /// Leadership is to be handed over.
    TransferLeadership,
    /// The thread is to end.
    Stop,
}

impl StateReader<'_> {
    /// The whole view as one frame.
    pub(crate) fn snapshot_frame(&self) -> Result<SnapshotFrame, FrameError> {
        self.feed.snapshot(self.state)
    }

    /// The whole view for a proxy that has `revision` in force, if deltas do not lead on from there.
    pub(crate) fn snapshot_for(
        &self,
        revision: Revision,
    ) -> Option<Result<SnapshotFrame, FrameError>> {
        self.feed.needs_whole(revision).then(|| self.snapshot_frame())
    }
}
