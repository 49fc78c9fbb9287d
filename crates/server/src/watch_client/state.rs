//! Decisions of the proxy's watch of control, as a state machine without I/O.
//!
//! The shell feeds [`Event`]s with the time and performs the [`Action`]s in order. The
//! machine keeps the configuration in anything that is [`InForce`]: a proxy keeps the whole
//! [`View`].

pub use super::in_force::{InForce, RevisionOnly};
use corktack_core::consensus::CellConfig;
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use corktack_core::time::Timestamp;
use corktack_core::view::{Revision, View, ViewError};
use corktack_protocol::control::{ControlMessage, MemberHealth, Observation, ProxyMessage};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest time between two heartbeats that observations cause.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
/// How often the time for a connection is doubled after failures.
const CONNECT_LIMIT_DOUBLINGS: u32 = 2;

/// Replicas that are tried at the same time for one connection. As many as the users' deployments may
/// lose at once, and one more.
const REPLICAS_TRIED: usize = 3;
/// Replicas that are remembered.
const REPLICA_LIMIT: usize = 16;

/// Settings of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Address of its owner interface, for other proxies.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The control replicas; tried in an order shuffled by `seed`.
    pub replicas: Vec<SocketAddr>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a proof that the replica is current before another one is taken.
    pub silence_timeout: Duration,
    /// Shortest wait before another replica is tried; doubles with each failure.
    pub retry_minimum: Duration,
    /// Longest wait before another replica is tried.
    pub retry_maximum: Duration,
    /// Whether the replicas that control names take the place of those configured: so it is where
    /// all of them serve proxies at one port.
    pub follows_cell: bool,
    /// Seed of the order of replicas and of the jitter.
    pub seed: u64,
}

/// What happens to the watch.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The connection asked for is open.
    Connected,
    /// The connection could not be opened, or was lost.
    Disconnected,
    /// A message came in on the open connection.
    Message(ControlMessage),
    /// The owner saw changes at back ends.
    Observed(Vec<Observation>),
    /// The proxy has something to say of tenants' limits.
    Allowances(AllowanceReport),
    /// The proxy is stopping.
    Draining,
    /// The configuration of this revision is on disk.
    Synced(Revision),
}

/// What the shell must do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to the first of these that accepts one; the one before is closed.
    Connect(Vec<SocketAddr>),
    /// Close the connection.
    Disconnect,
    /// Send on the open connection.
    Send(ProxyMessage),
    /// The configuration in force rose: publish it and put it on disk.
    Publish,
    /// The replica proved that it is current, so the configuration in force is too.
    Current,
    /// Tell the proxy in which term a leader has been elected.
    Led(Term),
    /// Tell the proxy what the leader gives of tenants' limits.
    Granted(AllowanceGrant),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits until the time to try the next replica.
    Waiting(Timestamp),
    /// A connection was asked for.
    Connecting,
    /// A connection is open.
    Connected,
}

/// The state machine.
#[derive(Debug)]
pub struct WatchState<C = View> {
    settings: WatchSettings,
    in_force: C,
    synced: Revision,
    phase: Phase,
    next_replica: usize,
    failures: u32,
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
    /// Whether a change did not fit the configuration in force: it is asked for whole.
    wants_whole: bool,
    observed: BTreeMap<(GroupName, MemberName), Seen>,
    unsent: bool,
    rng: ChaCha8Rng,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    health: MemberHealth,
    sent: bool,
}

