//! Simulated network: replicas, their disks and the links between them, in memory and with a virtual clock.

mod actions;
mod disk;
mod stall;

use crate::oracle::{Oracle, check_log_matching};
use corktack_core::consensus::message::MessageBody;
use corktack_core::consensus::{
    Action, CellChange, CellConfig, CellMember, ConsensusSettings, Event, Message, Rejection,
    Replica, RequestId, Role, Snapshot,
};
use corktack_core::identity::ReplicaId;
use corktack_core::time::Timestamp;
use disk::{Disk, decode_state, encode_state};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stall::Stall;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a network without faults elects a leader and replicates all entries.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Faults of the links and replicas; probabilities from 0 to 1.
#[derive(Clone, Copy)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub longest_delay: Duration,
    /// Probability, for each action of a batch, that the replica crashes before it.
    pub crash: f64,
}

impl Faults {
    pub const NONE: Self =
        Self { loss: 0.0, duplication: 0.0, longest_delay: Duration::from_millis(2), crash: 0.0 };
}

pub struct Node {
    pub replica: Option<Replica>,
    pub disk: Disk,
    /// State machine: every applied command with its index.
    pub state: Vec<(u64, Vec<u8>)>,
    /// Time that each sync of the disk takes.
    pub sync_time: Duration,
    stall: Option<Stall>,
    bootstrap: Option<CellConfig>,
    start_count: u64,
}

/// The last answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Committed(u64),
    Read(u64),
    Rejected(Rejection),
}

pub struct Network {
    pub now: Timestamp,
    pub nodes: BTreeMap<u64, Node>,
    pub faults: Faults,
    pub answers: BTreeMap<RequestId, Answer>,
    pub oracle: Oracle,
    pub rng: ChaCha8Rng,
    /// Number of snapshot chunks delivered so far.
    pub snapshot_chunks: u64,
    /// Setting of the same name for replicas that start from now on.
    pub first_election_timeout: Duration,
    blocked_links: BTreeSet<(u64, u64)>,
    in_flight: BTreeMap<(Timestamp, u64), (u64, u64, Message)>,
    min_read_indexes: BTreeMap<RequestId, u64>,
    next_sequence: u64,
}

pub fn member(id: u64) -> CellMember {
    let port = u16::try_from(7_000 + id).expect("small id");
    CellMember { id: ReplicaId(id), address: ([127, 0, 0, 1], port).into() }
}

pub fn cell_of(voters: impl IntoIterator<Item = u64>) -> CellConfig {
    CellConfig { voters: voters.into_iter().map(member).collect(), learners: Vec::new() }
}

impl Network {
    /// Starts a cell of `voters` replicas with empty disks.
    pub fn start(voters: u64, seed: u64) -> Self {
        Self::with_first_election_timeout(voters, seed, ELECTION_TIMEOUT)
    }

    /// Starts a cell as [`Network::start`] does, but with the given `first_election_timeout`.
    pub fn with_first_election_timeout(
        voters: u64,
        seed: u64,
        first_election_timeout: Duration,
    ) -> Self {
        let mut network = Self {
            now: Timestamp::from_millis(1),
            nodes: BTreeMap::new(),
            faults: Faults::NONE,
            answers: BTreeMap::new(),
            oracle: Oracle::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            snapshot_chunks: 0,
            first_election_timeout,
            blocked_links: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            min_read_indexes: BTreeMap::new(),
            next_sequence: 0,
        };
        for id in 1..=voters {
            network.add(id, Some(cell_of(1..=voters)));
        }
        network
    }

