//! Decisions of the proxy's watch of control, as a state machine without I/O.
//!
//! The shell feeds [`Event`]s with the time and performs the [`Action`]s in order.
//!
//! Owns the phase of the connection, the configuration, and what is unacknowledged and unsent. Which replica
//! is tried next is decided in `replicas`; that one is left in [`WatchState::handle`], when nothing has proved
//! for the silence timeout that it is current, and when a change doesn't fit the configuration in force.

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

/// Shortest time between two heartbeats that observations cause. Chosen, not measured; a lower value sends more
/// heartbeats in a burst, a higher one adds to the time until control knows of a fault.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits until the time to try the next replica.
    Waiting(Timestamp),
    /// A connection was requested.
    Connecting,
    /// A connection is open.
    Connected,
}

/// The state machine.
#[derive(Debug)]
pub struct WatchState {
    settings: WatchSettings,
    in_force: View,
    synced: Revision,
    phase: Phase,
    replicas: Replicas,
    sequence: u64,
    /// Sequence of the first heartbeat on the open connection.
    first_sequence: u64,
    last_heartbeat: Timestamp,
    last_proof: Timestamp,
    /// When the heartbeats that are not acknowledged yet were sent, by sequence.
    unacknowledged: BTreeMap<u64, Timestamp>,
    /// When the newest heartbeat that proved something was sent.
    proved_at: Option<Timestamp>,
    draining: bool,
    /// Whether a change did not fit the configuration in force: the whole is requested.
    wants_whole: bool,
    observations: Observations,
}

impl WatchState {
    /// A watch that goes on from `in_force`, which is on disk or empty. The first
    /// [`Event::Tick`] makes it connect.
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
            last_proof: now,
            unacknowledged: BTreeMap::new(),
            proved_at: None,
            draining: false,
            wants_whole: false,
            observations: Observations::default(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn in_force(&self) -> &View {
        &self.in_force
    }

    /// When the newest heartbeat was sent by whose answer the configuration was current.
    #[must_use]
    pub const fn proved_at(&self) -> Option<Timestamp> {
        self.proved_at
    }

    /// When the next [`Event::Tick`] is due.
    #[must_use]
    pub fn deadline(&self) -> Timestamp {
        match self.phase {
            Phase::Waiting(until) => until,
            Phase::Connecting => self.last_proof + self.settings.silence_timeout,
            Phase::Connected => {
                let silence = self.last_proof + self.settings.silence_timeout;
                silence.min(self.last_heartbeat + self.heartbeat_gap())
            }
        }
    }

    /// Takes one event; the actions are to be performed in order.
    #[must_use]
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Connected => return self.connected(now),
            Event::Disconnected => return self.lost(now),
            Event::Message(message) => return self.receive(now, message),
            Event::Observed(observations) => self.observations.take(observations),
            // What is lost with a connection is reported anew on the next one.
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
            _ if now >= self.last_proof + self.settings.silence_timeout => self.change_replica(now),
            Phase::Connected if now >= self.last_heartbeat + self.heartbeat_gap() => {
                vec![self.heartbeat(now)]
            }
            _ => Vec::new(),
        }
    }

    /// Time between the last heartbeat and the next; short while observations wait.
    fn heartbeat_gap(&self) -> Duration {
        if self.observations.wait() {
            return OBSERVATION_INTERVAL.min(self.settings.heartbeat_interval);
        }
        self.settings.heartbeat_interval
    }

    fn connect(&mut self, now: Timestamp) -> Action {
        let replicas = self.replicas.take_next();
        self.phase = Phase::Connecting;
        self.last_proof = now;
        Action::Connect(replicas)
    }

    /// Longest wait for a connection: `first` at the first attempt, and twice and four times that
    /// after failures. Where a replica is dark another is there sooner, and far ones get their time.
    #[must_use]
    pub fn connect_limit(&self, first: Duration) -> Duration {
        self.replicas.connect_limit(first)
    }

    fn connected(&mut self, now: Timestamp) -> Vec<Action> {
        if self.phase != Phase::Connecting {
            return Vec::new();
        }
        self.phase = Phase::Connected;
        self.last_proof = now;
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
            revision: if self.wants_whole { Revision::default() } else { in_force },
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

    fn receive(&mut self, now: Timestamp, message: ControlMessage) -> Vec<Action> {
        if self.phase != Phase::Connected {
            return Vec::new();
        }
        match message {
            ControlMessage::Snapshot(view) => {
                let taken = self.in_force.replace(*view);
                self.wants_whole &= taken.is_err();
                self.take(now, taken)
            }
            ControlMessage::Delta(delta) => {
                let taken = self.in_force.apply(delta);
                self.take(now, taken)
            }
            ControlMessage::Cell(cell) => {
                self.replicas.follow_cell(&cell);
                Vec::new()
            }
            ControlMessage::HeartbeatAck { sequence, current } => {
                self.acknowledged(now, sequence, current)
            }
            ControlMessage::Led { term } => vec![Action::Led(term)],
            ControlMessage::Allowances(grant) => vec![Action::Granted(grant)],
        }
    }

    /// What is not newer is dropped: configuration never reverts. Where a change is for another
    /// configuration than the one in force, the whole is requested on a new connection.
    fn take(&mut self, now: Timestamp, taken: Result<(), ViewError>) -> Vec<Action> {
        match taken {
            Ok(()) => (),
            Err(ViewError::NotNewer { .. }) => return Vec::new(),
            Err(ViewError::Document(error)) => {
                log::warn!(error:% = error; "the configuration is asked for whole");
                self.wants_whole = true;
                return self.change_replica(now);
            }
        }
        let in_force = &self.in_force;
        self.observations.retain_groups(|group| is_served(in_force, group));
        vec![Action::Publish]
    }

    /// Only an answer to a heartbeat of this connection proves anything about its replica.
    fn acknowledged(&mut self, now: Timestamp, sequence: u64, current: bool) -> Vec<Action> {
        let of_this_connection = (self.first_sequence..=self.sequence).contains(&sequence);
        if !current || !of_this_connection {
            return Vec::new();
        }
        self.replicas.note_proof();
        self.last_proof = now;
        let sent = self.unacknowledged.remove(&sequence);
        self.unacknowledged.retain(|other, _| *other > sequence);
        self.proved_at = self.proved_at.max(sent);
        vec![Action::Current]
    }

    fn change_replica(&mut self, now: Timestamp) -> Vec<Action> {
        self.wait(now);
        vec![Action::Disconnect]
    }

    fn lost(&mut self, now: Timestamp) -> Vec<Action> {
        if !matches!(self.phase, Phase::Waiting(_)) {
            self.wait(now);
        }
        Vec::new()
    }

    fn wait(&mut self, now: Timestamp) {
        self.phase = Phase::Waiting(now + self.replicas.pause_after_failure());
    }
}

/// Whether the configuration has the group: declared by operators, or by the document.
fn is_served(view: &View, group: &GroupName) -> bool {
    let in_document = view.document.as_ref().and_then(|document| document.service(group));
    view.groups.contains_key(group) || in_document.is_some()
}
