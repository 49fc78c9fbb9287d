//! Raft: the replicated log of the control state, as a state machine without I/O.
//!
//! A cell is a group of replicas that share one log. The driver is the code that runs a replica: it feeds
//! [`Event`]s with the current time into the replica and performs the returned [`Action`]s **in order**. An
//! [`Action::Persist`] must be synced to disk before any later [`Action::Send`] of the same batch leaves,
//! because votes and acknowledgements must still hold after a crash.
//!
//! A replica owns its term, vote, log and cell configuration. It relies on the driver for the disk, for
//! sending messages (which may be lost, duplicated and reordered) and for a clock, which need not agree with
//! the clocks of other replicas.

mod accessors;
mod election;
mod error;
mod follower;
mod incoming_snapshot;
mod leader;
mod log;
mod membership;
pub mod message;
mod pending_reads;
mod progress;
mod read_index;
mod recovery;
mod replica;
mod replication;
mod stall;
mod transfer;
mod votes;

pub use accessors::CellMemberHealth;
pub use error::ConsensusError;
pub use message::Message;
pub use replica::Replica;

use crate::identity::ReplicaId;
use crate::position::Term;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Raft's hard state: must be synced to disk before the replica acts on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// The candidate voted for in `term`.
    pub vote: Option<ReplicaId>,
    /// Highest index known to be committed. A hint: the replica stays correct if it is lost.
    pub commit: u64,
}

/// A member of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMember {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Address at which other control replicas reach this member.
    pub address: SocketAddr,
}

/// Configuration of a cell: its voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellConfig {
    /// Replicas that vote.
    pub voters: Vec<CellMember>,
    /// Replicas that receive the log, to catch up, but do not vote.
    pub learners: Vec<CellMember>,
}

/// A change of the cell configuration by a single member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellChange {
    /// Adds a learner.
    AddLearner(CellMember),
    /// Makes a caught-up learner a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation. A new leader appends it to commit the entries of earlier terms.
    Empty,
    /// A command for the control state, encoded by the driver.
    Command(Vec<u8>),
    /// The cell configuration after a change of one member.
    Cell(CellConfig),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// The state at one index; replaces the log up to and including that index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers (the paper's last included index).
    pub index: u64,
    /// Term of the last entry that the snapshot covers.
    pub term: Term,
    /// Cell configuration at that index.
    pub cell: CellConfig,
    /// The control state, encoded by the driver.
    pub data: Vec<u8>,
}

/// What a replica loads from disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term, vote and commit hint; the default on an empty disk.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ConsensusSettings {
    /// Id of this replica.
    pub id: ReplicaId,
    /// Shortest time without a leader before an election starts; the randomized timeout is up to twice as
    /// long.
    pub election_timeout: Duration,
    /// Replaces `election_timeout` from the start until a leader is known. Each time this timeout expires it
    /// doubles, up to `election_timeout`. A short value does not let a restarted replica disturb the leader,
    /// because the replica requests pre-votes first. Must not be zero.
    pub first_election_timeout: Duration,
    /// Time between heartbeats of the leader; shorter than `election_timeout`.
    pub heartbeat_interval: Duration,
    /// Limit on the entry bytes of one append message; a single larger entry is still sent.
    pub append_bytes_limit: usize,
    /// Size of one snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Identifies a proposal or read. The driver assigns it to match the answer to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Votes, and follows a leader or waits for one.
    Follower,
    /// Requests pre-votes to find out whether it could win an election, without incrementing its term.
    PreCandidate,
    /// Incremented its term and requests votes.
    Candidate,
    /// Appends entries to the log and replicates them to the other members.
    Leader,
    /// Receives the log but does not vote.
    Learner,
}

/// Why a proposal or read was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Rejection {
    /// This replica is not the leader, or is transferring its leadership.
    #[error("this replica does not lead; the leader is {leader:?}")]
    NotLeader {
        /// The leader, or the target of the transfer, if known.
        leader: Option<ReplicaId>,
    },
    /// Leadership was lost before the answer. A proposal may or may not become committed.
    #[error("leadership was lost before the outcome was known")]
    LeadershipLost,
    /// Another cell change is uncommitted, or this change is invalid or unsafe now.
    #[error("the change of the cell cannot be made now")]
    CellChange,
}

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Event<M> {
    /// A deadline of the replica may have passed, see [`Replica::next_deadline`].
    Tick,
    /// A message was received.
    Message {
        /// Replica that sent the message.
        from: ReplicaId,
        /// The message.
        message: M,
    },
    /// The driver handled no event for a time that has just ended, because it performed actions or did not
    /// run. Passed before the events of that time.
    Stalled {
        /// Length of that time.
        duration: Duration,
    },
    /// A replica that was unreachable can be reached now. A pending vote request is sent to it again, because
    /// the first one may be lost.
    Reachable {
        /// Replica that became reachable.
        replica: ReplicaId,
    },
    /// The driver proposes a command for the log.
    Propose {
        /// Id of the request.
        request: RequestId,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// The driver proposes a change of the cell.
    ProposeCell {
        /// Id of the request.
        request: RequestId,
        /// The change.
        change: CellChange,
    },
    /// The driver requests a read index: an index at which the state contains everything that was answered
    /// before this request. Every replica accepts it; followers forward it to the leader.
    ReadIndex {
        /// Id of the request.
        request: RequestId,
    },
    /// The driver took a snapshot of the state at `snapshot.index` and synced it;
    /// the log up to that index may be compacted.
    Compact {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// The driver requests a leadership transfer to another voter, before a planned stop.
    TransferLeadership,
}

/// Output of a replica. The driver performs the actions of a batch in order.
#[derive(Clone, Debug)]
pub enum Action<M> {
    /// Write and sync. If there are `entries`, the stored log is first truncated to end before the first of
    /// them.
    Persist {
        /// New hard state, if it changed.
        hard_state: Option<HardState>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Write and sync a snapshot received from the leader, and delete the whole stored log.
    /// The driver then replaces its state with the snapshot's.
    InstallSnapshot(Snapshot),
    /// Send a message to another replica.
    Send {
        /// Replica to send to.
        to: ReplicaId,
        /// The message.
        message: M,
    },
    /// Apply committed entries to the state, in order.
    Apply(Vec<Entry>),
    /// A proposal of this replica is committed; its entry was handed out in an earlier [`Action::Apply`].
    Committed {
        /// Id of the proposal.
        request: RequestId,
        /// Index of the proposal's entry.
        index: u64,
    },
    /// A read may be answered once the state has applied `index`.
    ReadReady {
        /// Id of the read.
        request: RequestId,
        /// Read index.
        index: u64,
    },
    /// A proposal or read was rejected, or its outcome is unknown.
    Rejected {
        /// Id of the proposal or read.
        request: RequestId,
        /// Reason of the rejection.
        rejection: Rejection,
    },
    /// The role, term or leader changed.
    RoleChanged {
        /// New role.
        role: Role,
        /// Current term.
        term: Term,
        /// Leader of the term, if known.
        leader: Option<ReplicaId>,
    },
}

/// Returns the ids of all voters of a cell.
#[must_use]
pub fn voter_ids(cell: &CellConfig) -> BTreeSet<ReplicaId> {
    cell.voters.iter().map(|member| member.id).collect()
}
