//! Processes that are over, and when nothing of earlier leaders counts any more.
//!
//! What an incarnation of a gateway may have begun counts for one window after its end. Owns which
//! incarnations earlier leaders may have given something to ([`LimitLedger::new`]), and by when those that
//! cannot report any more had ended. Relies on the cell's state for which incarnation a gateway has now,
//! and on reports for how long that has been running.

use super::LimitLedger;
use crate::identity::{Incarnation, ProxyName};
use crate::time::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How long a leader that was replaced may go on: it steps down once it has not heard from a majority for
/// an election timeout, which no deployment sets as long as this. Chosen as a bound, not measured (simulated
/// with leaders that go on up to 9 s): a higher value holds back longer what earlier leaders gave, where not
/// all gateways report.
pub(super) const LONGEST_STEP_DOWN: Duration = Duration::from_secs(10);

/// One incarnation of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayIncarnation {
    /// The gateway.
    pub gateway: ProxyName,
    /// The number of its process.
    pub incarnation: Incarnation,
}

impl LimitLedger {
    /// Ends the incarnation of a gateway that was known before this one, where it is another.
    pub(super) fn end_predecessor(&mut self, now: Timestamp, present: &GatewayIncarnation) {
        let known = self.reporters.incarnation(&present.gateway);
        if let Some(incarnation) = known.filter(|known| *known != present.incarnation) {
            self.end(now, &GatewayIncarnation { gateway: present.gateway.clone(), incarnation });
        }
    }

    /// An incarnation has been running for some time: those of its gateway before it ended earlier.
    pub(super) fn note_running(
        &mut self,
        now: Timestamp,
        present: &GatewayIncarnation,
        running: Duration,
    ) {
        // Before the leader's clock began at the latest, which is late enough.
        let ended_by = now.before(self.bounds.at_least(running)).unwrap_or(Timestamp::ZERO);
        for tenant in self.tenants.values_mut() {
            tenant.ended_earlier(present, ended_by + self.bounds.counted());
        }
        if let Some(end) = self.earlier_ends.get_mut(&present.gateway) {
            *end = (*end).min(ended_by);
        }
    }

    /// An incarnation is over: another process runs on its machine. What it may have begun counts for one
    /// window more.
    fn end(&mut self, now: Timestamp, ended: &GatewayIncarnation) {
        self.ended.insert(ended.clone());
        self.reporters.remove(&ended.gateway);
        for tenant in self.tenants.values_mut() {
            tenant.end(ended, now + self.bounds.counted());
        }
    }

    /// Follows which incarnations of gateways there are: one that another has taken the place of is over.
    pub fn follow_gateways(&mut self, now: Timestamp, gateways: &BTreeSet<GatewayIncarnation>) {
        let successors: HashMap<_, _> =
            gateways.iter().map(|present| (&present.gateway, present.incarnation)).collect();
        let is_replaced = |gateway: &ProxyName, incarnation: Incarnation| {
            successors.get(gateway).is_some_and(|successor| *successor != incarnation)
        };
        let replaced: Vec<GatewayIncarnation> = self
            .awaited
            .iter()
            .filter(|it| is_replaced(&it.gateway, it.incarnation))
            .cloned()
            .collect();
        let known = self.reporters.incarnations();
        let ended: Vec<GatewayIncarnation> =
            known.filter(|it| is_replaced(&it.gateway, it.incarnation)).collect();
        for incarnation in ended {
            self.end(now, &incarnation);
        }
        if replaced.is_empty() {
            return;
        }
        for incarnation in replaced {
            self.awaited.remove(&incarnation);
            self.earlier_ends.insert(incarnation.gateway.clone(), now);
            self.ended.insert(incarnation);
        }
        self.settle(now);
    }

    /// Once every incarnation that earlier leaders may have given something to has reported or is over,
    /// nothing else of theirs can be used; what those let begin that are over counts for one window more.
    pub(super) fn settle(&mut self, now: Timestamp) {
        if self.awaited.is_empty() {
            let last_end = self.earlier_ends.values().copied().max().unwrap_or(now);
            self.settled_at = self.settled_at.min(last_end + self.bounds.counted());
        }
    }

    /// Whether nothing that earlier leaders gave counts any more.
    pub(super) fn is_settled(&self, now: Timestamp) -> bool {
        now >= self.settled_at
    }
}
