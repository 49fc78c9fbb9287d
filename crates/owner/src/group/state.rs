//! What a group's lock protects.
//!
//! The module owns the fields and small steps on them; who waits for a change is woken by the group, outside
//! the lock.

use super::connections::PooledConnection;
use super::slots::Slot;
use corktack_core::admission::{AdmissionQueue, Ticket};
use corktack_core::identity::MemberName;
use corktack_core::pool::outcomes::COMMITS_BETWEEN_SWEEPS;
use corktack_core::retry::{Backoff, RetryBudget};
use corktack_core::routing::{RoutingTable, is_draining};
use corktack_core::view::GroupView;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;
use tokio::sync::oneshot;

/// What the group's lock protects. Never held across an await.
#[derive(Debug)]
pub(crate) struct GroupState {
    /// Who waits for a slot, and whose turn it is.
    pub admission: AdmissionQueue,
    /// What is known of the members: reachable, position, work in flight.
    pub routing: RoutingTable,
    /// Connections that no transaction uses, by member.
    pub idle: BTreeMap<MemberName, Vec<PooledConnection>>,
    /// Retries that the group's requests have left.
    pub retry: RetryBudget,
    /// Waits before retries.
    pub backoff: Backoff,
    /// The primary in the view failed or refused; writes wait for a probe or a new view.
    pub primary_suspect: bool,
    /// Rises with each change of primary or term; connections made before are not pooled after.
    pub epoch: u64,
    /// Members that leave probes unanswered, and since when.
    pub silent_since: BTreeMap<MemberName, Instant>,
    /// Another proxy owns the group now: what is open finishes, nothing is pooled.
    pub retired: bool,
    /// Keyed commits before old outcomes are removed again.
    commits_to_sweep: u32,
    /// Who waits for which ticket.
    pub grants: HashMap<Ticket, oneshot::Sender<Slot>>,
}

impl GroupState {
    /// Nothing is known of the members yet, and nothing waits.
    pub fn new(admission: AdmissionQueue, backoff: Backoff) -> Self {
        Self {
            admission,
            routing: RoutingTable::default(),
            idle: BTreeMap::new(),
            retry: RetryBudget::default(),
            backoff,
            primary_suspect: false,
            epoch: 0,
            silent_since: BTreeMap::new(),
            retired: false,
            commits_to_sweep: 0,
            grants: HashMap::new(),
        }
    }

    /// Counts a keyed commit; true when old outcomes are to be removed.
    pub fn sweep_is_due(&mut self) -> bool {
        let due = self.commits_to_sweep == 0;
        self.commits_to_sweep =
            if due { COMMITS_BETWEEN_SWEEPS } else { self.commits_to_sweep } - 1;
        due
    }

    /// Keeps a connection that was made in an epoch for the next transaction. It comes back, to be closed
    /// outside the lock, where the group is retired or the epoch over.
    pub fn keep_idle(
        &mut self,
        member: &MemberName,
        epoch: u64,
        pooled: PooledConnection,
    ) -> Option<PooledConnection> {
        if self.retired || self.epoch != epoch {
            return Some(pooled);
        }
        self.idle.entry(member.clone()).or_default().push(pooled);
        None
    }

    /// Takes out idle connections to members that are gone, draining or were primary.
    pub fn take_unusable(
        &mut self,
        view: &GroupView,
        old_primary: Option<&MemberName>,
    ) -> Vec<PooledConnection> {
        let mut taken = Vec::new();
        for (name, connections) in &mut self.idle {
            if is_draining(view, name) || old_primary == Some(name) {
                taken.append(connections);
            }
        }
        taken
    }
}
