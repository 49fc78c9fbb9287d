//! One owned group: its queue, the state of its members, and its connections.
//!
//! The group's tasks and streams change its state in short steps under one lock, and wait on its
//! notifications. `corktack_core` makes the decisions (queue, routing, retry budget). `state` defines the
//! state that the lock protects, `slots` the right to run a transaction, `connections` the limit of server
//! connections, and `standing` whether this proxy still owns the group.

mod connections;
mod slots;
mod standing;
mod state;

pub(crate) use connections::{CONTROL_APPLICATION_NAME, PooledConnection};
pub(crate) use slots::{Slot, SlotWaitError};
pub(crate) use state::GroupState;

use crate::barrier_queue::BarrierQueue;
use crate::lock::lock;
use crate::metrics::{GroupLabel, Metrics};
use crate::settings::OwnerSettings;
use corktack_core::admission::{AdmissionLimits, AdmissionQueue};
use corktack_core::identity::{ClassName, GroupName, MemberName};
use corktack_core::position::{Position, Term};
use corktack_core::resources::PriorityClassSpec;
use corktack_core::retry::Backoff;
use corktack_core::routing::{is_draining, observer_weight};
use corktack_core::time::Timestamp;
use corktack_core::view::GroupView;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::{Notify, watch};

/// One owned group, shared by its tasks and streams.
#[derive(Debug)]
pub(crate) struct Group {
    pub name: GroupName,
    pub settings: OwnerSettings,
    pub metrics: Metrics,
    pub barriers: BarrierQueue,
    /// Wakes the task that keeps connections warm.
    pub warm_wakeup: Notify,
    /// Wakes a request that waits for a connection when one was closed or returned to the pool.
    pub connection_freed: Arc<Notify>,
    state: Mutex<GroupState>,
    view: watch::Sender<Arc<GroupView>>,
    /// Wakes waiting requests when the group is retired. This is separate from `member_changes`, which
    /// changes with each commit, so that commits do not wake every request in a long queue.
    pub retirement: watch::Sender<bool>,
    /// Counter that increases when a position or the reachability of a member changes.
    member_changes: watch::Sender<u64>,
    open_count: Arc<AtomicU32>,
    origin: Timestamp,
    started: Instant,
}

impl Group {
    /// Creates a group that this proxy owns from now on; `origin` is the current time on the owner's clock.
    pub fn new(
        name: GroupName,
        view: Arc<GroupView>,
        classes: &BTreeMap<ClassName, PriorityClassSpec>,
        settings: OwnerSettings,
        metrics: Metrics,
        origin: Timestamp,
    ) -> Self {
        let seed = observer_weight(&name, &settings.proxy);
        let state = GroupState::new(AdmissionQueue::new(limits(&view)), Backoff::new(seed));
        let group = Self {
            name,
            settings,
            metrics,
            barriers: BarrierQueue::default(),
            warm_wakeup: Notify::new(),
            connection_freed: Arc::default(),
            state: Mutex::new(state),
            view: watch::Sender::new(Arc::clone(&view)),
            retirement: watch::Sender::new(false),
            member_changes: watch::Sender::new(0),
            open_count: Arc::default(),
            origin,
            started: Instant::now(),
        };
        group.with_state(|state| {
            state.admission.set_classes(classes);
            state.routing.set_members(&view);
        });
        group
    }

    /// Runs a short operation under the group's lock.
    pub fn with_state<T>(&self, operation: impl FnOnce(&mut GroupState) -> T) -> T {
        operation(&mut lock(&self.state))
    }

    /// Returns the current time on the owner's clock.
    pub fn now(&self) -> Timestamp {
        self.origin + self.started.elapsed()
    }

    /// Returns the group as defined in the configuration in force.
    pub fn view(&self) -> Arc<GroupView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns a receiver for changes of the group in the configuration.
    pub fn subscribe_view(&self) -> watch::Receiver<Arc<GroupView>> {
        self.view.subscribe()
    }

    /// Returns a receiver that is notified when the state of a member changes.
    pub fn subscribe_member_changes(&self) -> watch::Receiver<u64> {
        self.member_changes.subscribe()
    }

    /// Wakes the tasks that wait for a change in the state of a member.
    pub fn notify_member_changed(&self) {
        self.member_changes.send_modify(|count| *count += 1);
    }

    /// Returns the label of the group's metrics.
    pub fn label(&self) -> GroupLabel {
        GroupLabel { group: self.name.to_string() }
    }

    /// Applies a newer view. Closes idle connections to draining members and to a replaced primary.
    pub fn apply_view(
        self: &Arc<Self>,
        view: &Arc<GroupView>,
        classes: &BTreeMap<ClassName, PriorityClassSpec>,
    ) {
        let before = self.view();
        let replaced = before.primary != view.primary || before.term != view.term;
        let closed = self.with_state(|state| {
            state.admission.set_limits(limits(view));
            state.admission.set_classes(classes);
            state.routing.set_members(view);
            if replaced {
                state.primary_suspect = false;
                state.epoch += 1;
            }
            let old_primary = before.primary.as_ref().filter(|_| replaced);
            state.remove_unusable(view, old_primary)
        });
        drop(closed);
        self.view.send_replace(Arc::clone(view));
        self.warm_wakeup.notify_one();
        self.notify_member_changed();
        self.grant_slots();
    }

    /// Reports whether there is a primary that accepts work: one that is neither suspect nor draining.
    pub fn is_primary_available(&self, state: &GroupState) -> bool {
        let view = self.view.borrow();
        let is_available = |primary: &MemberName| !is_draining(&view, primary);
        !state.primary_suspect && view.primary.as_ref().is_some_and(is_available)
    }

    /// Returns the primary and its term, if the primary accepts work.
    pub fn available_primary(&self) -> Option<(MemberName, Term)> {
        let is_available = self.with_state(|state| self.is_primary_available(state));
        let view = self.view();
        view.primary.clone().filter(|_| is_available).map(|primary| (primary, view.term))
    }

    /// Records that the primary failed or refused work, so that it gets no more work before a probe finds it
    /// leading. Has no effect if the member is no longer the primary of that term.
    pub fn mark_primary_suspect(&self, member: &MemberName, term: Term) {
        let view = self.view();
        if view.primary.as_ref() == Some(member) && view.term == term {
            self.with_state(|state| state.primary_suspect = true);
        }
    }

    /// Records a position that a member reported with an answer, and wakes waiting tasks if it is new.
    pub fn record_position(&self, member: &MemberName, position: Position) {
        if self.with_state(|state| state.routing.merge_position(member, position)) {
            self.notify_member_changed();
        }
    }

    /// Returns the retention of the outcomes of idempotency keys, in milliseconds.
    pub fn outcome_retention_ms(&self) -> u64 {
        u64::try_from(self.settings.outcome_retention.as_millis()).unwrap_or(u64::MAX)
    }
}

fn limits(view: &GroupView) -> AdmissionLimits {
    AdmissionLimits { slots: view.spec.slots, queue_limit: view.spec.queue_limit }
}
