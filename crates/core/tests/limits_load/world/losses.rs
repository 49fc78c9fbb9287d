//! Losses of processes: of one that counts operations, or of all.

use super::callers::{PATIENCE, Returned, Served};
use super::{STEP, World, at_ms, bounds};
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::limits::{GatewayIncarnation, LimitLedger};
use corktack_core::position::Term;
use std::collections::BTreeSet;

/// Milliseconds after a restart of all processes until a new leader has its ledger.
const LEDGER_DELAY: u64 = 300;
/// Milliseconds after a restart of all processes until the first and the last gateway has a document by
/// which it admits callers, as on the users' deployment.
pub const DOCUMENT_DELAY: std::ops::Range<u64> = 350..700;

/// The gateway with this number, in its n-th incarnation.
pub fn incarnation(number: usize, incarnation_number: u64) -> GatewayIncarnation {
    GatewayIncarnation {
        gateway: ProxyName::new(format!("g{number}")).expect("a valid name"),
        incarnation: Incarnation(incarnation_number),
    }
}

fn incarnations(counters: usize, incarnation_number: u64) -> BTreeSet<GatewayIncarnation> {
    (0..counters).map(|number| incarnation(number, incarnation_number)).collect()
}

impl World {
    /// Loses all processes for a time, and runs until callers have returned.
    pub fn run_with_loss(&mut self, loss: std::ops::Range<u64>) -> &Returned {
        let end = loss.end + PATIENCE + 2_000;
        self.loss = Some(loss);
        self.run(end);
        &self.returned
    }

    /// Replaces the first gateway's process now; returns the fraction of its callers' operations that
    /// are refused in the window after.
    pub fn replace_first_counter(&mut self) -> f64 {
        self.counters[0] = self.start_counter(0, 2);
        self.counters[0].follow_leader(at_ms(self.now), Term(1));
        let mut present = incarnations(self.counters.len(), 1);
        present.remove(&incarnation(0, 1));
        present.insert(incarnation(0, 2));
        self.ledger.follow_gateways(at_ms(self.now), &present);
        self.waiting.retain(|(counter, _), _| *counter != 0);
        self.first_counter_served = Served::default();
        self.run(self.now + 5_000);
        1.0 - self.first_counter_served.begun as f64 / self.first_counter_served.requested as f64
    }

    /// Reports whether no process runs, or none knows a leader yet.
    pub fn has_no_leader(&self) -> bool {
        let includes_now =
            |loss: &std::ops::Range<u64>| (loss.start..loss.end + LEDGER_DELAY).contains(&self.now);
        self.loss.as_ref().is_some_and(includes_now)
    }

    /// Stops all processes at the start of a loss, restarts them at its end, and starts a new leader
    /// [`LEDGER_DELAY`] later.
    pub fn apply_loss(&mut self, loss: &std::ops::Range<u64>) {
        if self.now == loss.start {
            self.messages.clear();
            self.waiting.clear();
            self.counters.clear();
        }
        if self.now == loss.end {
            self.start_counters(2);
        }
        if self.now == loss.end + LEDGER_DELAY {
            let count = self.counters.len();
            let ceilings = self.terms.ceilings.clone();
            let previous = incarnations(count, 1);
            self.ledger = LimitLedger::new(at_ms(self.now), Term(2), bounds(), previous, ceilings);
            self.ledger.follow_gateways(at_ms(self.now), &incarnations(count, 2));
        }
        for number in 0..self.counters.len() {
            if self.now == loss.end + self.document_delay(number) {
                self.counters[number].follow_leader(at_ms(self.now), Term(2));
            }
        }
    }

    /// Returns the milliseconds from a restart until a gateway has its document, in whole steps.
    fn document_delay(&self, number: usize) -> u64 {
        let span = DOCUMENT_DELAY.end - DOCUMENT_DELAY.start;
        let after = DOCUMENT_DELAY.start + span * number as u64 / self.reported_at.len() as u64;
        after / STEP * STEP
    }
}
