//! Messages between the members of a group.

use crate::entry::LogEntry;
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Entries and commit index of a primary; without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term of the sender.
    pub term: Term,
    /// The primary of that term.
    pub primary: MemberName,
    /// Last entry of the primary's log when its term began.
    pub term_start: Position,
    /// Term and index of the entry before the first one sent.
    pub previous: Position,
    /// Entries that follow.
    pub entries: Vec<Arc<LogEntry>>,
    /// Highest index known committed.
    pub commit_index: u64,
    /// Highest confirmation round that began before this request was made.
    pub round: u64,
}

/// Answer to an [`AppendRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The highest term the receiver promised.
    pub promised_term: Term,
    /// Round of the request.
    pub round: u64,
    /// What became of the request.
    pub outcome: AppendOutcome,
}

/// What a receiver did with an append request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log matches the sender's up to this index, synced.
    Matched(u64),
    /// The entry before the first one is missing or differs; try from this index.
    Mismatch(u64),
    /// The receiver has entries that the sender lacked when its term began.
    Ahead,
    /// A higher term was promised, or another primary for this term.
    Refused,
}
