//! The world of one run, drawn by its seed.

use super::check::{WindowCheck, WindowExceeded};
use super::gateway::{Clock, Gateway};
use super::leader::{Committed, Leader};
use super::variant::LimitsVariant;
use corktack_core::identity::Incarnation;
use corktack_core::limits::{
    AllowanceGrant, AllowanceReport, CeilingChange, GatewayIncarnation, LedgerAnswer, LimitBounds,
};
use corktack_core::position::Term;
use corktack_core::tenancy::TenantRate;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Microseconds.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
/// Length of a run.
const LENGTH: u64 = 90 * SECOND;
/// Time between two steps of the world.
const STEP: u64 = 10 * MILLISECOND;
/// Time between two regular reports of a gateway.
const REPORT_INTERVAL: u64 = 250 * MILLISECOND;
const GATEWAYS: usize = 6;
const WINDOW: Duration = Duration::from_secs(5);
/// Much shorter than in a deployment, so that allowances end in a run.
const ALLOWANCE_LIFE: Duration = Duration::from_secs(8);
/// Longest time that a leader that was replaced goes on.
const LONGEST_DEPOSED: u64 = 9 * SECOND;

/// What happened in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitsCounts {
    /// Operations begun.
    pub begun: u64,
    /// Operations refused.
    pub refused: u64,
    /// Processes that started again.
    pub restarts: u64,
    /// Leaders after the first.
    pub elections: u64,
    /// Messages lost.
    pub lost: u64,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsReport {
    /// The seed.
    pub seed: u64,
    /// The first window that was exceeded.
    pub exceeded: Option<WindowExceeded>,
    /// The fullest window, as a part of its limit.
    pub highest_part: f64,
    /// What happened.
    pub counts: LimitsCounts,
}

impl fmt::Display for LimitsReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, exceeded, highest_part, counts } = self;
        write!(formatter, "seed {seed}: {exceeded:?}, fullest {highest_part:.2}, {counts:?}")
    }
}

enum Message {
    Report(AllowanceReport),
    Grant(AllowanceGrant),
    /// A replica tells a gateway who leads.
    Led {
        gateway: usize,
        incarnation: Incarnation,
        term: Term,
    },
    /// A leader's changes reach a majority, if it still leads.
    Commit {
        term: Term,
        changes: Vec<CeilingChange>,
    },
    /// A gateway's new life is committed.
    Register(GatewayIncarnation),
}

struct World {
    seed: u64,
    variant: LimitsVariant,
    draws: ChaCha8Rng,
    now: u64,
    bounds: LimitBounds,
    committed: Committed,
    gateways: Vec<Gateway>,
    cut_until: Vec<u64>,
    reports_due: Vec<u64>,
    demand: Vec<u64>,
    leaders: Vec<(Leader, u64)>,
    next_term: u64,
    next_incarnation: u64,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    check: WindowCheck,
    counts: LimitsCounts,
}

/// Runs one seed.
#[must_use]
pub fn run(seed: u64, variant: LimitsVariant) -> LimitsReport {
    let mut world = World::new(seed, variant);
    while world.now < LENGTH && world.check.exceeded().is_none() {
        world.step();
    }
    LimitsReport {
        seed,
        exceeded: world.check.exceeded(),
        highest_part: world.check.highest_part(),
        counts: world.counts,
    }
}

impl World {
    fn new(seed: u64, variant: LimitsVariant) -> Self {
        let mut draws = ChaCha8Rng::seed_from_u64(seed);
        let bounds = LimitBounds {
            window: WINDOW,
            overshoot: 0.0,
            slack: draws.random_range(0..20).into(),
            allowance_life: ALLOWANCE_LIFE,
        };
        let rate = draw_rate(&mut draws);
        let committed = Committed { lives: BTreeSet::new(), ceilings: BTreeMap::new(), rate };
        let mut world = Self {
            seed,
            variant,
            draws,
            now: SECOND,
            bounds,
            committed,
            gateways: Vec::new(),
            cut_until: vec![0; GATEWAYS],
            reports_due: vec![0; GATEWAYS],
            demand: vec![0; GATEWAYS],
            leaders: Vec::new(),
            next_term: 1,
            next_incarnation: 1,
            messages: BTreeMap::new(),
            sent: 0,
            check: WindowCheck::new(WINDOW),
            counts: LimitsCounts::default(),
        };
        for number in 0..GATEWAYS {
            let gateway = world.start_gateway(number);
            world.gateways.push(gateway);
            world.draw_demand(number);
        }
        world.elect();
        world
    }

