//! The virtual clock, the queue and the participants of one run.
//!
//! Owns the time, the queue of what is due, the one generator and everyone who takes part; hands each event
//! to one participant and takes the packets and notes that it leaves. Nothing else draws or sends.

mod inject;

use super::client::{CLIENTS, Client};
use super::control::{DELTA_LIMITS, MACHINES, Machine};
use super::event::{Address, Context, Packet};
use super::faults::{Round, draw, everyone};
use super::history::History;
use super::member::{MEMBERS, Member};
use super::names::member_name;
use super::network::Network;
use super::operator::{OPERATORS, Operator};
use super::proxy::{PROXIES, Proxy};
use super::trace::Trace;
use super::{Report, Variant, Violation};
use corktack_core::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Between two ticks of a participant, in microseconds.
const TICK: u64 = 10_000;
/// Between two looks for control machines to start.
const RESTART_INTERVAL: u64 = 200_000;
/// Work between the return to health and the end.
const WORK: u64 = 1_500_000;
/// Longest time to get healthy after the last fault; a group that failed over many
/// times waits up to a minute for the next time.
const PATIENCE: u64 = 180_000_000;
/// Longest time from the end of the last fault until all machines are members of the cell and it has all its
/// voters: the time that users allow for service to recover.
const CELL_PATIENCE: u64 = 12_000_000;
/// Slowest and fastest clock, in thousandths.
const CLOCK_RATES: std::ops::Range<u64> = 850..1_150;

/// Something that is due.
enum Due {
    Tick(Address),
    Packet { from: Address, to: Address, packet: Box<Packet> },
    Fault(usize, usize),
    EndOfRound(usize),
    Restart,
}

/// The clock of one participant.
#[derive(Clone, Copy, Debug)]
struct Clock {
    origin: u64,
    rate: u64,
}

/// One run.
pub(crate) struct World {
    seed: u64,
    variant: Variant,
    now: u64,
    queue: BTreeMap<(u64, u64), Due>,
    queued: u64,
    events: u64,
    random: ChaCha8Rng,
    clocks: BTreeMap<Address, Clock>,
    frozen: BTreeMap<Address, u64>,
    network: Network,
    rounds: Vec<Round>,
    pub machines: Vec<Machine>,
    pub proxies: Vec<Proxy>,
    pub members: Vec<Member>,
    pub clients: Vec<Client>,
    pub operators: Vec<Operator>,
    pub history: History,
    trace: Trace,
    faults: Vec<String>,
}

impl World {
    pub fn new(seed: u64, variant: Variant, keep_lines: bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let rounds = draw(&mut random);
        // One seed of six keeps the whole history of the view.
        let delta_limit = DELTA_LIMITS[usize::from(seed % 6 == 5)];
        let clock = |random: &mut ChaCha8Rng| Clock {
            origin: random.random_range(0..1_000_000_000),
            rate: random.random_range(CLOCK_RATES),
        };
        let clocks = everyone().into_iter().map(|one| (one, clock(&mut random))).collect();
        Self {
            seed,
            variant,
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            events: 0,
            random,
            clocks,
            frozen: BTreeMap::new(),
            network: Network::new(),
            rounds,
            machines: (0..MACHINES).map(|one| Machine::new(one, delta_limit)).collect(),
            proxies: (0..PROXIES).map(Proxy::new).collect(),
            members: (0..MEMBERS).map(|one| Member::new(one, member_name(one))).collect(),
            clients: (0..CLIENTS).map(Client::new).collect(),
            operators: (0..OPERATORS).map(Operator::new).collect(),
            history: History::default(),
            trace: Trace::new(keep_lines),
            faults: Vec::new(),
        }
    }

    /// Runs to the end or to the first violation.
    pub fn run(mut self) -> Report {
        self.begin();
        let last = self.rounds.last().map_or(0, |round| round.end);
        self.run_until(last + TICK);
        self.run_while(Self::is_restored, CELL_PATIENCE);
        self.run_while(Self::is_healthy, PATIENCE);
        self.run_until(self.now + WORK);
        self.run_while(Self::is_healthy, PATIENCE);
        self.clients.iter_mut().for_each(|client| client.stopped = true);
        self.operators.iter_mut().for_each(|operator| operator.stopped = true);
        self.run_while(Self::is_settled, PATIENCE);
        if self.history.violations.is_empty() {
            self.check_end();
        }
        let (hash, lines) = self.trace.finish();
        Report {
            seed: self.seed,
            hash,
            events: self.events,
            length: self.now,
            counts: self.history.counts,
            faults: self.faults,
            violations: self.history.violations,
            lines,
        }
    }

    fn begin(&mut self) {
        for one in everyone() {
            let at = self.random.random_range(0..TICK);
            self.push(at, Due::Tick(one));
        }
        self.start_machines();
        for round in 0..self.rounds.len() {
            for fault in 0..self.rounds[round].faults.len() {
                self.push(self.rounds[round].faults[fault].0, Due::Fault(round, fault));
            }
            self.push(self.rounds[round].end, Due::EndOfRound(round));
        }
        self.push(RESTART_INTERVAL, Due::Restart);
    }

