//! What a leader does about one event, as it is put together.

use super::{CeilingChange, LedgerAnswer};
use crate::identity::ProxyName;
use crate::limits::messages::AllowanceGrant;
use crate::tenancy::TenantName;
use std::collections::BTreeMap;

/// Grants, one for each gateway that is sent something, and ceilings that would allow more.
#[derive(Debug, Default)]
pub(super) struct AnswerBuilder {
    pub(super) grants: BTreeMap<ProxyName, AllowanceGrant>,
    pub(super) ceilings: Vec<CeilingChange>,
}

impl AnswerBuilder {
    /// Whether a gateway is given something of a tenant's limit already.
    pub(super) fn gives(&self, gateway: &ProxyName, tenant: &TenantName) -> bool {
        let grant = self.grants.get(gateway);
        grant.is_some_and(|it| it.allowances.iter().any(|given| given.tenant == *tenant))
    }

    pub(super) fn finish(self) -> LedgerAnswer {
        LedgerAnswer { grants: self.grants.into_values().collect(), ceilings: self.ceilings }
    }
}
