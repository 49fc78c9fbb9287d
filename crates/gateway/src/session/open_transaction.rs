//! A transaction that is open at a member, with the lease of its connection and the state that a rollback
//! invalidates.

use crate::group::Lease;
use crate::routes::Route;
use crate::run::{ROLLBACK_TIMEOUT, roll_back_in_background};
use crate::wire::Wire;

/// Transaction open at a member.
pub(super) struct OpenTransaction<W: Wire> {
    pub(super) route: Route<W>,
    pub(super) lease: Lease<W>,
    /// Whether a write succeeded in the transaction.
    pub(super) has_written: bool,
    /// Whether values were set or statements prepared inside the transaction: a rollback may undo them.
    pub(super) has_changed_profile: bool,
}

impl<W: Wire> OpenTransaction<W> {
    /// Returns a transaction that has just begun on the connection.
    pub(super) fn new(route: Route<W>, lease: Lease<W>) -> Self {
        Self { route, lease, has_written: false, has_changed_profile: false }
    }

    /// Rolls back in the background; closes the connection instead if an answer is outstanding.
    pub(super) fn abandon(mut self) {
        if self.has_changed_profile {
            self.lease.connection().mark_unknown();
        }
        if self.lease.connection().has_no_pending_answer() {
            roll_back_in_background(self.lease, ROLLBACK_TIMEOUT);
        }
    }
}
