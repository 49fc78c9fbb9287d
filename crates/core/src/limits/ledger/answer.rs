//! Builder for the leader's answer to a report or another event.

use super::{CeilingChange, LedgerAnswer};
use crate::identity::ProxyName;
use crate::limits::messages::AllowanceGrant;
use crate::tenancy::TenantName;
use std::collections::BTreeMap;

/// Collects grants, at most one for each gateway, and raises of ceilings that would allow more.
#[derive(Debug, Default)]
pub(super) struct AnswerBuilder {
    pub(super) grants: BTreeMap<ProxyName, AllowanceGrant>,
    pub(super) ceilings: Vec<CeilingChange>,
}

impl AnswerBuilder {
    /// Reports whether the answer already contains an allowance of a tenant for a gateway.
    pub(super) fn contains_allowance(&self, gateway: &ProxyName, tenant: &TenantName) -> bool {
        let grant = self.grants.get(gateway);
        grant.is_some_and(|grant| {
            grant.allowances.iter().any(|allowance| allowance.tenant == *tenant)
        })
    }

    pub(super) fn finish(self) -> LedgerAnswer {
        LedgerAnswer { grants: self.grants.into_values().collect(), ceilings: self.ceilings }
    }
}
