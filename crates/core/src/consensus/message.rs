//! Messages between the replicas of a cell. The wire encoding is positional: the order and number of variants
//! and fields must not change.

use super::{CellConfig, Entry, Rejection};
use crate::position::Term;
use serde::{Deserialize, Serialize};

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Current term of the sender. In a pre-vote request and in its grant: the term of the intended election.
    pub term: Term,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote in the message's term would be granted; no replica changes its term.
    PreVoteRequest(LogEnd),
    /// Answer to [`MessageBody::PreVoteRequest`].
    PreVoteResponse {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    VoteRequest {
        /// End of the candidate's log.
        log_end: LogEnd,
        /// Whether the election is part of a leadership transfer that the leader requested.
        transfer: bool,
    },
    /// Answer to [`MessageBody::VoteRequest`].
    VoteResponse {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries of the leader's log.
    AppendRequest(AppendRequest),
    /// Answer to [`MessageBody::AppendRequest`] and to the last chunk of a snapshot.
    AppendResponse(AppendOutcome),
    /// Heartbeat of the leader.
    HeartbeatRequest {
        /// Committed index of the leader, at most the receiver's known match index.
        commit: u64,
        /// Number of the heartbeat round; confirms reads.
        round: u64,
    },
    /// Answer to [`MessageBody::HeartbeatRequest`].
    HeartbeatResponse {
        /// Number of the answered heartbeat round.
        round: u64,
    },
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answer to [`MessageBody::SnapshotChunk`] while chunks are missing.
    SnapshotResponse {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Number of contiguous bytes received from the start of the snapshot.
        received: u64,
    },
    /// Answer to a leader of a lower term; makes that leader step down.
    StaleTerm,
    /// A follower requests a read index from the leader for a batch of reads.
    ReadRequest {
        /// Id of the batch.
        batch: u64,
    },
    /// Answer to [`MessageBody::ReadRequest`].
    ReadResponse {
        /// Id of the batch.
        batch: u64,
        /// The read index, or why the leader rejected the batch.
        outcome: Result<u64, Rejection>,
    },
    /// The leader asks the receiver to start an election at once, without waiting for its election timeout.
    TimeoutNow,
}

/// Index and term of the last entry of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEnd {
    /// Index of that entry; 0 for an empty log.
    pub index: u64,
    /// Term of that entry.
    pub term: Term,
}

/// Entries of the leader's log and the entry that precedes them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The entry immediately before the first of `entries`.
    pub previous: LogEnd,
    /// Consecutive entries; may be empty.
    pub entries: Vec<Entry>,
    /// Committed index of the leader.
    pub commit: u64,
}

/// Result of an [`AppendRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The receiver's log matches the leader's up to `match_index`, and is synced up to there.
    Accepted {
        /// Highest index known to match.
        match_index: u64,
    },
    /// The entry at `previous` is missing in the receiver's log or has another term.
    Rejected {
        /// Index of the entry that did not match.
        previous_index: u64,
        /// Term of the receiver's entry at that index; none if the receiver's log is shorter.
        conflict_term: Option<Term>,
        /// First index of `conflict_term` in the receiver's log, or the index after its last entry.
        conflict_index: u64,
    },
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Last entry that the snapshot covers.
    pub last: LogEnd,
    /// Cell configuration at that entry.
    pub cell: CellConfig,
    /// Size of the whole snapshot, in bytes.
    pub total: u64,
    /// Byte offset of `data` in the snapshot.
    pub offset: u64,
    /// Bytes of this chunk.
    pub data: Vec<u8>,
}
