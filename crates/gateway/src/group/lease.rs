//! A connection that one statement or transaction uses.
//!
//! It is for whoever was given a connection. It owns the connection for that time, and sees to it that it
//! goes back, or is closed where something may be open on it. It relies on the group to take it back.

use super::Group;
use crate::connection::MemberConnection;
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use std::rc::Rc;

/// A connection in use. It goes back to its member when dropped, unless an answer is still
/// outstanding or a transaction may be open on it: then it is closed, which rolls back.
pub(crate) struct Lease<W: Wire> {
    group: Rc<Group<W>>,
    pub(crate) member: MemberName,
    connection: Option<MemberConnection<W>>,
    /// Whether another gateway holds the connection.
    remote: bool,
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
        Self::with(group, member, connection, false)
    }

    /// A connection that another gateway holds.
    pub(crate) fn remote(
        group: Rc<Group<W>>,
        member: MemberName,
        connection: MemberConnection<W>,
    ) -> Self {
        Self::with(group, member, connection, true)
    }

    fn with(
        group: Rc<Group<W>>,
        member: MemberName,
        connection: MemberConnection<W>,
        remote: bool,
    ) -> Self {
        let connection = Some(connection);
        Self {
            group,
            member,
            connection,
            remote,
            in_transaction: false,
            idle_in_transaction: false,
        }
    }

    /// Notes whether a transaction is idle between two statements: it takes no slot of the member then.
    pub(crate) fn set_idle_in_transaction(&mut self, idle_in_transaction: bool) {
        if self.remote || self.idle_in_transaction == idle_in_transaction {
            return;
        }
        self.idle_in_transaction = idle_in_transaction;
        self.group.note_idle_in_transaction(&self.member, idle_in_transaction);
    }

    pub(crate) fn group(&self) -> &Rc<Group<W>> {
        &self.group
    }

    /// Notes that the member has ended the transaction.
    pub(crate) fn end_transaction(&mut self) {
        self.in_transaction = false;
    }

    /// The connection; there until the lease ends.
    pub(crate) fn connection(&mut self) -> &mut MemberConnection<W> {
        self.connection.as_mut().expect("a lease has its connection until it is dropped")
    }
}

impl<W: Wire> Drop for Lease<W> {
    fn drop(&mut self) {
        self.set_idle_in_transaction(false);
        let Some(connection) = self.connection.take() else { return };
        if self.remote {
            let settled = connection.is_settled() && !self.in_transaction;
            self.group.remote_ended(&self.member, connection, settled);
            return;
        }
        if connection.is_settled() && !self.in_transaction {
            self.group.give_back(&self.member, connection);
        } else {
            drop(connection);
            self.group.closed(&self.member);
        }
    }
}