    fn clock(&mut self) -> Clock {
        let rate = self.draws.random_range(995_000..=1_005_000);
        Clock { began_at: self.now - self.draws.random_range(0..SECOND), rate }
    }

    fn start_gateway(&mut self, number: usize) -> Gateway {
        let clock = self.clock();
        let incarnation = Incarnation(self.next_incarnation);
        if self.variant != LimitsVariant::LifeNotNew {
            self.next_incarnation += 1;
        }
        let gateway =
            Gateway::start(self.now, number, incarnation, clock, self.bounds, self.committed.rate);
        let life = GatewayIncarnation { gateway: gateway.name.clone(), incarnation };
        self.send_surely(Message::Register(life));
        gateway
    }

    /// Operations a second that a gateway is asked for; some of them a multiple of the limit.
    fn draw_demand(&mut self, number: usize) {
        let rate = self.committed.rate.per_second;
        let part = match self.draws.random_range(0..10) {
            0..=2 => 0.02,
            3..=5 => 0.2,
            6..=7 => 0.8,
            _ => 3.0,
        };
        self.demand[number] = (rate * part).ceil() as u64;
    }

    fn elect(&mut self) {
        let term = Term(self.next_term);
        self.next_term += 1;
        let deposed_until = self.now + self.draws.random_range(0..LONGEST_DEPOSED);
        for (_, until) in &mut self.leaders {
            *until = (*until).min(deposed_until);
        }
        let clock = self.clock();
        let state = self.committed.clone();
        let leader = Leader::start(self.now, term, clock, self.bounds, state, self.variant);
        self.leaders.push((leader, u64::MAX));
        self.tell_leader();
    }

    /// Replicas tell gateways who leads, some of them late.
    fn tell_leader(&mut self) {
        let Some(term) = self.leaders.last().map(|(leader, _)| leader.term) else { return };
        for gateway in 0..self.gateways.len() {
            let incarnation = self.gateways[gateway].incarnation;
            self.send(Message::Led { gateway, incarnation, term });
        }
    }

    fn send(&mut self, message: Message) {
        if self.draws.random_bool(0.05) {
            self.counts.lost += 1;
            return;
        }
        self.send_surely(message);
    }

