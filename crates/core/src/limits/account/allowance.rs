//! A gateway's allowance: its part of a tenant's limit, as a lease from the leader.
//!
//! Computes how many operations may begin in any window now. Between two grants an allowance can only
//! fall. It depends on the leader's grants and on the limit of the document in force.

use crate::limits::messages::TenantAllowance;
use crate::time::Timestamp;

/// Operations that may begin in any window, with the end of the lease and the limit from which they
/// were computed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Allowance {
    operations: u64,
    /// Window limit of all gateways together from which the allowance was computed.
    basis_limit: u64,
    expires_at: Timestamp,
}

impl Allowance {
    /// Returns the operations as granted, or as lowered since; [`Allowance::in_force`] returns what may
    /// begin.
    pub(super) const fn operations(&self) -> u64 {
        self.operations
    }

    /// Returns the operations that may begin in a window: none once the lease has expired, and a
    /// proportional part where the limit has been lowered.
    pub(super) fn in_force(&self, now: Timestamp, limit: u64) -> u64 {
        if now >= self.expires_at {
            return 0;
        }
        if limit >= self.basis_limit {
            return self.operations;
        }
        let proportional =
            u128::from(self.operations) * u128::from(limit) / u128::from(self.basis_limit);
        u64::try_from(proportional).unwrap_or(self.operations)
    }

    /// Lowers the allowance to `maximum` if it is higher. A later fall of the limit still lowers it in
    /// proportion.
    pub(super) fn lower(&mut self, now: Timestamp, limit: u64, maximum: u64) {
        self.operations = self.in_force(now, limit).min(maximum);
        self.basis_limit = self.basis_limit.min(limit).max(self.operations);
    }

    /// Replaces the allowance by a granted one.
    pub(super) fn replace(&mut self, granted: &TenantAllowance, expires_at: Timestamp) {
        self.operations = granted.operations;
        self.basis_limit = granted.window_limit.max(granted.operations);
        self.expires_at = self.expires_at.max(expires_at);
    }
}
