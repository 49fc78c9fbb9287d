//! Which tenants come near their limits, for operators.

use super::{LimitLedger, LimitTerms};
use crate::tenancy::TenantName;

/// Part of its limit from which a tenant counts as near it. It decides what is logged, nothing else. Chosen,
/// not measured.
const NEAR_PART: f64 = 0.9;

/// How a tenant stands to its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations that may begin in a window.
    pub limit: u64,
    /// Operations of those that gateways may let begin.
    pub given: u64,
    /// Operations begun in the last window, and those that waited or were refused, as reported last.
    pub needed: u64,
}

impl LimitLedger {
    /// The tenants that come nearest to their limits, at most so many.
    pub fn nearest(&self, most: usize, terms: &impl LimitTerms) -> Vec<TenantUse> {
        let near = self.tenants.iter().filter_map(|(tenant, ledger)| {
            let limit = self.bounds.window_limit(terms.rate(tenant)?);
            let needed = ledger.needed();
            let is_near = needed as f64 >= limit as f64 * NEAR_PART;
            is_near.then(|| TenantUse {
                tenant: tenant.clone(),
                limit,
                given: ledger.booked(),
                needed,
            })
        });
        let mut near: Vec<_> = near.collect();
        near.sort_by_key(|it| std::cmp::Reverse(it.needed * 1_000 / it.limit.max(1)));
        near.truncate(most);
        near
    }
}