impl<C: InForce> WatchState<C> {
    /// A watch that goes on from `in_force`, which is on disk or empty. The first
    /// [`Event::Tick`] makes it connect.
    #[must_use]
    pub fn new(mut settings: WatchSettings, in_force: C, now: Timestamp) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        settings.replicas.shuffle(&mut rng);
        Self {
            synced: in_force.revision(),
            settings,
            in_force,
            phase: Phase::Waiting(now),
            next_replica: 0,
            failures: 0,
            sequence: 0,
            first_sequence: 0,
            last_heartbeat: now,
            last_proof: now,
            unacknowledged: BTreeMap::new(),
            proved_at: None,
            draining: false,
            wants_whole: false,
            observed: BTreeMap::new(),
            unsent: false,
            rng,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn in_force(&self) -> &C {
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
            Event::Observed(observations) => self.observe(observations),
            // What is lost with a connection is said anew on the next one.
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
        if self.unsent {
            return OBSERVATION_INTERVAL.min(self.settings.heartbeat_interval);
        }
        self.settings.heartbeat_interval
    }

    fn connect(&mut self, now: Timestamp) -> Action {
        let mut replicas = self.settings.replicas.clone();
        let first = self.next_replica % replicas.len();
        replicas.rotate_left(first);
        replicas.truncate(REPLICAS_TRIED);
        self.next_replica += 1;
        self.phase = Phase::Connecting;
        self.last_proof = now;
        Action::Connect(replicas)
    }

    /// Longest wait for a connection: `first` at the first attempt, and twice and four times that
    /// after failures. Where a replica is dark another is there sooner, and far ones get their time.
    #[must_use]
    pub fn connect_limit(&self, first: Duration) -> Duration {
        first * (1 << self.failures.min(CONNECT_LIMIT_DOUBLINGS))
    }

    fn connected(&mut self, now: Timestamp) -> Vec<Action> {
        if self.phase != Phase::Connecting {
            return Vec::new();
        }
        self.phase = Phase::Connected;
        self.last_proof = now;
        self.first_sequence = self.sequence + 1;
        self.unacknowledged.clear();
        self.observed.values_mut().for_each(|seen| seen.sent = false);
        let hello = Action::Send(self.hello());
        vec![hello, self.heartbeat(now)]
    }

    fn hello(&self) -> ProxyMessage {
        let in_force = self.in_force.revision();
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
            revision: self.synced.min(self.in_force.revision()),
            draining: self.draining,
            observations: self.take_unsent(),
        };
        Action::Send(message)
    }

    fn take_unsent(&mut self) -> Vec<Observation> {
        self.unsent = false;
        let mut observations = Vec::new();
        for ((group, member), seen) in &mut self.observed {
            if !seen.sent {
                seen.sent = true;
                let (group, member) = (group.clone(), member.clone());
                observations.push(Observation { group, member, health: seen.health });
            }
        }
        observations
    }

    fn observe(&mut self, observations: Vec<Observation>) {
        for Observation { group, member, health } in observations {
            self.observed.insert((group, member), Seen { health, sent: false });
            self.unsent = true;
        }
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
                self.follow_cell(&cell);
                Vec::new()
            }
            ControlMessage::HeartbeatAck { sequence, current } => {
                self.acknowledged(now, sequence, current)
            }
            ControlMessage::Led { term } => vec![Action::Led(term)],
            ControlMessage::Allowances(grant) => vec![Action::Granted(grant)],
        }
    }

    /// Later connections go to the replicas that there are now, at the port of those configured.
    fn follow_cell(&mut self, cell: &CellConfig) {
        let Some(port) = self.settings.replicas.first().map(SocketAddr::port) else { return };
        let addresses = cell.voters.iter().map(|voter| SocketAddr::new(voter.address.ip(), port));
        let mut replicas: Vec<SocketAddr> = addresses.collect();
        if !self.settings.follows_cell || replicas.is_empty() {
            return;
        }
        // While the cell stays the same so does the order: what was tried in vain is not tried
        // again before the others.
        let known = &self.settings.replicas[..replicas.len().min(self.settings.replicas.len())];
        if known.len() == replicas.len() && replicas.iter().all(|it| known.contains(it)) {
            return;
        }
        replicas.shuffle(&mut self.rng);
        // Those known before stay behind them, for the day when all the others are gone.
        let former = std::mem::take(&mut self.settings.replicas);
        replicas.extend(former.into_iter().filter(|it| !cell_has(cell, *it)));
        replicas.truncate(REPLICA_LIMIT);
        self.settings.replicas = replicas;
    }

    /// What is not newer is dropped: configuration never reverts. Where a change is for another
    /// configuration than the one in force, the whole is asked for on a new connection.
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
        self.observed.retain(|(group, _), _| in_force.has_group(group));
        vec![Action::Publish]
    }

    /// Only an answer to a heartbeat of this connection proves anything about its replica.
    fn acknowledged(&mut self, now: Timestamp, sequence: u64, current: bool) -> Vec<Action> {
        let of_this_connection = (self.first_sequence..=self.sequence).contains(&sequence);
        if !current || !of_this_connection {
            return Vec::new();
        }
        self.failures = 0;
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

    /// Waits a random time between half and all of the doubled minimum.
    fn wait(&mut self, now: Timestamp) {
        let doubled = self.settings.retry_minimum.saturating_mul(1 << self.failures.min(16));
        let longest = doubled.min(self.settings.retry_maximum);
        let wait = longest.mul_f64(self.rng.random_range(0.5..=1.0));
        self.failures += 1;
        self.phase = Phase::Waiting(now + wait);
    }
}

fn cell_has(cell: &CellConfig, replica: SocketAddr) -> bool {
    cell.voters.iter().any(|voter| voter.address.ip() == replica.ip())
}
