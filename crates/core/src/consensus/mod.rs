//! Replicated log of the control state, after the Raft paper, as a state machine without I/O.
//!
//! The shell feeds [`Event`]s with the current time into a replica and performs
//! the [`Action`]s it returns **in order**: a [`Action::Persist`] must be synced
//! to disk before any later [`Action::Send`] of the same batch leaves, because
//! votes and acknowledgements promise what they say to survive a crash.
//!
//! Owns terms, votes, the log and the cell's members. Relies on the shell for the disk, for sending (messages may
//! be lost, repeated and reordered) and for the clock, which need not agree with others'.

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

/// What must be on disk before a replica may act on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// The candidate voted for in `term`.
    pub vote: Option<ReplicaId>,
    /// Highest index known to be committed; a hint, safe to lose.
    pub commit: u64,
}

/// A member of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMember {
    /// Its identity.
    pub id: ReplicaId,
    /// Its address for other control replicas.
    pub address: SocketAddr,
}

/// The replicas of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellConfig {
    /// Replicas that vote.
    pub voters: Vec<CellMember>,
    /// Replicas that are being brought up to date and do not vote.
    pub learners: Vec<CellMember>,
}

/// A change of the cell by one member at a time.
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
    /// Written by a new leader to commit the entries of earlier terms.
    Empty,
    /// A command for the control state, encoded by the shell.
    Command(Vec<u8>),
    /// The cell after a change of one member.
    Cell(CellConfig),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Its place; the first has index 1.
    pub index: u64,
    /// What it holds.
    pub payload: Payload,
}

/// The state at one index, in place of the log up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: Term,
    /// The cell at that index.
    pub cell: CellConfig,
    /// The control state, encoded by the shell.
    pub data: Vec<u8>,
}

/// What a replica finds on its disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term, vote and commit hint.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ConsensusSettings {
    /// This replica.
    pub id: ReplicaId,
    /// Shortest time without a leader before an election; the longest is twice this.
    pub election_timeout: Duration,
    /// As `election_timeout`, after the start and until a leader is known: doubled each time it
    /// runs out, up to `election_timeout`. A replica that has just started does not disturb a
    /// leader, because it asks for pre-votes first. Zero is refused.
    pub first_election_timeout: Duration,
    /// Time between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Most entry bytes in one append message.
    pub append_bytes_limit: usize,
    /// Bytes of one piece of a streamed snapshot.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// Number given by the shell to a proposal or read, to find its answer again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election, without raising its term.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
    /// Receives the log and does not vote.
    Learner,
}

/// Why a proposal or read was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Rejection {
    /// This replica does not lead.
    #[error("this replica does not lead; the leader is {leader:?}")]
    NotLeader {
        /// The leader, where known.
        leader: Option<ReplicaId>,
    },
    /// Leadership was lost before the answer: a proposal may or may not be committed.
    #[error("leadership was lost before the outcome was known")]
    LeadershipLost,
    /// Another change of the cell is under way, or this one makes no sense.
    #[error("the change of the cell cannot be made now")]
    CellChange,
}

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event<M> {
    /// Time has passed.
    Tick,
    /// A message came in.
    Message {
        /// Sender.
        from: ReplicaId,
        /// Message.
        message: M,
    },
    /// A replica that was not reached before can be reached now: what it was asked and did not
    /// hear is asked again.
    Reachable {
        /// The replica.
        replica: ReplicaId,
    },
    /// The shell wants a command in the log.
    Propose {
        /// Number for the answer.
        request: RequestId,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// The shell wants to change the cell.
    ProposeCell {
        /// Number for the answer.
        request: RequestId,
        /// The change.
        change: CellChange,
    },
    /// The shell wants an index that is at least as new as any answer given
    /// before the question. Any replica may ask; followers ask the leader.
    ReadIndex {
        /// Number for the answer.
        request: RequestId,
    },
    /// The shell made a snapshot of the state at `snapshot.index` and synced it;
    /// the log up to it may be dropped.
    Compact {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// The shell wants another replica to lead (planned stop).
    TransferLeadership,
}

/// What a replica wants its shell to do, in order.
#[derive(Clone, Debug)]
pub enum Action<M> {
    /// Write and sync. The log is first cut so that it ends before the first of `entries`.
    Persist {
        /// New hard state, where it changed.
        hard_state: Option<HardState>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Write and sync a snapshot received from the leader, and drop the log it covers.
    /// The shell then replaces its state by the snapshot's.
    InstallSnapshot(Snapshot),
    /// Send to another replica.
    Send {
        /// Receiver.
        to: ReplicaId,
        /// Message.
        message: M,
    },
    /// Apply committed entries to the state, in order.
    Apply(Vec<Entry>),
    /// A proposal of this replica was committed and applied at `index`.
    Committed {
        /// Number given with the proposal.
        request: RequestId,
        /// Where it stands.
        index: u64,
    },
    /// A read may be answered once the state has applied `index`.
    ReadReady {
        /// Number given with the read.
        request: RequestId,
        /// Index to apply first.
        index: u64,
    },
    /// A proposal or read was not accepted, or its outcome is unknown.
    Rejected {
        /// Number given with it.
        request: RequestId,
        /// Why.
        rejection: Rejection,
    },
    /// The role, term or leader changed.
    RoleChanged {
        /// New role.
        role: Role,
        /// Current term.
        term: Term,
        /// Leader, where known.
        leader: Option<ReplicaId>,
    },
}

/// Ids of all voters of a cell.
#[must_use]
pub fn voter_ids(cell: &CellConfig) -> BTreeSet<ReplicaId> {
    cell.voters.iter().map(|member| member.id).collect()
}