    fn send_surely(&mut self, message: Message) {
        let delay = match self.draws.random_range(0..20) {
            0 => self.draws.random_range(SECOND..8 * SECOND),
            1..=3 => self.draws.random_range(100 * MILLISECOND..SECOND),
            _ => self.draws.random_range(MILLISECOND..50 * MILLISECOND),
        };
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            let message = entry.remove();
            self.deliver(message);
        }
        self.disturb();
        let now = self.now;
        self.leaders.retain(|(_, until)| now < *until);
        self.note_limits();
        for number in 0..GATEWAYS {
            self.ask_for_operations(number);
            self.report(number);
        }
        self.offer_again();
        self.lower_ceilings();
    }

    fn note_limits(&mut self) {
        let rates = self.gateways.iter().map(|gateway| gateway.rate);
        let limits: BTreeSet<u64> = rates
            .chain(self.leaders.iter().map(|(leader, _)| leader.state.rate))
            .map(|rate| self.bounds.window_limit(rate))
            .collect();
        self.check.in_force(self.now, &Vec::from_iter(limits));
    }

    fn ask_for_operations(&mut self, number: usize) {
        let asked = self.demand[number] as f64 * STEP as f64 / SECOND as f64;
        let asked = asked.floor() as u64 + u64::from(self.draws.random_bool(asked.fract()));
        for _ in 0..asked {
            if self.gateways[number].try_begin(self.now) {
                self.counts.begun += 1;
                self.check.begin(self.now);
            } else {
                self.counts.refused += 1;
            }
        }
    }

    fn report(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        let is_urgent = gateway.limits.is_urgent(gateway.clock.at(self.now));
        if self.now < self.reports_due[number] && !is_urgent {
            return;
        }
        self.reports_due[number] = self.now + REPORT_INTERVAL;
        if let Some(report) = gateway.report(self.now, self.variant)
            && self.now >= self.cut_until[number]
        {
            self.send(Message::Report(report));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(report) => self.deliver_report(&report),
            Message::Grant(grant) => {
                let gateway = self.gateways.iter_mut().find(|it| it.name == grant.gateway);
                if let Some(gateway) = gateway {
                    gateway.take(self.now, grant, self.variant);
                }
            }
            Message::Led { gateway, incarnation, term } => {
                let gateway = &mut self.gateways[gateway];
                if gateway.incarnation == incarnation {
                    gateway.hear_of_leader(self.now, term);
                }
            }
            Message::Commit { term, changes } => self.commit(term, changes),
            Message::Register(life) => self.register(&life),
        }
    }

    /// A replica passes a report on to whoever it takes for the leader.
    fn deliver_report(&mut self, report: &AllowanceReport) {
        if self.leaders.is_empty() {
            return;
        }
        let place = self.draws.random_range(0..self.leaders.len());
        let (leader, _) = &mut self.leaders[place];
        let answer = leader.take(self.now, report, self.variant);
        self.carry_out(place, answer);
    }

    fn carry_out(&mut self, place: usize, LedgerAnswer { grants, ceilings }: LedgerAnswer) {
        let (leader, _) = &mut self.leaders[place];
        let term = leader.term;
        let proposes = !ceilings.is_empty() && !leader.changing;
        leader.changing |= proposes;
        grants.into_iter().for_each(|grant| self.send_grant(grant));
        if proposes {
            self.send_surely(Message::Commit { term, changes: ceilings });
        }
    }

    /// Leaders look from time to time whether they can give more.
    fn offer_again(&mut self) {
        for place in 0..self.leaders.len() {
            if self.draws.random_bool(0.2) {
                let answer = self.leaders[place].0.offer_again(self.now, self.variant);
                self.carry_out(place, answer);
            }
        }
    }

    /// What is under way to a gateway when it is cut off still arrives.
    fn send_grant(&mut self, grant: AllowanceGrant) {
        let number = self.gateways.iter().position(|it| it.name == grant.gateway);
        if number.is_some_and(|number| self.now < self.cut_until[number]) {
            self.counts.lost += 1;
        } else {
            self.send(Message::Grant(grant));
        }
    }

    /// Only the newest leader's entries are committed.
    fn commit(&mut self, term: Term, changes: Vec<CeilingChange>) {
        if self.leaders.last().is_none_or(|(leader, _)| leader.term != term) {
            return;
        }
        for change in changes {
            self.committed.change(change);
        }
        self.apply();
        if let Some((leader, _)) = self.leaders.last_mut() {
            leader.changes_applied();
        }
    }

    fn apply(&mut self) {
        if let Some((leader, _)) = self.leaders.last_mut() {
            leader.apply(self.now, &self.committed);
        }
    }

    fn register(&mut self, life: &GatewayIncarnation) {
        // A registration of a life that is over comes too late.
        let lives = self.gateways.iter();
        if lives.filter(|it| it.name == life.gateway).any(|it| it.incarnation == life.incarnation) {
            self.committed.register(life);
            self.apply();
        }
    }

    fn lower_ceilings(&mut self) {
        let Some((leader, _)) = self.leaders.last_mut() else { return };
        if leader.changing {
            return;
        }
        let changes = leader.lower(self.now);
        if !changes.is_empty() {
            leader.changing = true;
            let term = leader.term;
            self.send_surely(Message::Commit { term, changes });
        }
    }

    fn disturb(&mut self) {
        let steps_a_second = (SECOND / STEP) as f64;
        let mut happens = |a_second: f64| self.draws.random_bool(a_second / steps_a_second);
        let (restart, herd, cut) = (happens(0.15), happens(0.01), happens(0.1));
        let (elect, demand, limit) = (happens(0.06), happens(0.3), happens(0.04));
        let number = self.draws.random_range(0..GATEWAYS);
        if restart {
            self.restart(number);
        }
        if herd {
            (0..GATEWAYS).for_each(|number| self.restart(number));
        }
        if cut {
            self.cut_until[number] = self.now + self.draws.random_range(0..30 * SECOND);
        }
        if elect {
            self.counts.elections += 1;
            self.elect();
        }
        if demand {
            self.draw_demand(number);
        }
        if limit {
            self.committed.rate = draw_rate(&mut self.draws);
            self.apply();
        }
        // A gateway learns of documents and leaders through its replica, sooner or later.
        let learns = self.draws.random_bool(0.05);
        if learns && self.now >= self.cut_until[number] {
            let rate = self.committed.rate;
            self.gateways[number].follow(rate);
            self.tell_leader();
        }
    }

    fn restart(&mut self, number: usize) {
        self.counts.restarts += 1;
        let mut gateway = self.start_gateway(number);
        if self.variant == LimitsVariant::LifeNotNew {
            gateway.go_on(&self.gateways[number]);
        }
        self.gateways[number] = gateway;
    }
}

fn draw_rate(draws: &mut ChaCha8Rng) -> TenantRate {
    let per_second: u32 = draws.random_range(1..60);
    TenantRate { per_second: per_second.into(), burst: draws.random_range(0..80).into() }
}

impl fmt::Debug for World {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("World").field("seed", &self.seed).finish_non_exhaustive()
    }
}
