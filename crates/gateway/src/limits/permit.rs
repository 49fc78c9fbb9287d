//! Permit of one operation that was counted against its tenant's limit.
//!
//! A permit records the gateway that counted the operation, so that the session can return an operation that
//! did not run.

use super::Limits;
use corktack_core::gateway::Holder;
use corktack_core::limits::AdmittedOperations;
use corktack_core::tenancy::TenantName;
use std::rc::Rc;
use tokio::time::Instant;

/// Count of an admitted operation.
#[derive(Debug)]
struct CountedOperation {
    limits: Rc<Limits>,
    tenant: TenantName,
    priority: u32,
    /// Gateway that counted the operation; none for this one.
    home: Option<Holder>,
    admitted: AdmittedOperations,
}

/// Permit for one operation to run.
#[derive(Debug, Default)]
pub(crate) struct OperationPermit {
    /// None if the operation is not limited.
    counted: Option<CountedOperation>,
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
        admitted: AdmittedOperations,
    ) -> Self {
        Self { counted: Some(CountedOperation { limits, tenant, priority, home, admitted }) }
    }

    /// Undoes the count of an operation that did not run at any member.
    pub(crate) fn return_operations(self) {
        if let Some(CountedOperation { limits, tenant, home, admitted, .. }) = self.counted {
            limits.undo_count(&tenant, home, admitted);
        }
    }

    /// Counts the operation once more, because it may have run at one member and is to be retried at another.
    /// Reports whether the limit allows it at once.
    pub(crate) async fn count_again(&self) -> bool {
        let Some(counted) = &self.counted else { return true };
        // The second count is kept whatever the outcome of the retry.
        let CountedOperation { limits, tenant, priority, .. } = counted;
        limits.admit_until(tenant, *priority, Instant::now()).await.is_ok()
    }
}
