//! Permission for one operation to run.
//!
//! It is for the session that runs it. It owns what was counted, and who counted it. It relies on the limits to
//! take back what did not run.

use super::Limits;
use corktack_core::gateway::Holder;
use corktack_core::limits::AdmittedOperations;
use corktack_core::tenancy::TenantName;
use std::rc::Rc;
use tokio::time::Instant;

/// An operation that was counted.
#[derive(Debug)]
struct Counted {
    limits: Rc<Limits>,
    tenant: TenantName,
    priority: u32,
    /// The gateway that counted it; none for this one.
    home: Option<Holder>,
    begun: AdmittedOperations,
}

/// Permission for one operation to run.
#[derive(Debug, Default)]
pub(crate) struct OperationPermit {
    /// None where nothing is limited.
    counted: Option<Counted>,
}

impl OperationPermit {
    pub(super) fn unlimited() -> Self {
        Self::default()
    }

    pub(super) fn counted(
        limits: Rc<Limits>,
        tenant: TenantName,
        priority: u32,
        home: Option<Holder>,
        begun: AdmittedOperations,
    ) -> Self {
        Self { counted: Some(Counted { limits, tenant, priority, home, begun }) }
    }

    /// The operation did not run, at any member.
    pub(crate) fn return_operations(self) {
        if let Some(Counted { limits, tenant, home, begun, .. }) = self.counted {
            limits.give_back(&tenant, home, begun);
        }
    }

    /// Counts the operation once more: it may have run at a member, and is to run at another. Says
    /// whether the limit allows it at once.
    pub(crate) async fn count_again(&self) -> bool {
        let Some(counted) = &self.counted else { return true };
        // It stays counted, whatever becomes of it.
        let Counted { limits, tenant, priority, .. } = counted;
        limits.begin_by(tenant, *priority, Instant::now()).await.is_ok()
    }
}
