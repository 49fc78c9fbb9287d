//! Ceilings: the most that may be allocated of each tenant's limit, according to the log.
//!
//! A ceiling is committed to the log before the bookings of a tenant exceed it, so that a new leader
//! that knows nothing else allocates only what lies above it. Ceilings are raised with a margin, so
//! that not every report writes to the log, and lowered at intervals once much less is allocated, so
//! that a new leader has more to allocate. This module defines the sizes of both steps;
//! [`super::offers`] keeps allocations within the ceilings.

use super::{LimitLedger, LimitTerms};
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of a limit that may be allocated without a ceiling in the log. The rest is enough for most
/// of a usual window where a new leader doesn't know yet what the previous one allocated. With a higher
/// fraction a new leader has less to allocate; with a lower one the log is written for more tenants.
const DEFAULT_CEILING_FRACTION: f64 = 0.5;
/// Factor by which a raised ceiling exceeds what is allocated, so that it is not raised with every
/// report. In the load test of the limits 0.05 % of the operations of tenants below their limits are
/// refused because a raise is not yet in the log. A higher factor withholds more from everyone after a
/// loss of all processes.
const CEILING_MARGIN_FACTOR: f64 = 1.03;
/// A ceiling is lowered once no more than this fraction of it is allocated. In the load test of a loss
/// of all processes 0.323 of the callers that returned began within 0.4 s with 0.9, and 0.329 with
/// 0.95.
const CEILING_KEPT_FRACTION: f64 = 0.95;
/// Time between two evaluations of which ceilings can be lowered, each of which writes at most one
/// entry to the log. A shorter time writes to the log more often; a longer one withholds the unused
/// capacity of a past burst for longer.
pub(super) const LOWERING_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the ceiling of a tenant without a ceiling in the log, in operations in a window.
#[must_use]
pub fn default_ceiling(limit: u64) -> u64 {
    (limit as f64 * DEFAULT_CEILING_FRACTION) as u64
}

/// Change of a tenant's ceiling in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CeilingChange {
    /// Raises the ceiling to at least this many operations in a window.
    Raise(TenantName, u64),
    /// Lowers the ceiling to this many operations in a window, or to the default.
    Lower(TenantName, Option<u64>),
}

impl CeilingChange {
    /// Applies the change of a committed entry. A raise never lowers a ceiling: the higher one may have
    /// been used already.
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

/// Returns the raise that allows the needed operations, with a margin.
pub(super) fn raise(tenant: &TenantName, needed: u64, limit: u64) -> CeilingChange {
    let with_margin = (needed as f64 * CEILING_MARGIN_FACTOR) as u64;
    CeilingChange::Raise(tenant.clone(), with_margin.min(limit).max(needed))
}

impl LimitLedger {
    /// Returns the lowerings of ceilings that are much higher than what is allocated. The lower
    /// ceilings hold from now on; the caller calls [`LimitLedger::confirm_lowered_ceilings`] once they
    /// are in the log.
    pub fn lower_ceilings(
        &mut self,
        now: Timestamp,
        ceilings: &BTreeMap<TenantName, u64>,
        terms: &impl LimitTerms,
    ) -> Vec<CeilingChange> {
        if now < self.lowering_due
            || !self.has_inherited_expired(now)
            || !self.pending_lowerings.is_empty()
        {
            return Vec::new();
        }
        self.lowering_due = now + LOWERING_INTERVAL;
        let lower = |(tenant, ceiling): (&TenantName, &u64)| {
            let allocated =
                self.tenants.get_mut(tenant).map_or(0, |ledger| ledger.allocated(now, true));
            if allocated as f64 > *ceiling as f64 * CEILING_KEPT_FRACTION {
                return None;
            }
            let default =
                terms.rate(tenant).map(|rate| default_ceiling(self.bounds.window_limit(rate)));
            let lowered = (allocated as f64 * CEILING_MARGIN_FACTOR) as u64;
            let operations = (default.unwrap_or(0) < lowered).then_some(lowered);
            self.pending_lowerings.insert(tenant.clone(), operations.or(default).unwrap_or(0));
            Some(CeilingChange::Lower(tenant.clone(), operations))
        };
        ceilings.iter().filter_map(lower).collect()
    }

    /// Records that the ceilings lowered last are in the log.
    pub fn confirm_lowered_ceilings(&mut self) {
        self.pending_lowerings.clear();
    }
}
