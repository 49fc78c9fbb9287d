//! The leader's duty to repair its cell: collects join requests and evaluates the cell at intervals.
//!
//! The driver passes the requests in, asks for the change that is due and proposes it. Nobody waits for the
//! outcome of a proposal, as the next evaluation sees the changed cell.

use super::cell_repair::{CellRepair, VoterShortage};
use crate::consensus::{CellChange, CellMember, Replica, Role};
use crate::time::{Timestamp, millis};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two evaluations of the cell. A shorter interval wakes the leader more often; a longer one
/// delays the replacement of a lost replica.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Most join requests stored between two evaluations; the other replicas request again. Bounds the memory
/// that unknown senders can use.
const MAX_JOINERS: usize = 32;

/// A lack of voters that the leader knows of.
#[derive(Clone, Debug)]
struct KnownShortage {
    shortage: VoterShortage,
    since: Timestamp,
}

/// The duty of repairing a cell. Only a leader's duty proposes changes.
#[derive(Debug)]
pub struct CellRepairDuty {
    repair: CellRepair,
    /// The join requests since the last evaluation.
    joiners: BTreeMap<SocketAddr, CellMember>,
    next_evaluation: Timestamp,
    shortage: Option<KnownShortage>,
}

impl CellRepairDuty {
    /// Creates the duty; its first evaluation is due as soon as the replica leads.
    #[must_use]
    pub fn new(repair: CellRepair) -> Self {
        Self { repair, joiners: BTreeMap::new(), next_evaluation: Timestamp::ZERO, shortage: None }
    }

    /// Stores a request to join until the next evaluation. The replica repeats a request that is dropped.
    pub fn add_join_request(&mut self, joiner: CellMember) {
        if self.joiners.len() < MAX_JOINERS {
            self.joiners.insert(joiner.address, joiner);
        }
    }

    /// Returns when the cell is evaluated next; none while the replica is not a leader that may change it.
    #[must_use]
    pub fn next_deadline(&self, replica: &Replica) -> Option<Timestamp> {
        replica.has_applied_own_term().then_some(self.next_evaluation)
    }

    /// Returns the lack of voters that this leader knows of.
    #[must_use]
    pub fn shortage(&self) -> Option<&VoterShortage> {
        self.shortage.as_ref().map(|known| &known.shortage)
    }

    /// Returns the change of the cell that is due, if any. A new leader keeps the join requests until it
    /// has applied an entry of its own term, as the core refuses changes before.
    pub fn evaluate(&mut self, now: Timestamp, replica: &Replica) -> Option<CellChange> {
        if replica.role() != Role::Leader {
            self.joiners.clear();
            self.shortage = None;
            return None;
        }
        if !replica.has_applied_own_term() || now < self.next_evaluation {
            return None;
        }
        self.next_evaluation = now + REPAIR_INTERVAL;
        let cell = replica.cell();
        let health = replica.member_health(now);
        self.record_shortage(now, self.repair.shortage(cell, &health));
        let joiners = std::mem::take(&mut self.joiners);
        let admitted = joiners.values().find_map(|joiner| self.repair.admit(cell, &health, joiner));
        let change = self.repair.next_change(cell, &health).or(admitted)?;
        log::info!(change:? = change; "cell repair proposes a change of the cell");
        Some(change)
    }

    /// Stores the current lack of voters, and logs when it begins, changes or ends.
    fn record_shortage(&mut self, now: Timestamp, shortage: Option<VoterShortage>) {
        if self.shortage() == shortage.as_ref() {
            return;
        }
        let since = self.shortage.as_ref().map_or(now, |known| known.since);
        let lasted_ms = millis(now.saturating_since(since));
        match &shortage {
            Some(shortage) => log::warn!(
                missing = shortage.missing, silent:? = shortage.silent, reason:% = shortage.reason,
                since_ms = lasted_ms;
                "cell is short of voters"
            ),
            None => log::info!(since_ms = lasted_ms; "cell has all its voters again"),
        }
        self.shortage = shortage.map(|shortage| KnownShortage { shortage, since });
    }
}
