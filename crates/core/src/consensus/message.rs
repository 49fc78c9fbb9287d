//! Messages between the replicas of a cell. They travel: order and number of variants and fields stay.

use super::{CellConfig, Entry, Rejection};
use crate::position::Term;
use serde::{Deserialize, Serialize};

/// A message of one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; of a pre-vote and of its grant the term asked for.
    pub term: Term,
    /// What it says.
    pub body: MessageBody,
}

/// What a [`Message`] says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote in `term` would be granted, without raising any term.
    PreVoteRequest(LogEnd),
    /// Answer to [`MessageBody::PreVoteRequest`].
    PreVoteResponse {
        /// Whether it would.
        granted: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// End of the candidate's log.
        log_end: LogEnd,
        /// Whether the leader itself asked for this election.
        transfer: bool,
    },
    /// Answer to [`MessageBody::VoteRequest`].
    VoteResponse {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries of the leader's log.
    AppendRequest(AppendRequest),
    /// Answer to [`MessageBody::AppendRequest`] and to the last piece of a snapshot.
    AppendResponse(AppendOutcome),
    /// The leader is there.
    HeartbeatRequest {
        /// Committed index, no higher than what the receiver is known to hold.
        commit: u64,
        /// Number of the round, for reads.
        round: u64,
    },
    /// Answer to [`MessageBody::HeartbeatRequest`].
    HeartbeatResponse {
        /// Number of the round.
        round: u64,
    },
    /// A piece of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answer to [`MessageBody::SnapshotChunk`] while pieces are missing.
    SnapshotResponse {
        /// Index of the snapshot.
        index: u64,
        /// Bytes received without a gap.
        received: u64,
    },
    /// Answer to a leader of a lower term, so that it steps down.
    StaleTerm,
    /// A follower asks the leader for a read index for a batch of reads.
    ReadRequest {
        /// Number of the batch.
        batch: u64,
    },
    /// Answer to [`MessageBody::ReadRequest`].
    ReadResponse {
        /// Number of the batch.
        batch: u64,
        /// The index, or why there is none.
        outcome: Result<u64, Rejection>,
    },
    /// The leader asks the receiver to hold an election at once.
    TimeoutNow,
}

/// Index and term of the last entry of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEnd {
    /// Its index.
    pub index: u64,
    /// Its term.
    pub term: Term,
}

/// Entries of the leader's log and the place they follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The entry before the first of `entries`.
    pub previous: LogEnd,
    /// Consecutive entries, possibly none.
    pub entries: Vec<Entry>,
    /// Committed index of the leader.
    pub commit: u64,
}

/// What became of an [`AppendRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals the leader's up to `match_index`, and that is synced.
    Accepted {
        /// Highest index known to be equal.
        match_index: u64,
    },
    /// The entry before the first one is missing or of another term.
    Rejected {
        /// Index of the entry that did not match.
        previous_index: u64,
        /// Term of the receiver's entry there; none when its log is shorter.
        conflict_term: Option<Term>,
        /// First index the receiver holds of that term, or the index after its log.
        conflict_index: u64,
    },
}

/// A piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Last entry the snapshot covers.
    pub last: LogEnd,
    /// The cell at that entry.
    pub cell: CellConfig,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Place of `data` in it.
    pub offset: u64,
    /// The piece.
    pub data: Vec<u8>,
}
