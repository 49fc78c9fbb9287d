//! Ended incarnations of gateways, and the time from which allocations of earlier leaders no longer
//! count.
//!
//! The operations that an incarnation may have begun count for one window after its end. The ledger
//! tracks which incarnations earlier leaders may have granted something to ([`LimitLedger::new`]), and
//! the latest time at which those that can no longer report ended. The state of the control cell says
//! which incarnation a gateway has now; reports say how long it has been running.

use super::LimitLedger;
use crate::identity::{Incarnation, ProxyName};
use crate::time::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Longest time for which a replaced leader may go on: it steps down once it has not heard from a
/// majority for an election timeout, which no deployment sets as long as this (simulated with leaders
/// that go on for up to 9 s). A longer time withholds for longer what earlier leaders allocated, where
/// not all gateways report.
pub(super) const MAX_STEP_DOWN_TIME: Duration = Duration::from_secs(10);

/// One incarnation of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayIncarnation {
    /// Name of the gateway.
    pub gateway: ProxyName,
    /// Number of the gateway's process.
    pub incarnation: Incarnation,
}

impl LimitLedger {
    /// Ends the previously reporting incarnation of a gateway if it differs from the present one.
    pub(super) fn end_predecessor(&mut self, now: Timestamp, present: &GatewayIncarnation) {
        let previous = self.reporters.incarnation(&present.gateway);
        if let Some(incarnation) = previous.filter(|previous| *previous != present.incarnation) {
            self.end_incarnation(
                now,
                &GatewayIncarnation { gateway: present.gateway.clone(), incarnation },
            );
        }
    }

    /// Uses the uptime of an incarnation as proof that the earlier incarnations of its gateway ended
    /// before it started.
    pub(super) fn apply_uptime(
        &mut self,
        now: Timestamp,
        present: &GatewayIncarnation,
        uptime: Duration,
    ) {
        // An uptime that reaches back before the leader's clock began gives time zero, which is late
        // enough.
        let ended_by =
            now.checked_sub(self.bounds.minimum_elapsed(uptime)).unwrap_or(Timestamp::ZERO);
        for tenant in self.tenants.values_mut() {
            tenant.shorten_ended(present, ended_by + self.bounds.counting_time());
        }
        if let Some(latest_end) = self.replaced_ended_by.get_mut(&present.gateway) {
            *latest_end = (*latest_end).min(ended_by);
        }
    }

    /// Ends an incarnation that another process has replaced on its machine. The operations that it may
    /// have begun count for one more window.
    fn end_incarnation(&mut self, now: Timestamp, ended: &GatewayIncarnation) {
        self.ended_incarnations.insert(ended.clone());
        self.reporters.remove(&ended.gateway);
        for tenant in self.tenants.values_mut() {
            tenant.end_incarnation(ended, now + self.bounds.counting_time());
        }
    }

    /// Ends the incarnations that have been replaced by others, according to the set of present ones.
    pub fn follow_gateways(&mut self, now: Timestamp, gateways: &BTreeSet<GatewayIncarnation>) {
        let successors: HashMap<_, _> =
            gateways.iter().map(|present| (&present.gateway, present.incarnation)).collect();
        let is_replaced = |gateway: &ProxyName, incarnation: Incarnation| {
            successors.get(gateway).is_some_and(|successor| *successor != incarnation)
        };
        let replaced: Vec<GatewayIncarnation> = self
            .awaited_incarnations
            .iter()
            .filter(|awaited| is_replaced(&awaited.gateway, awaited.incarnation))
            .cloned()
            .collect();
        let reporting = self.reporters.incarnations();
        let ended: Vec<GatewayIncarnation> = reporting
            .filter(|reporter| is_replaced(&reporter.gateway, reporter.incarnation))
            .collect();
        for incarnation in ended {
            self.end_incarnation(now, &incarnation);
        }
        if replaced.is_empty() {
            return;
        }
        for incarnation in replaced {
            self.awaited_incarnations.remove(&incarnation);
            self.replaced_ended_by.insert(incarnation.gateway.clone(), now);
            self.ended_incarnations.insert(incarnation);
        }
        self.update_inherited_expiry(now);
    }

    /// Brings forward the expiry of the inherited allocations once every incarnation that earlier
    /// leaders may have granted something to has reported or ended: nothing else that they granted can
    /// be used any more, and the operations of ended incarnations count for one more window.
    pub(super) fn update_inherited_expiry(&mut self, now: Timestamp) {
        if self.awaited_incarnations.is_empty() {
            let last_end = self.replaced_ended_by.values().copied().max().unwrap_or(now);
            self.inherited_until = self.inherited_until.min(last_end + self.bounds.counting_time());
        }
    }

    /// Reports whether nothing that earlier leaders allocated counts any more.
    pub(super) fn has_inherited_expired(&self, now: Timestamp) -> bool {
        now >= self.inherited_until
    }
}
