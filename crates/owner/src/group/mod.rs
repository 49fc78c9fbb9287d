//! One owned group: its queue, what is known of its members, its connections.
//!
//! The module owns the group's state, which its tasks and streams change in short steps under one lock, and the
//! signals that wake them. It relies on `corktack_core` for the decisions (queue, routing, retry budget) and
//! on `connection` for the wire. `state` is what the lock protects, `slots` the right to run a transaction,
//! `connections` the limit of server connections, `standing` whether the group is still owned here.

mod connections;
mod slots;
mod standing;
mod state;

pub(crate) use connections::{CONTROL_APPLICATION_NAME, PooledConnection};
pub(crate) use slots::{GivenUp, Slot};
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

/// One owned group.
#[derive(Debug)]
pub(crate) struct Group {
    pub name: GroupName,
    pub settings: OwnerSettings,
    pub metrics: Metrics,
    pub barriers: BarrierQueue,
    /// Wakes the task that keeps connections warm.
    pub warm: Notify,
    /// Wakes one that waits for a connection, when one was closed or given back.
    pub room: Arc<Notify>,
    state: Mutex<GroupState>,
    view: watch::Sender<Arc<GroupView>>,
    /// Wakes what waits when the group is retired. Apart from `knowledge`, which
    /// changes with each commit, so that a long queue sleeps through those.
    pub retirement: watch::Sender<bool>,
    /// Rises when a position or the reachability of a member changes.
    knowledge: watch::Sender<u64>,
    open: Arc<AtomicU32>,
    origin: Timestamp,
    started: Instant,
}

impl Group {
    /// A group that this proxy owns from now on, which is `origin` on the owner's clock.
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
            warm: Notify::new(),
            room: Arc::default(),
            state: Mutex::new(state),
            view: watch::Sender::new(Arc::clone(&view)),
            retirement: watch::Sender::new(false),
            knowledge: watch::Sender::new(0),
            open: Arc::default(),
            origin,
            started: Instant::now(),
        };
        group.with_state(|state| {
            state.admission.set_classes(classes);
            state.routing.set_members(&view);
        });
        group
    }

    /// Runs a short step under the group's lock.
    pub fn with_state<T>(&self, step: impl FnOnce(&mut GroupState) -> T) -> T {
        step(&mut lock(&self.state))
    }

    /// The time now, on the owner's clock.
    pub fn now(&self) -> Timestamp {
        self.origin + self.started.elapsed()
    }

    /// The group as the configuration in force has it.
    pub fn view(&self) -> Arc<GroupView> {
        Arc::clone(&self.view.borrow())
    }

    /// The same, to be followed.
    pub fn follow_view(&self) -> watch::Receiver<Arc<GroupView>> {
        self.view.subscribe()
    }

    /// Changes with what is known of the members.
    pub fn follow_knowledge(&self) -> watch::Receiver<u64> {
        self.knowledge.subscribe()
    }

    /// Wakes what waits for more to be known of the members.
    pub fn knowledge_changed(&self) {
        self.knowledge.send_modify(|count| *count += 1);
    }

    /// The label of the group's metrics.
    pub fn label(&self) -> GroupLabel {
        GroupLabel { group: self.name.to_string() }
    }

    /// Puts a later view in force.
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
            state.take_unusable(view, old_primary)
        });
        drop(closed);
        self.view.send_replace(Arc::clone(view));
        self.warm.notify_one();
        self.knowledge_changed();
        self.grant_slots();
    }

    /// Whether a write could be sent now.
    pub fn primary_available(&self, state: &GroupState) -> bool {
        let view = self.view.borrow();
        let usable = |primary: &MemberName| !is_draining(&view, primary);
        !state.primary_suspect && view.primary.as_ref().is_some_and(usable)
    }

    /// The primary to send work to, with its term.
    pub fn available_primary(&self) -> Option<(MemberName, Term)> {
        let available = self.with_state(|state| self.primary_available(state));
        let view = self.view();
        view.primary.clone().filter(|_| available).map(|primary| (primary, view.term))
    }

    /// Records that the primary failed or refused, so that no more work is sent
    /// to it before a probe finds it well.
    pub fn suspect_primary(&self, member: &MemberName, term: Term) {
        let view = self.view();
        if view.primary.as_ref() == Some(member) && view.term == term {
            self.with_state(|state| state.primary_suspect = true);
        }
    }

    /// Records a position that a member reported with an answer.
    pub fn learn_position(&self, member: &MemberName, position: Position) {
        if self.with_state(|state| state.routing.merge_position(member, position)) {
            self.knowledge_changed();
        }
    }

    /// How long the outcome of an idempotency key is kept, in milliseconds.
    pub fn outcome_retention_ms(&self) -> u64 {
        u64::try_from(self.settings.outcome_retention.as_millis()).unwrap_or(u64::MAX)
    }
}

fn limits(view: &GroupView) -> AdmissionLimits {
    AdmissionLimits { slots: view.spec.slots, queue_limit: view.spec.queue_limit }
}