    /// Adds a replica with an empty disk.
    pub fn add(&mut self, id: u64, bootstrap: Option<CellConfig>) {
        let node = Node {
            replica: None,
            disk: Disk::default(),
            state: Vec::new(),
            sync_time: Duration::ZERO,
            stall: None,
            bootstrap,
            start_count: 0,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    /// Stops a replica and keeps its disk.
    pub fn crash(&mut self, id: u64) {
        let node = self.node(id);
        node.replica = None;
        node.stall = None;
    }

    pub fn restart(&mut self, id: u64) {
        let now = self.now;
        let first_election_timeout = self.first_election_timeout;
        let node = self.node(id);
        node.start_count += 1;
        let settings = ConsensusSettings {
            id: ReplicaId(id),
            election_timeout: ELECTION_TIMEOUT,
            first_election_timeout,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            append_bytes_limit: 256,
            snapshot_chunk_bytes: 64,
            seed: node.start_count,
        };
        let replica = Replica::new(settings, node.disk.load(), node.bootstrap.clone(), now);
        node.replica = Some(replica.expect("the disk holds a log of this replica"));
        node.state = node.disk.snapshot.as_ref().map_or_else(Vec::new, decode_state);
    }

    pub fn node(&mut self, id: u64) -> &mut Node {
        self.nodes.get_mut(&id).expect("known replica")
    }

    pub fn replica(&self, id: u64) -> &Replica {
        self.nodes[&id].replica.as_ref().expect("running replica")
    }

    /// Heals the network, then blocks the links between `side` and all other replicas in both directions.
    pub fn isolate(&mut self, side: &[u64]) {
        self.heal();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            for isolated_id in side.iter().filter(|_| !side.contains(&id)) {
                self.blocked_links.insert((*isolated_id, id));
                self.blocked_links.insert((id, *isolated_id));
            }
        }
    }

    /// Blocks one direction of one link.
    pub fn block(&mut self, from: u64, to: u64) {
        self.blocked_links.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub fn running(&self) -> Vec<u64> {
        self.nodes.iter().filter(|(_, node)| node.replica.is_some()).map(|(id, _)| *id).collect()
    }

    /// Returns the running leader of the highest term.
    pub fn leader(&self) -> Option<u64> {
        let is_leader = |id: &u64| self.replica(*id).role() == Role::Leader;
        self.running().into_iter().filter(is_leader).max_by_key(|id| self.replica(*id).term())
    }

    pub fn expect_leader(&mut self) -> u64 {
        self.run_until("leader whose whole log is committed", |network| {
            let leader = network.leader()?;
            let replica = network.replica(leader);
            (replica.commit_index() == replica.last_index()).then_some(leader)
        })
    }

    fn next_request(&mut self) -> RequestId {
        self.next_sequence += 1;
        RequestId(self.next_sequence)
    }

    pub fn propose(&mut self, id: u64, command: &[u8]) -> RequestId {
        let request = self.next_request();
        self.handle(id, Event::Propose { request, command: command.to_vec() });
        request
    }

    pub fn propose_cell(&mut self, id: u64, change: CellChange) -> RequestId {
        let request = self.next_request();
        self.handle(id, Event::ProposeCell { request, change });
        request
    }

    pub fn read(&mut self, id: u64) -> RequestId {
        let request = self.next_request();
        self.min_read_indexes.insert(request, self.oracle.highest_applied());
        self.handle(id, Event::ReadIndex { request });
        request
    }

    /// Proposes a command to the leader and waits until it is committed. Returns its index.
    pub fn commit(&mut self, command: &[u8]) -> u64 {
        let leader = self.expect_leader();
        let request = self.propose(leader, command);
        self.run_until("commit", |network| match network.answers.get(&request)? {
            Answer::Committed(index) => Some(*index),
            other => panic!("the proposal was answered {other:?}"),
        })
    }

    /// Changes the cell: proposes the change up to 50 times, until it is committed.
    pub fn change_cell(&mut self, change: &CellChange) {
        for _ in 0..50 {
            let leader = self.expect_leader();
            let request = self.propose_cell(leader, change.clone());
            self.run_for(HEARTBEAT_INTERVAL * 2);
            if let Some(Answer::Committed(_)) = self.answers.get(&request) {
                return;
            }
        }
        panic!("the cell was not changed");
    }

    /// Takes a snapshot of a replica's state and compacts its log.
    pub fn compact(&mut self, id: u64) {
        let node = self.node(id);
        let Some(replica) = &node.replica else { return };
        let index = replica.applied_index();
        if index <= node.disk.snapshot_index() {
            return;
        }
        let (term, cell) = replica.snapshot_header(index).expect("applied entry");
        let snapshot = Snapshot { index, term, cell, data: encode_state(&node.state) };
        node.disk.entries.retain(|entry, _| *entry > index);
        node.disk.snapshot = Some(snapshot.clone());
        self.handle(id, Event::Compact { snapshot });
    }

    /// Feeds one event to a replica and returns the number of messages that it sends. No action is performed.
    pub fn count_messages_sent(&mut self, id: u64, event: Event<Message>) -> usize {
        let now = self.now;
        let replica = self.node(id).replica.as_mut().expect("running replica");
        let actions = replica.handle(now, event);
        actions.iter().filter(|action| matches!(action, Action::Send { .. })).count()
    }

    /// Delivers the next message or ticks the next replica whose deadline passes, up to `until`. Returns
    /// false when nothing is left to do until then.
    fn step(&mut self, until: Timestamp) -> bool {
        let message_time = self.in_flight.first_key_value().map(|((time, _), _)| *time);
        let timer = self.running().into_iter().map(|id| (self.next_timer(id), id)).min();
        let timer_time = timer.map(|(time, _)| time);
        let Some(next_time) =
            message_time.into_iter().chain(timer_time).min().filter(|time| *time <= until)
        else {
            self.now = until;
            return false;
        };
        self.now = self.now.max(next_time);
        if message_time == Some(next_time) {
            self.deliver();
        } else if let Some((_, id)) = timer {
            self.fire_timer(id);
        }
        true
    }

    fn deliver(&mut self) {
        let Some((_, (from, to, message))) = self.in_flight.pop_first() else { return };
        if self.blocked_links.contains(&(from, to)) || !self.nodes.contains_key(&to) {
            return;
        }
        self.snapshot_chunks += u64::from(matches!(message.body, MessageBody::SnapshotChunk(_)));
        self.handle(to, Event::Message { from: ReplicaId(from), message });
    }

    pub fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.step(until) {}
        self.check_logs();
    }

    /// Runs until `condition` returns a value. Panics after a virtual time of 20 s.
    pub fn run_until<T>(&mut self, description: &str, condition: impl Fn(&Self) -> Option<T>) -> T {
        let until = self.now + SETTLE_TIME * 20;
        loop {
            if let Some(value) = condition(self) {
                return value;
            }
            assert!(self.step(until), "no {description} within {:?}", SETTLE_TIME * 20);
        }
    }

    pub fn check_logs(&self) {
        let logs: Vec<_> = self.nodes.values().map(|node| &node.disk.entries).collect();
        for (position, left) in logs.iter().enumerate() {
            for right in &logs[position + 1..] {
                check_log_matching(left, right);
            }
        }
    }

    /// Waits until all running members of the cell have applied the leader's whole log.
    pub fn expect_convergence(&mut self) {
        let leader = self.expect_leader();
        let target = self.replica(leader).last_index();
        self.run_until("convergence", |network| {
            let members = network.replica(leader).cell().clone();
            let ids = members.voters.iter().chain(&members.learners).map(|member| member.id.0);
            let running = network.running();
            let mut ids = ids.filter(|id| running.contains(id));
            ids.all(|id| network.replica(id).applied_index() >= target).then_some(())
        });
        self.check_logs();
    }
}
