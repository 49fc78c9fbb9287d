//! One owned group: its queue, what is known of its members, its idle connections.

use crate::barrier::BarrierQueue;
use crate::connection::{Login, ServerConnection};
use crate::context::{Context, lock};
use crate::metrics::{GroupLabel, Metrics};
use crate::settings::OwnerSettings;
use crate::slot::Slot;
use corktack_core::admission::{AdmissionLimits, AdmissionQueue, Ticket};
use corktack_core::identity::{ClassName, GroupName, MemberName};
use corktack_core::pool::outcomes::COMMITS_BETWEEN_SWEEPS;
use corktack_core::position::{Position, Term};
use corktack_core::resources::PriorityClassSpec;
use corktack_core::retry::{Backoff, RetryBudget};
use corktack_core::routing::{RoutingTable, is_draining, observer_weight};
use corktack_core::time::Timestamp;
use corktack_core::view::GroupView;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::{Notify, oneshot, watch};

/// `application_name` of connections that serve callers.
const APPLICATION_NAME: &str = "corktack";
/// `application_name` of probes and barriers; it is exempt from slots.
pub(crate) const CONTROL_APPLICATION_NAME: &str = "corktack-control";

/// What the group's lock protects. Never held across an await.
#[derive(Debug)]
pub(crate) struct GroupState {
    pub admission: AdmissionQueue,
    pub routing: RoutingTable,
    pub idle: BTreeMap<MemberName, Vec<PooledConnection>>,
    pub retry: RetryBudget,
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
    /// Counts a keyed commit; true when old outcomes are to be removed.
    pub fn sweep_is_due(&mut self) -> bool {
        let due = self.commits_to_sweep == 0;
        self.commits_to_sweep =
            if due { COMMITS_BETWEEN_SWEEPS } else { self.commits_to_sweep } - 1;
        due
    }
}

/// A server connection that counts towards the group's limit.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub connection: ServerConnection,
    _open: OpenConnection,
}

/// One of the connections that the group's limit allows, open or being opened.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    open: Arc<AtomicU32>,
    room: Arc<Notify>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.room.notify_one();
    }
}

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
    /// Rises when a position or the reachability of a member changes.
    knowledge: watch::Sender<u64>,
    open: Arc<AtomicU32>,
    origin: Timestamp,
    started: Instant,
}

impl Group {
    pub fn new(
        context: &Context,
        name: GroupName,
        view: Arc<GroupView>,
        classes: &BTreeMap<ClassName, PriorityClassSpec>,
    ) -> Self {
        let seed = observer_weight(&name, &context.settings.proxy);
        let state = GroupState {
            admission: AdmissionQueue::new(limits(&view)),
            routing: RoutingTable::default(),
            idle: BTreeMap::new(),
            retry: RetryBudget::default(),
            backoff: Backoff::new(seed),
            primary_suspect: false,
            epoch: 0,
            silent_since: BTreeMap::new(),
            retired: false,
            commits_to_sweep: 0,
            grants: HashMap::new(),
        };
        let group = Self {
            name,
            settings: context.settings.clone(),
            metrics: context.metrics.clone(),
            barriers: BarrierQueue::default(),
            warm: Notify::new(),
            room: Arc::default(),
            state: Mutex::new(state),
            view: watch::Sender::new(Arc::clone(&view)),
            knowledge: watch::Sender::new(0),
            open: Arc::default(),
            origin: context.now(),
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

    pub fn now(&self) -> Timestamp {
        self.origin + self.started.elapsed()
    }

    pub fn view(&self) -> Arc<GroupView> {
        Arc::clone(&self.view.borrow())
    }

    pub fn follow_view(&self) -> watch::Receiver<Arc<GroupView>> {
        self.view.subscribe()
    }

    pub fn follow_knowledge(&self) -> watch::Receiver<u64> {
        self.knowledge.subscribe()
    }

    pub fn knowledge_changed(&self) {
        self.knowledge.send_modify(|count| *count += 1);
    }

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
            take_unusable(&mut state.idle, view, old_primary)
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
        if self.with_state(|state| state.routing.learn_position(member, position)) {
            self.knowledge_changed();
        }
    }

    /// Takes one of the connections that the limit allows, if any is left.
    pub fn reserve_connection(&self) -> Option<OpenConnection> {
        let limit = self.view().spec.connections;
        let one_more = |open| (open < limit).then_some(open + 1);
        self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_more).ok()?;
        Some(OpenConnection { open: Arc::clone(&self.open), room: Arc::clone(&self.room) })
    }

    /// Opens a new server connection.
    pub async fn connect(
        &self,
        member: &MemberName,
        open: OpenConnection,
    ) -> Result<PooledConnection, crate::connection::ConnectionError> {
        let (address, login) = self.login(member, APPLICATION_NAME);
        let address = address.ok_or(crate::connection::ConnectionError::Closed)?;
        let connection = ServerConnection::connect(address, &login).await?;
        Ok(PooledConnection { connection, _open: open })
    }

    /// How long the outcome of an idempotency key is kept, in milliseconds.
    pub fn outcome_retention_ms(&self) -> u64 {
        u64::try_from(self.settings.outcome_retention.as_millis()).unwrap_or(u64::MAX)
    }

    /// Server connections that are open or being opened.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Address of a member, and how to log in there.
    pub fn login(
        &self,
        member: &MemberName,
        application_name: &'static str,
    ) -> (Option<SocketAddr>, Login) {
        let view = self.view();
        let declared = view.spec.members.iter().find(|declared| &declared.name == member);
        let user = self.settings.back_end_user.clone();
        let login = Login { user, database: view.spec.database.clone(), application_name };
        (declared.map(|declared| declared.address), login)
    }
}

fn limits(view: &GroupView) -> AdmissionLimits {
    AdmissionLimits { slots: view.spec.slots, queue_limit: view.spec.queue_limit }
}

/// Takes out idle connections to members that are gone, draining or were primary.
fn take_unusable(
    idle: &mut BTreeMap<MemberName, Vec<PooledConnection>>,
    view: &GroupView,
    old_primary: Option<&MemberName>,
) -> Vec<PooledConnection> {
    let mut taken = Vec::new();
    for (name, connections) in idle.iter_mut() {
        if is_draining(view, name) || old_primary == Some(name) {
            taken.append(connections);
        }
    }
    taken
}
