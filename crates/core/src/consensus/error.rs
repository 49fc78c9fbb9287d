//! Errors that keep a replica from starting.

use crate::identity::ReplicaId;

/// Why a replica cannot start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConsensusError {
    /// The persisted log has a gap.
    #[error("the log has entry {found} where entry {expected} was expected")]
    LogGap {
        /// Index that follows the preceding entry.
        expected: u64,
        /// Index that was found instead.
        found: u64,
    },
    /// An entry of the persisted log has a lower term than the entry before it.
    #[error("log entry {index} has a lower term than the entry before it")]
    TermDecreases {
        /// Index of the entry with the lower term.
        index: u64,
    },
    /// The persisted log ends before an index that was known to be committed.
    ///
    /// A replica that lost acknowledged entries must not vote under its old id.
    #[error("the log ends at index {last_index}, but index {commit} was committed")]
    CommittedLost {
        /// Index of the log's last entry.
        last_index: u64,
        /// Persisted committed index.
        commit: u64,
    },
    /// The bootstrap cell does not have this replica as a voter.
    #[error("the bootstrap cell does not have replica {0} as a voter")]
    NotInBootstrapCell(ReplicaId),
    /// The named setting is invalid: a timeout, interval or size is zero, or the election
    /// timeout is not longer than the heartbeat interval.
    #[error("the setting {0} is invalid")]
    Settings(&'static str),
}
