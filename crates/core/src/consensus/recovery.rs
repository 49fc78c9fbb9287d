//! Checks what a replica starts from: settings, persisted state and bootstrap cell.

use super::log::Log;
use super::{CellConfig, ConsensusError, ConsensusSettings, Entry, HardState, Payload};
use crate::identity::ReplicaId;
use crate::position::Term;

/// Returns an error that names the first invalid setting.
pub(super) fn check_settings(settings: &ConsensusSettings) -> Result<(), ConsensusError> {
    if settings.heartbeat_interval.is_zero() {
        return Err(ConsensusError::Settings("heartbeat_interval"));
    }
    if settings.election_timeout <= settings.heartbeat_interval {
        return Err(ConsensusError::Settings("election_timeout"));
    }
    // Zero stays zero when doubled, so a candidate without a majority would request votes at every tick.
    if settings.first_election_timeout.is_zero() {
        return Err(ConsensusError::Settings("first_election_timeout"));
    }
    if settings.snapshot_chunk_bytes == 0 {
        return Err(ConsensusError::Settings("snapshot_chunk_bytes"));
    }
    Ok(())
}

/// Returns the hard state to start from: the persisted one, brought up to the persisted log.
///
/// # Errors
/// Returns [`ConsensusError::CommittedLost`] if the log ends before the committed index.
pub(super) fn recovered_hard_state(
    persisted: HardState,
    log: &Log,
) -> Result<HardState, ConsensusError> {
    let log_end = log.end();
    if persisted.commit > log_end.index {
        return Err(ConsensusError::CommittedLost {
            last_index: log_end.index,
            commit: persisted.commit,
        });
    }
    let mut recovered = persisted;
    recovered.commit = recovered.commit.max(log.snapshot_index());
    if log_end.term > recovered.term {
        // A snapshot is synced before the term that came with it. No vote was granted in
        // that term, because the term would have been synced with the vote.
        recovered.term = log_end.term;
        recovered.vote = None;
    }
    Ok(recovered)
}

/// Appends the bootstrap cell as the first entry of the log.
pub(super) fn append_bootstrap_cell(
    log: &mut Log,
    cell: CellConfig,
    own_id: ReplicaId,
) -> Result<(), ConsensusError> {
    if !cell.voters.iter().any(|member| member.id == own_id) {
        return Err(ConsensusError::NotInBootstrapCell(own_id));
    }
    log.append(Entry { term: Term(0), index: 1, payload: Payload::Cell(cell) });
    Ok(())
}
