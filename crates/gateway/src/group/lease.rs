//! Lease of a connection for one statement or transaction.
//!
//! A lease owns its connection. When dropped, it returns the connection to the group, or closes it if a
//! transaction or an answer may be outstanding on it.

use super::Group;
use crate::connection::MemberConnection;
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use std::rc::Rc;

/// A connection in use. Dropping the lease returns the connection to its member's pool, unless an answer is
/// still outstanding or a transaction may be open: then the connection is closed, which rolls back.
pub(crate) struct Lease<W: Wire> {
    group: Rc<Group<W>>,
    pub(crate) member: MemberName,
    connection: Option<MemberConnection<W>>,
    /// Whether another gateway holds the connection.
    is_remote: bool,
    /// Set while a transaction may be open.
    pub(crate) in_transaction: bool,
    /// Set while a transaction is idle between two statements.
    idle_in_transaction: bool,
}

impl<W: Wire> Lease<W> {
    pub(crate) fn new(
        group: Rc<Group<W>>,
        member: MemberName,
        connection: MemberConnection<W>,
    ) -> Self {
        Self::with_origin(group, member, connection, false)
    }

    /// Creates a lease of a connection that another gateway holds.
    pub(crate) fn remote(
        group: Rc<Group<W>>,
        member: MemberName,
        connection: MemberConnection<W>,
    ) -> Self {
        Self::with_origin(group, member, connection, true)
    }

    fn with_origin(
        group: Rc<Group<W>>,
        member: MemberName,
        connection: MemberConnection<W>,
        is_remote: bool,
    ) -> Self {
        let connection = Some(connection);
        Self {
            group,
            member,
            connection,
            is_remote,
            in_transaction: false,
            idle_in_transaction: false,
        }
    }

    /// Sets whether the transaction is idle between two statements; it takes no slot of the member then.
    pub(crate) fn set_idle_in_transaction(&mut self, idle_in_transaction: bool) {
        if self.is_remote || self.idle_in_transaction == idle_in_transaction {
            return;
        }
        self.idle_in_transaction = idle_in_transaction;
        self.group.update_idle_in_transaction(&self.member, idle_in_transaction);
    }

    pub(crate) fn group(&self) -> &Rc<Group<W>> {
        &self.group
    }

    /// Records that the member has ended the transaction.
    pub(crate) fn end_transaction(&mut self) {
        self.in_transaction = false;
    }

    /// Returns the connection, which the lease keeps until it is dropped.
    pub(crate) fn connection(&mut self) -> &mut MemberConnection<W> {
        self.connection.as_mut().expect("a lease has its connection until it is dropped")
    }
}

impl<W: Wire> Drop for Lease<W> {
    fn drop(&mut self) {
        self.set_idle_in_transaction(false);
        let Some(connection) = self.connection.take() else { return };
        if self.is_remote {
            let is_settled = connection.has_no_pending_answer() && !self.in_transaction;
            self.group.release_remote(&self.member, connection, is_settled);
            return;
        }
        if connection.has_no_pending_answer() && !self.in_transaction {
            self.group.give_back(&self.member, connection);
        } else {
            drop(connection);
            self.group.record_closed(&self.member);
        }
    }
}
