//! Tenants near their limits, for operators.

use super::{LimitLedger, LimitTerms};
use crate::tenancy::TenantName;

/// Fraction of its limit from which a tenant counts as near it. Decides only what is logged.
const NEAR_LIMIT_FRACTION: f64 = 0.9;

/// Use of a tenant's limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantUse {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Operations that may begin in a window.
    pub limit: u64,
    /// Operations of those that gateways may let begin.
    pub given: u64,
    /// Operations begun in the last window, and those that waited or were refused, as reported last.
    pub needed: u64,
}

impl LimitLedger {
    /// Returns the tenants that are near their limits, the nearest first, at most `max_count` of them.
    pub fn nearest(&self, max_count: usize, terms: &impl LimitTerms) -> Vec<TenantUse> {
        let near = self.tenants.iter().filter_map(|(tenant, ledger)| {
            let limit = self.bounds.window_limit(terms.rate(tenant)?);
            let needed = ledger.needed();
            let is_near = needed as f64 >= limit as f64 * NEAR_LIMIT_FRACTION;
            is_near.then(|| TenantUse {
                tenant: tenant.clone(),
                limit,
                given: ledger.booked(),
                needed,
            })
        });
        let mut near: Vec<_> = near.collect();
        near.sort_by_key(|tenant_use| {
            std::cmp::Reverse(tenant_use.needed * 1_000 / tenant_use.limit.max(1))
        });
        near.truncate(max_count);
        near
    }
}
