//! The state machine of the proxy's watch of control; it does no I/O.
//!
//! The watch's task passes [`Event`]s with the time and performs the returned [`Action`]s in order. The
//! state machine owns the phase of the connection, the configuration in force, the unacknowledged
//! heartbeats and the unsent observations. `replicas` decides which replica is tried next.
//! [`WatchState::handle`] leaves a replica that has not confirmed for the silence timeout that it is
//! current, or whose change doesn't fit the configuration in force.

mod messages;
mod observations;
mod replicas;

pub use messages::{Action, Event, WatchSettings};

use corktack_core::identity::GroupName;
use corktack_core::time::Timestamp;
use corktack_core::view::{Revision, View, ViewError};
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use observations::Observations;
use replicas::Replicas;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time between two heartbeats while observations wait. A lower value sends more heartbeats in a
/// burst, a higher one adds to the time until control learns of a fault.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No connection; the next replicas are tried at this time.
    Waiting(Timestamp),
    /// A connection was requested.
    Connecting,
    /// A connection is open.
    Connected,
}

/// The watch's state machine.
#[derive(Debug)]
pub struct WatchState {
    settings: WatchSettings,
    in_force: View,
    synced: Revision,
    phase: Phase,
    replicas: Replicas,
    sequence: u64,
    /// Sequence number of the first heartbeat on the open connection.
    first_sequence: u64,
    last_heartbeat: Timestamp,
    last_confirmation: Timestamp,
    /// Send times of the heartbeats that are not acknowledged yet, by sequence number.
    unacknowledged: BTreeMap<u64, Timestamp>,
    /// Send time of the newest heartbeat whose answer confirmed that the configuration was current.
    confirmed_at: Option<Timestamp>,
    draining: bool,
    /// Whether a change did not fit the configuration in force: the next hello then requests a snapshot.
    needs_snapshot: bool,
    observations: Observations,
}

