//! A transaction that is open at a member.
//!
//! It is for the statements inside it and for its end. It owns the lease of its connection, and what a
//! rollback behind the caller's back undoes. It relies on [`run`](crate::run) to roll back.

use crate::group::Lease;
use crate::routes::Route;
use crate::run::{ROLLBACK_LIMIT, roll_back_later};
use crate::wire::Wire;

/// A transaction that is open at a member.
pub(super) struct OpenTransaction<W: Wire> {
    pub(super) route: Route<W>,
    pub(super) lease: Lease<W>,
    /// Whether something was written in it.
    pub(super) wrote: bool,
    /// Whether values were set or statements prepared inside it: a rollback may undo them.
    pub(super) aligned_inside: bool,
}

impl<W: Wire> OpenTransaction<W> {
    /// One in which nothing was written yet.
    pub(super) fn new(route: Route<W>, lease: Lease<W>) -> Self {
        Self { route, lease, wrote: false, aligned_inside: false }
    }

    /// Rolls back behind the caller's back.
    pub(super) fn abandon(mut self) {
        if self.aligned_inside {
            self.lease.connection().profile.mark_unknown();
        }
        if self.lease.connection().is_settled() {
            roll_back_later(self.lease, ROLLBACK_LIMIT);
        }
    }
}
