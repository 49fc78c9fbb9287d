//! Disturbances of a run: restarts, cuts, elections, changes of demand and of the limit.
//!
//! The order and number of draws are part of a seed's meaning.

use super::{GATEWAYS, SECOND, STEP, World};
use crate::limits::leader::Leader;
use crate::limits::variant::LimitsVariant;
use corktack_core::position::Term;
use corktack_core::tenancy::TenantRate;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Longest time that a leader that was replaced goes on.
const LONGEST_DEPOSED: u64 = 9 * SECOND;

impl World {
    pub(super) fn disturb(&mut self) {
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

    /// Operations a second that a gateway is asked for; some of them a multiple of the limit.
    pub(super) fn draw_demand(&mut self, number: usize) {
        let rate = self.committed.rate.per_second;
        let part = match self.draws.random_range(0..10) {
            0..=2 => 0.02,
            3..=5 => 0.2,
            6..=7 => 0.8,
            _ => 3.0,
        };
        self.demand[number] = (rate * part).ceil() as u64;
    }

    pub(super) fn elect(&mut self) {
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
}

pub(super) fn draw_rate(draws: &mut ChaCha8Rng) -> TenantRate {
    let per_second: u32 = draws.random_range(1..60);
    TenantRate { per_second: per_second.into(), burst: draws.random_range(0..80).into() }
}
