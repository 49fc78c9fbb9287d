//! What a gateway that reported is given, and who gives something back for it.
//!
//! Turns the shares that [`super::tenant`] works out into grants, recalls and higher ceilings. Owns the
//! list of tenants that some gateway lacks operations of: they are offered more as soon as some are freed.

use super::answer::AnswerBuilder;
use super::ceilings::{default_ceiling, raise};
use super::tenant::{Offer, OfferTerms, Recall};
use super::{LedgerAnswer, LimitLedger, LimitTerms};
use crate::identity::ProxyName;
use crate::limits::messages::{AllowanceRecall, AllowanceReport, TenantAllowance};
use crate::tenancy::TenantName;
use crate::time::Timestamp;

impl LimitLedger {
    /// Offers more to gateways that lack some of what they need, after a change of the state or the end
    /// of what others held.
    pub fn offer_again(&mut self, now: Timestamp, terms: &impl LimitTerms) -> LedgerAnswer {
        let mut answer = AnswerBuilder::default();
        for tenant in self.lacking.clone() {
            self.offer_to_lacking(now, &tenant, terms, &mut answer);
        }
        answer.finish()
    }

    /// Offers the gateway that reported what it may have, and then others what its report freed.
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
        for tenant in self.freed_by(report) {
            self.offer_to_lacking(now, &tenant, terms, answer);
        }
    }

    /// Tenants that some gateway lacks operations of, and of which a report may have freed some.
    fn freed_by(&self, report: &AllowanceReport) -> Vec<TenantName> {
        if report.whole {
            return self.lacking.iter().cloned().collect();
        }
        let reported = report.demands.iter().map(|demand| &demand.tenant);
        reported.filter(|tenant| self.lacking.contains(*tenant)).cloned().collect()
    }

    fn offer_to_lacking(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        terms: &impl LimitTerms,
        answer: &mut AnswerBuilder,
    ) {
        let Some(ledger) = self.tenants.get(tenant) else { return };
        let gateways: Vec<_> = ledger.lacking().iter().cloned().collect();
        for gateway in gateways {
            if !answer.gives(&gateway, tenant) {
                self.offer(now, tenant, &gateway, terms, answer);
            }
        }
    }

    /// Gives a gateway what it may have of a tenant's limit, if that was asked for just now or is more
    /// than before; and has others give back what it needs of theirs.
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
        if offer.is_news
            && let Some(grant) = self.reporters.grant(answer, self.term, gateway)
        {
            ledger.note_granted(gateway, grant.number, offer.operations);
            grant.allowances.push(allowance(now, tenant, offer_terms, &offer));
        }
        if ledger.lacking().is_empty() {
            self.lacking.remove(tenant);
        } else {
            self.lacking.insert(tenant.clone());
        }
        if let Some(needed) = offer.needed_ceiling {
            answer.ceilings.push(raise(tenant, needed, offer_terms.limit));
        }
        for Recall { gateway, kept } in ledger.recalls(gateway, &offer) {
            if let Some(grant) = self.reporters.recall(answer, self.term, now, &gateway) {
                ledger.note_recalled(&gateway, grant.number);
                grant.recalls.push(AllowanceRecall { tenant: tenant.clone(), kept });
            }
        }
    }

    /// By what a tenant's operations may be given now; none where it is not limited.
    fn offer_terms(
        &self,
        now: Timestamp,
        tenant: &TenantName,
        terms: &impl LimitTerms,
    ) -> Option<OfferTerms> {
        let limit = self.bounds.window_limit(terms.rate(tenant)?);
        let lowering = self.lowering.get(tenant).copied().unwrap_or(u64::MAX);
        let logged = terms.ceiling(tenant);
        let ceiling = logged.unwrap_or_else(|| default_ceiling(limit)).min(lowering);
        let settled = self.is_settled(now);
        let settled_at = self.awaited.is_empty().then_some(self.settled_at);
        Some(OfferTerms { limit, ceiling, settled, settled_at })
    }
}

fn allowance(
    now: Timestamp,
    tenant: &TenantName,
    terms: OfferTerms,
    offer: &Offer,
) -> TenantAllowance {
    TenantAllowance {
        tenant: tenant.clone(),
        operations: offer.operations,
        window_limit: terms.limit,
        more_follows: offer.lacking > 0,
        more_after: offer.more_at.map(|at| at.saturating_since(now)),
    }
}
