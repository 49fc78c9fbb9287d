//! State that a group's lock protects, with short operations on it. The group wakes waiting tasks outside the
//! lock.

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

/// State that the group's lock protects. The lock is never held across an await.
#[derive(Debug)]
pub(crate) struct GroupState {
    /// Queue of the requests that wait for a slot.
    pub admission: AdmissionQueue,
    /// State of the members: reachability, position, work in flight.
    pub routing: RoutingTable,
    /// Idle connections by member.
    pub idle: BTreeMap<MemberName, Vec<PooledConnection>>,
    /// Budget of retries that the group's requests share.
    pub retry: RetryBudget,
    /// Delays before retries.
    pub backoff: Backoff,
    /// Whether the primary in the view failed or refused work; writes then wait for a probe or a new view.
    pub primary_suspect: bool,
    /// Counter that increases with each change of primary or term. Leased connections from an earlier epoch
    /// are not returned to the pool.
    pub epoch: u64,
    /// Members that leave probes unanswered, with the time of the first unanswered probe.
    pub silent_since: BTreeMap<MemberName, Instant>,
    /// Whether another proxy owns the group now: open streams finish, and no connection returns to the pool.
    pub retired: bool,
    /// Number of keyed commits until old outcomes are removed again.
    commits_until_sweep: u32,
    /// Channels to the requests that wait for a slot, by ticket.
    pub grant_senders: HashMap<Ticket, oneshot::Sender<Slot>>,
}

impl GroupState {
    /// Creates the state of a group without known members or waiting requests.
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
            commits_until_sweep: 0,
            grant_senders: HashMap::new(),
        }
    }

    /// Counts a keyed commit; returns true when old outcomes must be removed.
    pub fn record_commit_and_check_sweep(&mut self) -> bool {
        let due = self.commits_until_sweep == 0;
        self.commits_until_sweep =
            if due { COMMITS_BETWEEN_SWEEPS } else { self.commits_until_sweep } - 1;
        due
    }

    /// Adds a connection from the given epoch to the pool. Returns the connection, for the caller to close
    /// outside the lock, if the group is retired or the epoch has passed.
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

    /// Removes and returns idle connections to members that are gone or draining, and to the replaced
    /// primary.
    pub fn remove_unusable(
        &mut self,
        view: &GroupView,
        old_primary: Option<&MemberName>,
    ) -> Vec<PooledConnection> {
        let mut removed = Vec::new();
        for (name, connections) in &mut self.idle {
            if is_draining(view, name) || old_primary == Some(name) {
                removed.append(connections);
            }
        }
        removed
    }
}
