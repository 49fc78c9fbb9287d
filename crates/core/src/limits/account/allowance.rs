//! A gateway's part of a tenant's limit: a lease that the leader gives.
//!
//! Says how many operations may begin in any window now. Owns the rule that an allowance only falls
//! between two grants. Relies on the leader's grants and on the limit of the document in force.

use crate::limits::messages::TenantAllowance;
use crate::time::Timestamp;

/// Operations that may begin in any window, until when, and by which limit that was worked out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Allowance {
    operations: u64,
    /// The limit of all gateways that it was worked out by.
    basis: u64,
    ends: Timestamp,
}

impl Allowance {
    /// Operations as granted, or lowered since; what may begin is [`Allowance::in_force`].
    pub(super) const fn operations(&self) -> u64 {
        self.operations
    }

    /// Operations that may begin in a window: none once the lease has ended, and no more than its part of
    /// a limit that was lowered.
    pub(super) fn in_force(&self, now: Timestamp, limit: u64) -> u64 {
        if now >= self.ends {
            return 0;
        }
        if limit >= self.basis {
            return self.operations;
        }
        let part = u128::from(self.operations) * u128::from(limit) / u128::from(self.basis);
        u64::try_from(part).unwrap_or(self.operations)
    }

    /// Lowers it, if it is higher; a limit that falls later still lowers it in proportion.
    pub(super) fn lower(&mut self, now: Timestamp, limit: u64, to: u64) {
        self.operations = self.in_force(now, limit).min(to);
        self.basis = self.basis.min(limit).max(self.operations);
    }

    /// Takes another one in its place.
    pub(super) fn replace(&mut self, granted: &TenantAllowance, ends: Timestamp) {
        self.operations = granted.operations;
        self.basis = granted.window_limit.max(granted.operations);
        self.ends = self.ends.max(ends);
    }
}