    fn push(&mut self, at: u64, due: Due) {
        self.queued += 1;
        self.queue.insert((at, self.queued), due);
    }

    fn run_until(&mut self, end: u64) {
        while self.history.violations.is_empty() && self.step(end) {}
    }

    /// Runs until a condition holds; it has to within `patience`.
    fn run_while(&mut self, condition: fn(&Self) -> Result<(), &'static str>, patience: u64) {
        let end = self.now + patience;
        while self.history.violations.is_empty() {
            let Err(reason) = condition(self) else { return };
            if self.now >= end {
                self.history.violations.push(Violation::NotHealthy(reason));
                return;
            }
            self.run_until(self.now + TICK);
        }
    }

    /// Handles what is due next; false when nothing is until `end`.
    fn step(&mut self, end: u64) -> bool {
        let Some(next) = self.queue.first_entry().filter(|next| next.key().0 <= end) else {
            self.now = end;
            return false;
        };
        let ((at, _), due) = next.remove_entry();
        self.now = at;
        match due {
            Due::Tick(one) => self.tick(one),
            Due::Packet { from, to, packet } => self.deliver(from, to, packet),
            Due::Fault(round, fault) => self.inject(round, fault),
            Due::EndOfRound(round) => self.end_round(round),
            Due::Restart => self.restart_machines(),
        }
        true
    }

    fn frozen_until(&self, one: Address) -> Option<u64> {
        self.frozen.get(&one).copied().filter(|until| *until > self.now)
    }

    fn tick(&mut self, one: Address) {
        if let Some(until) = self.frozen_until(one) {
            self.push(until, Due::Tick(one));
            return;
        }
        self.push(self.now + TICK, Due::Tick(one));
        self.act(one, None);
    }

    fn deliver(&mut self, from: Address, to: Address, packet: Box<Packet>) {
        if self.network.is_blocked(from, to) {
            return;
        }
        if let Some(until) = self.frozen_until(to) {
            self.push(until, Due::Packet { from, to, packet });
            return;
        }
        self.trace.push(format_args!("{} {from:?} {to:?} {packet:?}", self.now));
        self.act(to, Some((from, *packet)));
    }

    fn local_time(&self, one: Address) -> Timestamp {
        let clock = self.clocks.get(&one).copied().unwrap_or(Clock { origin: 0, rate: 1_000 });
        Timestamp::from_micros(clock.origin + self.now * clock.rate / 1_000)
    }

    /// Lets a participant handle a packet, or the passing of time.
    fn act(&mut self, one: Address, packet: Option<(Address, Packet)>) {
        self.events += 1;
        self.with(one, |world, context| match (one, packet) {
            (Address::Control(index), packet) => {
                let Some(machine) = world.machines.get_mut(usize::from(index)) else { return };
                match packet {
                    Some((from, packet)) => machine.handle(context, from, packet),
                    None => machine.tick(context),
                }
            }
            (Address::Proxy(index), Some((from, packet))) => {
                world.proxies[usize::from(index)].handle(context, from, packet);
            }
            (Address::Proxy(index), None) => world.proxies[usize::from(index)].tick(context),
            (Address::Member(index), Some((from, packet))) => {
                let member = &mut world.members[usize::from(index)];
                if member.running {
                    member.handle(context, from, packet);
                }
            }
            (Address::Member(index), None) => world.members[usize::from(index)].tick(context),
            (Address::Client(index), Some((_, packet))) => {
                world.clients[usize::from(index)].handle(context, packet);
            }
            (Address::Client(index), None) => world.clients[usize::from(index)].tick(context),
            (Address::Operator(index), packet) => {
                let Some(operator) = world.operators.get_mut(usize::from(index)) else { return };
                match packet {
                    Some((_, packet)) => operator.handle(context, packet),
                    None => operator.tick(context),
                }
            }
        });
    }

    /// Runs `work` with what a participant has at hand, then takes its packets and notes.
    fn with(&mut self, one: Address, work: impl FnOnce(&mut Self, &mut Context<'_>)) {
        let mut random = self.random.clone();
        let mut context = Context {
            now: self.local_time(one),
            random: &mut random,
            variant: self.variant,
            sends: Vec::new(),
            notes: Vec::new(),
        };
        work(self, &mut context);
        let Context { sends, notes, .. } = context;
        self.random = random;
        for note in notes {
            self.trace.push(format_args!("{} {one:?} {note:?}", self.now));
            self.history.note(note);
        }
        for (to, packet) in sends {
            self.send(one, to, packet);
        }
    }

    fn send(&mut self, from: Address, to: Address, packet: Packet) {
        for delay in self.network.delays(&mut self.random, &packet) {
            let packet = Box::new(packet.clone());
            self.push(self.now + delay, Due::Packet { from, to, packet });
        }
    }

    fn restart_machines(&mut self) {
        self.push(self.now + RESTART_INTERVAL, Due::Restart);
        if self.rounds.last().is_none_or(|last| self.now > last.end) {
            self.start_machines();
        }
    }
}
