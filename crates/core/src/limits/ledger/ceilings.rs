//! The most that is given of each tenant's limit, as the log knows it.
//!
//! A ceiling is in the log before the bookings of a tenant exceed it, so that a new leader that knows
//! nothing else gives only what lies above it. Raised with room, so that the log is not written with every
//! report; lowered now and then once much less is given, so that a new leader has more to give. Owns the
//! sizes of both steps. Relies on [`super::offers`] to keep to the ceilings.

use super::{LimitLedger, LimitTerms};
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of a limit that may be given without a ceiling in the log. What is left is enough for most of a
/// usual window where a new leader does not know yet what the one before gave. Chosen, not measured: with a
/// higher part a new leader has less to give, with a lower one the log is written for more tenants.
const DEFAULT_CEILING_PART: f64 = 0.5;
/// How much above what is given a ceiling is raised, so that it is not raised with every report: 0.05 % of
/// the operations of tenants below their limits are refused in the load test of the limits, for want of an
/// entry in the log. More is held back from all after a loss of everything.
const CEILING_ROOM: f64 = 1.03;
/// A ceiling is lowered once no more than this part of it is given. In the load test of a loss of everything
/// 0.323 of the callers that came back began within 0.4 s with 0.9, and 0.329 with this.
const CEILING_KEPT_PART: f64 = 0.95;
/// Time between two evaluations of which ceilings can be lowered, each one entry in the log at most. Chosen,
/// not measured: with less the log is written more often, with more a burst is held back longer.
pub(super) const LOWERING_INTERVAL: Duration = Duration::from_secs(2);

/// The ceiling of a limit that the log says nothing of: operations in a window.
#[must_use]
pub fn default_ceiling(limit: u64) -> u64 {
    (limit as f64 * DEFAULT_CEILING_PART) as u64
}

/// A change of a ceiling in the log: of the most that is given of a tenant's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CeilingChange {
    /// It is at least so many operations in a window.
    Raise(TenantName, u64),
    /// It is so many, or the default.
    Lower(TenantName, Option<u64>),
}

impl CeilingChange {
    /// Makes the change of a committed entry. A raise is never below what stands: the one before it may have
    /// been made use of.
    pub fn apply(self, ceilings: &mut BTreeMap<TenantName, u64>) {
        match self {
            Self::Raise(tenant, operations) => {
                let ceiling = ceilings.entry(tenant).or_default();
                *ceiling = operations.max(*ceiling);
            }
            Self::Lower(tenant, Some(operations)) => {
                ceilings.insert(tenant, operations);
            }
            Self::Lower(tenant, None) => drop(ceilings.remove(&tenant)),
        }
    }
}

/// The ceiling that allows what is needed, with some room.
pub(super) fn raise(tenant: &TenantName, needed: u64, limit: u64) -> CeilingChange {
    let roomy = (needed as f64 * CEILING_ROOM) as u64;
    CeilingChange::Raise(tenant.clone(), roomy.min(limit).max(needed))
}

impl LimitLedger {
    /// Ceilings that are much higher than what is given, with what they may be lowered to. They hold
    /// from now on; [`LimitLedger::lowered`] says that they are in the log.
    pub fn lower_ceilings(
        &mut self,
        now: Timestamp,
        ceilings: &BTreeMap<TenantName, u64>,
        terms: &impl LimitTerms,
    ) -> Vec<CeilingChange> {
        if now < self.lowering_due || !self.is_settled(now) || !self.lowering.is_empty() {
            return Vec::new();
        }
        self.lowering_due = now + LOWERING_INTERVAL;
        let lower = |(tenant, ceiling): (&TenantName, &u64)| {
            let given = self.tenants.get_mut(tenant).map_or(0, |it| it.given(now, true));
            if given as f64 > *ceiling as f64 * CEILING_KEPT_PART {
                return None;
            }
            let default =
                terms.rate(tenant).map(|rate| default_ceiling(self.bounds.window_limit(rate)));
            let lowered = (given as f64 * CEILING_ROOM) as u64;
            let operations = (default.unwrap_or(0) < lowered).then_some(lowered);
            self.lowering.insert(tenant.clone(), operations.or(default).unwrap_or(0));
            Some(CeilingChange::Lower(tenant.clone(), operations))
        };
        ceilings.iter().filter_map(lower).collect()
    }

    /// The ceilings that were lowered last are in the log.
    pub fn lowered(&mut self) {
        self.lowering.clear();
    }
}
