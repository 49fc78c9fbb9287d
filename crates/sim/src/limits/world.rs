//! The world of one run, drawn by its seed.
//!
//! Owns the virtual time, the one generator of draws, the gateways, the leaders and the messages under way;
//! every step takes them in one order, so that a seed gives the same run. Relies on the core's books through
//! [`super::gateway`] and [`super::leader`], and on [`super::check`] for the verdict.

mod disturb;
mod messages;

use super::check::WindowCheck;
use super::gateway::{Clock, Gateway};
use super::leader::{Committed, Leader};
use super::report::{LimitsCounts, LimitsReport};
use super::variant::LimitsVariant;
use corktack_core::identity::Incarnation;
use corktack_core::limits::{GatewayIncarnation, LimitBounds};
use disturb::draw_rate;
use messages::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// In microseconds, as all times of the world.
const MILLISECOND: u64 = 1_000;
/// In microseconds.
const SECOND: u64 = 1_000 * MILLISECOND;
/// Length of a run.
const LENGTH: u64 = 90 * SECOND;
/// Time between two steps of the world.
const STEP: u64 = 10 * MILLISECOND;
const GATEWAYS: usize = 6;
const WINDOW: Duration = Duration::from_secs(5);
/// Much shorter than in a deployment, so that allowances end in a run.
const ALLOWANCE_LIFE: Duration = Duration::from_secs(8);

struct World {
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
        let committed = Committed { gateways: BTreeSet::new(), ceilings: BTreeMap::new(), rate };
        let mut world = Self {
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
        let started = GatewayIncarnation { gateway: gateway.name.clone(), incarnation };
        self.send_surely(Message::Register(started));
        gateway
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
}
