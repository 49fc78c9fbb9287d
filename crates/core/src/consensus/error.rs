//! Why a replica cannot start.

use crate::identity::ReplicaId;

/// Why a replica cannot start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConsensusError {
    /// The persisted log has a gap.
    #[error("the log holds index {found} where {expected} was due")]
    LogGap {
        /// Index that was due.
        expected: u64,
        /// Index found.
        found: u64,
    },
    /// The persisted log has an entry of a lower term than the one before it.
    #[error("the entry {index} of the log has a lower term than the one before it")]
    TermDecreases {
        /// Index of the entry.
        index: u64,
    },
    /// The persisted log ends before an index that was known to be committed.
    ///
    /// A replica that lost acknowledged entries must not vote under its old identity.
    #[error("the log ends at {last_index}, but {commit} was committed")]
    CommittedLost {
        /// Last index of the log.
        last_index: u64,
        /// Committed index.
        commit: u64,
    },
    /// The cell to start with does not have this replica as a voter.
    #[error("the first cell does not have replica {0} as a voter")]
    NotInFirstCell(ReplicaId),
    /// A timeout, interval or size of the settings is zero, or the heartbeat
    /// interval is not shorter than the election timeout.
    #[error("the settings {0} cannot work")]
    Settings(&'static str),
}
