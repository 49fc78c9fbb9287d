//! What happens where processes are lost: one that counts, or all of them.

use super::callers::{PATIENCE, Returned, Served};
use super::{STEP, World, at, bounds};
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::limits::{GatewayIncarnation, LimitLedger};
use corktack_core::position::Term;
use std::collections::BTreeSet;

/// Milliseconds after a restart of everything: until a new leader has its books, and until gateways have
/// a document by which they let callers in, the first and the last of them (as seen on the users' days).
const BOOKS: u64 = 300;
pub const DOCUMENTS: std::ops::Range<u64> = 350..700;

/// The gateway of this number in its n-th incarnation.
pub fn incarnation(number: usize, run: u64) -> GatewayIncarnation {
    GatewayIncarnation {
        gateway: ProxyName::new(format!("g{number}")).expect("a valid name"),
        incarnation: Incarnation(run),
    }
}

fn incarnations(counters: usize, run: u64) -> BTreeSet<GatewayIncarnation> {
    (0..counters).map(|number| incarnation(number, run)).collect()
}

impl World {
    /// Loses all processes for a time, and plays on until callers have come back.
    pub fn lose_all(&mut self, loss: std::ops::Range<u64>) -> &Returned {
        let end = loss.end + PATIENCE + 2_000;
        self.loss = Some(loss);
        self.run(end);
        &self.returned
    }

    /// Has another process count in place of the first gateway's, from now on; gives the part of its
    /// callers' operations that are refused in the window after.
    pub fn replace_first(&mut self) -> f64 {
        self.counters[0] = self.start_counter(0, 2);
        self.counters[0].follow_leader(at(self.now), Term(1));
        let mut present = incarnations(self.counters.len(), 1);
        present.remove(&incarnation(0, 1));
        present.insert(incarnation(0, 2));
        self.ledger.follow_gateways(at(self.now), &present);
        self.waiting.retain(|(counter, _), _| *counter != 0);
        self.at_first = Served::default();
        self.run(self.now + 5_000);
        1.0 - self.at_first.begun as f64 / self.at_first.asked as f64
    }

    /// Whether no process is there, or none knows a leader yet.
    pub fn is_lost(&self) -> bool {
        let lost = |loss: &std::ops::Range<u64>| (loss.start..loss.end + BOOKS).contains(&self.now);
        self.loss.as_ref().is_some_and(lost)
    }

    /// What happens to the processes at a loss of everything.
    pub fn lose(&mut self, loss: &std::ops::Range<u64>) {
        if self.now == loss.start {
            self.messages.clear();
            self.waiting.clear();
            self.counters.clear();
        }
        if self.now == loss.end {
            self.start_counters(2);
        }
        if self.now == loss.end + BOOKS {
            let count = self.counters.len();
            let ceilings = self.terms.ceilings.clone();
            let known = incarnations(count, 1);
            self.ledger = LimitLedger::new(at(self.now), Term(2), bounds(), known, ceilings);
            self.ledger.follow_gateways(at(self.now), &incarnations(count, 2));
        }
        for number in 0..self.counters.len() {
            if self.now == loss.end + self.document_after(number) {
                self.counters[number].follow_leader(at(self.now), Term(2));
            }
        }
    }

    /// Milliseconds from a restart until a gateway has its document, in whole steps.
    fn document_after(&self, number: usize) -> u64 {
        let span = DOCUMENTS.end - DOCUMENTS.start;
        let after = DOCUMENTS.start + span * number as u64 / self.reported_at.len() as u64;
        after / STEP * STEP
    }
}
