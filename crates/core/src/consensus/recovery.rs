//! What a replica starts from: settings, disk and first cell. Refuses what this replica cannot have written.

use super::log::Log;
use super::{CellConfig, ConsensusError, ConsensusSettings, Entry, HardState, Payload};
use crate::identity::ReplicaId;
use crate::position::Term;

/// Refuses settings that cannot work.
pub(super) fn check_settings(settings: &ConsensusSettings) -> Result<(), ConsensusError> {
    if settings.heartbeat_interval.is_zero() {
        return Err(ConsensusError::Settings("heartbeat_interval"));
    }
    if settings.election_timeout <= settings.heartbeat_interval {
        return Err(ConsensusError::Settings("election_timeout"));
    }
    // Doubled it would stay zero: a candidate without a majority would ask at every tick.
    if settings.first_election_timeout.is_zero() {
        return Err(ConsensusError::Settings("first_election_timeout"));
    }
    if settings.snapshot_chunk_bytes == 0 {
        return Err(ConsensusError::Settings("snapshot_chunk_bytes"));
    }
    Ok(())
}

/// Hard state to start from: never behind the log that was found with it.
pub(super) fn recovered_hard_state(
    found: HardState,
    log: &Log,
) -> Result<HardState, ConsensusError> {
    let last = log.last();
    if found.commit > last.index {
        return Err(ConsensusError::CommittedLost { last_index: last.index, commit: found.commit });
    }
    let mut recovered = found;
    recovered.commit = recovered.commit.max(log.snapshot_index());
    if last.term > recovered.term {
        // A snapshot is synced before the term it came with; no vote was given in
        // that term, or the term would have been synced with the vote.
        recovered.term = last.term;
        recovered.vote = None;
    }
    Ok(recovered)
}

/// Writes the first cell as the first entry of the log.
pub(super) fn append_first_cell(
    log: &mut Log,
    cell: CellConfig,
    own: ReplicaId,
) -> Result<(), ConsensusError> {
    if !cell.voters.iter().any(|member| member.id == own) {
        return Err(ConsensusError::NotInFirstCell(own));
    }
    log.append(Entry { term: Term(0), index: 1, payload: Payload::Cell(cell) });
    Ok(())
}