impl WatchState {
    /// Returns a watch that starts from `in_force`, which is on disk or empty. The first [`Event::Tick`]
    /// makes the watch connect.
    #[must_use]
    pub fn new(settings: WatchSettings, in_force: View, now: Timestamp) -> Self {
        Self {
            synced: in_force.revision,
            replicas: Replicas::new(&settings),
            settings,
            in_force,
            phase: Phase::Waiting(now),
            sequence: 0,
            first_sequence: 0,
            last_heartbeat: now,
            last_confirmation: now,
            unacknowledged: BTreeMap::new(),
            confirmed_at: None,
            draining: false,
            needs_snapshot: false,
            observations: Observations::default(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn in_force(&self) -> &View {
        &self.in_force
    }

    /// Returns the send time of the newest heartbeat whose answer confirmed that the configuration was
    /// current.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Timestamp {
        match self.phase {
            Phase::Waiting(until) => until,
            Phase::Connecting => self.last_confirmation + self.settings.silence_timeout,
            Phase::Connected => {
                let silence_deadline = self.last_confirmation + self.settings.silence_timeout;
                silence_deadline.min(self.last_heartbeat + self.next_heartbeat_interval())
            }
        }
    }

    /// Handles one event and returns the actions to perform, in order.
    #[must_use]
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Connected => return self.handle_connected(now),
            Event::Disconnected => return self.handle_disconnected(now),
            Event::Message(message) => return self.handle_message(now, message),
            Event::Observed(observations) => self.observations.record(observations),
            // A report that is lost with its connection is not kept: the proxy sends a new one on the next
            // connection.
            Event::Allowances(report) if self.phase == Phase::Connected => {
                return vec![Action::Send(ProxyMessage::Allowances(report))];
            }
            Event::Allowances(_) => return Vec::new(),
            Event::Draining => return self.drain(now),
            Event::Synced(revision) => self.synced = self.synced.max(revision),
        }
        self.tick(now)
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(until) if now >= until => vec![self.connect(now)],
            Phase::Waiting(_) => Vec::new(),
            _ if now >= self.last_confirmation + self.settings.silence_timeout => {
                self.leave_replica(now)
            }
            Phase::Connected if now >= self.last_heartbeat + self.next_heartbeat_interval() => {
                vec![self.heartbeat(now)]
            }
            _ => Vec::new(),
        }
    }

    /// Returns the time between the last heartbeat and the next; shorter while observations wait.
    fn next_heartbeat_interval(&self) -> Duration {
        if self.observations.has_unsent() {
            return OBSERVATION_INTERVAL.min(self.settings.heartbeat_interval);
        }
        self.settings.heartbeat_interval
    }

    fn connect(&mut self, now: Timestamp) -> Action {
        let replicas = self.replicas.next_replicas();
        self.phase = Phase::Connecting;
        self.last_confirmation = now;
        Action::Connect(replicas)
    }

    /// Returns the connect timeout: `initial` at first, doubled after the first failure and doubled again
    /// after the second. The short first timeout leaves an unreachable replica soon, the longer ones
    /// suffice for distant replicas.
    #[must_use]
    pub fn connect_timeout(&self, initial: Duration) -> Duration {
        self.replicas.connect_timeout(initial)
    }

    fn handle_connected(&mut self, now: Timestamp) -> Vec<Action> {
        if self.phase != Phase::Connecting {
            return Vec::new();
        }
        self.phase = Phase::Connected;
        self.last_confirmation = now;
        self.first_sequence = self.sequence + 1;
        self.unacknowledged.clear();
        self.observations.resend_all();
        let hello = Action::Send(self.hello());
        vec![hello, self.heartbeat(now)]
    }

    fn hello(&self) -> ProxyMessage {
        let in_force = self.in_force.revision;
        ProxyMessage::Hello {
            proxy: self.settings.proxy.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address,
            zone: self.settings.zone.clone(),
            revision: if self.needs_snapshot { Revision::default() } else { in_force },
        }
    }

    fn heartbeat(&mut self, now: Timestamp) -> Action {
        self.last_heartbeat = now;
        self.sequence += 1;
        self.unacknowledged.insert(self.sequence, now);
        let message = ProxyMessage::Heartbeat {
            sequence: self.sequence,
            revision: self.synced.min(self.in_force.revision),
            draining: self.draining,
            observations: self.observations.take_unsent(),
        };
        Action::Send(message)
    }

    fn drain(&mut self, now: Timestamp) -> Vec<Action> {
        self.draining = true;
        if self.phase != Phase::Connected {
            return Vec::new();
        }
        vec![self.heartbeat(now)]
    }

    fn handle_message(&mut self, now: Timestamp, message: ControlMessage) -> Vec<Action> {
        if self.phase != Phase::Connected {
            return Vec::new();
        }
        match message {
            ControlMessage::Snapshot(view) => {
                let result = self.in_force.replace(*view);
                self.needs_snapshot &= result.is_err();
                self.finish_update(now, result)
            }
            ControlMessage::Delta(delta) => {
                let result = self.in_force.apply(delta);
                self.finish_update(now, result)
            }
            ControlMessage::Cell(cell) => {
                self.replicas.apply_cell(&cell);
                Vec::new()
            }
            ControlMessage::HeartbeatAck { sequence, current } => {
                self.handle_acknowledgement(now, sequence, current)
            }
            ControlMessage::LeaderElected { term } => vec![Action::LeaderElected(term)],
            ControlMessage::Allowances(grant) => vec![Action::ForwardGrant(grant)],
        }
    }

    /// Completes an update of the configuration. An update that is not newer was ignored, since the
    /// configuration never reverts. When a change applies to another document than the one in force, the
    /// watch reconnects and requests a snapshot.
    fn finish_update(&mut self, now: Timestamp, result: Result<(), ViewError>) -> Vec<Action> {
        match result {
            Ok(()) => (),
            Err(ViewError::NotNewer { .. }) => return Vec::new(),
            Err(ViewError::Document(error)) => {
                log::warn!(error:% = error; "configuration change does not fit: a snapshot is requested");
                self.needs_snapshot = true;
                return self.leave_replica(now);
            }
        }
        let in_force = &self.in_force;
        self.observations.retain_groups(|group| has_group(in_force, group));
        vec![Action::Publish]
    }

    /// Handles the answer to a heartbeat. Only answers to heartbeats of this connection say anything about
    /// its replica.
    fn handle_acknowledgement(
        &mut self,
        now: Timestamp,
        sequence: u64,
        current: bool,
    ) -> Vec<Action> {
        let of_this_connection = (self.first_sequence..=self.sequence).contains(&sequence);
        if !current || !of_this_connection {
            return Vec::new();
        }
        self.replicas.record_confirmation();
        self.last_confirmation = now;
        let sent = self.unacknowledged.remove(&sequence);
        self.unacknowledged.retain(|unacknowledged, _| *unacknowledged > sequence);
        self.confirmed_at = self.confirmed_at.max(sent);
        vec![Action::ConfirmedCurrent]
    }

    fn leave_replica(&mut self, now: Timestamp) -> Vec<Action> {
        self.schedule_retry(now);
        vec![Action::Disconnect]
    }

    fn handle_disconnected(&mut self, now: Timestamp) -> Vec<Action> {
        if !matches!(self.phase, Phase::Waiting(_)) {
            self.schedule_retry(now);
        }
        Vec::new()
    }

    fn schedule_retry(&mut self, now: Timestamp) {
        self.phase = Phase::Waiting(now + self.replicas.record_failure());
    }
}

/// Reports whether the configuration has the group, either declared by operators or as a service of the
/// document.
fn has_group(view: &View, group: &GroupName) -> bool {
    let in_document = view.document.as_ref().and_then(|document| document.service(group));
    view.groups.contains_key(group) || in_document.is_some()
}
