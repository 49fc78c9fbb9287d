//! Offers to gateways, and recalls from others that hold more than their share.
//!
//! Turns the shares that [`super::tenant`] computes into grants, recalls and raises of ceilings.
//! Maintains the set of tenants of which some gateway has less than its share: such a gateway is
//! offered more as soon as capacity is freed.

use super::answer::AnswerBuilder;
use super::ceilings::{default_ceiling, raise};
use super::tenant::{Offer, OfferTerms, Recall};
use super::{LedgerAnswer, LimitLedger, LimitTerms};
use crate::identity::ProxyName;
use crate::limits::messages::{AllowanceRecall, AllowanceReport, TenantAllowance};
use crate::tenancy::TenantName;
use crate::time::Timestamp;

impl LimitLedger {
    /// Offers more to gateways that have less than their share, after a change of the state or the
    /// expiry of what others held.
    pub fn offer_again(&mut self, now: Timestamp, terms: &impl LimitTerms) -> LedgerAnswer {
        let mut answer = AnswerBuilder::default();
        for tenant in self.tenants_with_shortfall.clone() {
            self.offer_to_gateways_below_share(now, &tenant, terms, &mut answer);
        }
        answer.finish()
    }

    /// Offers the reporting gateway what it may have, and then offers others what its report freed.
    pub(super) fn answer_report(
        &mut self,
        now: Timestamp,
        report: &AllowanceReport,
        terms: &impl LimitTerms,
        answer: &mut AnswerBuilder,
    ) {
        for demand in &report.demands {
            self.offer(now, &demand.tenant, &report.gateway, terms, answer);
        }
        for tenant in self.tenants_freed_by(report) {
            self.offer_to_gateways_below_share(now, &tenant, terms, answer);
        }
    }

    /// Returns the tenants of which some gateway has less than its share, and for which a report may
    /// have freed capacity.
    fn tenants_freed_by(&self, report: &AllowanceReport) -> Vec<TenantName> {
        if report.is_full {
            return self.tenants_with_shortfall.iter().cloned().collect();
        }
        let reported = report.demands.iter().map(|demand| &demand.tenant);
        reported.filter(|tenant| self.tenants_with_shortfall.contains(*tenant)).cloned().collect()
    }

    fn offer_to_gateways_below_share(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        terms: &impl LimitTerms,
        answer: &mut AnswerBuilder,
    ) {
        let Some(ledger) = self.tenants.get(tenant) else { return };
        let gateways: Vec<_> = ledger.gateways_below_share().iter().cloned().collect();
        for gateway in gateways {
            if !answer.contains_allowance(&gateway, tenant) {
                self.offer(now, tenant, &gateway, terms, answer);
            }
        }
    }

    /// Grants a gateway what it may have of a tenant's limit, if that answers a new report or is more
    /// than before; and recalls from others what it lacks of its share.
    fn offer(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        gateway: &ProxyName,
        terms: &impl LimitTerms,
        answer: &mut AnswerBuilder,
    ) {
        let Some(offer_terms) = self.offer_terms(now, tenant, terms) else { return };
        let Some(ledger) = self.tenants.get_mut(tenant) else { return };
        let offer = ledger.offer(now, gateway, offer_terms);
        if offer.should_send
            && let Some(grant) = self.reporters.grant(answer, self.term, gateway)
        {
            ledger.record_grant(gateway, grant.number, offer.operations);
            grant.allowances.push(tenant_allowance(now, tenant, offer_terms, &offer));
        }
        if ledger.gateways_below_share().is_empty() {
            self.tenants_with_shortfall.remove(tenant);
        } else {
            self.tenants_with_shortfall.insert(tenant.clone());
        }
        if let Some(needed) = offer.needed_ceiling {
            answer.ceilings.push(raise(tenant, needed, offer_terms.limit));
        }
        for Recall { gateway, kept } in ledger.recalls(gateway, &offer) {
            if let Some(grant) = self.reporters.recall(answer, self.term, now, &gateway) {
                ledger.record_recall(&gateway, grant.number);
                grant.recalls.push(AllowanceRecall { tenant: tenant.clone(), kept });
            }
        }
    }

    /// Returns the conditions under which a tenant's operations may be allocated now; none where the
    /// tenant is not limited.
    fn offer_terms(
        &self,
        now: Timestamp,
        tenant: &TenantName,
        terms: &impl LimitTerms,
    ) -> Option<OfferTerms> {
        let limit = self.bounds.window_limit(terms.rate(tenant)?);
        let pending_lowering = self.pending_lowerings.get(tenant).copied().unwrap_or(u64::MAX);
        let logged_ceiling = terms.ceiling(tenant);
        let ceiling =
            logged_ceiling.unwrap_or_else(|| default_ceiling(limit)).min(pending_lowering);
        let inherited_expired = self.has_inherited_expired(now);
        let inherited_expires_at =
            self.awaited_incarnations.is_empty().then_some(self.inherited_until);
        Some(OfferTerms { limit, ceiling, inherited_expired, inherited_expires_at })
    }
}

fn tenant_allowance(
    now: Timestamp,
    tenant: &TenantName,
    terms: OfferTerms,
    offer: &Offer,
) -> TenantAllowance {
    TenantAllowance {
        tenant: tenant.clone(),
        operations: offer.operations,
        window_limit: terms.limit,
        more_follows: offer.shortfall > 0,
        more_available_after: offer
            .more_available_at
            .map(|available_at| available_at.saturating_since(now)),
    }
}
