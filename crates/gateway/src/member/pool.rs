//! Pool of this gateway's connections to one member.
//!
//! The pool owns the idle connections and counts all others: open, reserved for waiters, idle in a
//! transaction. Its users report when a connection is opened, returned and closed.

use crate::connection::MemberConnection;
use crate::wire::Wire;
use corktack_core::gateway::SessionProfile;
use corktack_core::tenancy::Principal;
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections that are kept regardless of the idle limit. With 0, the next statement at a quiet member
/// waits for a connection to be opened; more keep connections of the member from other gateways.
const MIN_IDLE_KEPT: usize = 1;

/// A connection that is not in use.
#[derive(Debug)]
struct IdleConnection<W: Wire> {
    connection: MemberConnection<W>,
    since: Instant,
}

impl<W: Wire> IdleConnection<W> {
    fn may_serve(&self, principal: Option<&Principal>) -> bool {
        principal.is_none_or(|principal| self.connection.principal() == principal)
    }
}

/// Connections of this gateway to one member, and their limit.
#[derive(Debug)]
pub(crate) struct ConnectionPool<W: Wire> {
    /// Idle connections; the most recently used one is last.
    idle: Vec<IdleConnection<W>>,
    /// Connections in use, idle or being opened.
    open: usize,
    /// Most connections that may be open; 0 where this gateway holds no share of the member.
    limit: usize,
    /// Connections in use by transactions that are idle between two statements.
    idle_in_transaction: usize,
    /// Connections, or places for them, reserved for woken waiters.
    reserved: usize,
}

impl<W: Wire> ConnectionPool<W> {
    pub(super) fn new() -> Self {
        Self { idle: Vec::new(), open: 0, limit: 0, idle_in_transaction: 0, reserved: 0 }
    }

    /// Returns the number of connections in use, idle or being opened.
    pub(crate) const fn open(&self) -> usize {
        self.open
    }

    /// Returns the number of idle connections.
    pub(crate) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Returns the most connections that may be open; 0 where this gateway holds no share of the member.
    pub(crate) const fn limit(&self) -> usize {
        self.limit
    }

    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of connections in use or being opened.
    pub(crate) fn in_use(&self) -> usize {
        self.open.saturating_sub(self.idle.len())
    }

    /// Returns the number of connections in use by transactions that are idle between two statements.
    pub(crate) const fn idle_in_transaction(&self) -> usize {
        self.idle_in_transaction
    }

    /// Returns the number of this gateway's statements in flight on its own connections to the member.
    pub(super) fn in_flight(&self) -> usize {
        self.open.saturating_sub(self.idle.len() + self.idle_in_transaction)
    }

    /// Returns the number of connections, or places for them, reserved for woken waiters.
    pub(super) const fn reserved(&self) -> usize {
        self.reserved
    }

    /// Returns how many more connections the limit allows.
    pub(super) fn remaining_connections(&self) -> usize {
        self.limit.saturating_sub(self.open)
    }

    /// Reserves a place for a waiter that is about to be woken.
    pub(crate) fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Releases a reserved place, which its waiter takes or no longer needs.
    pub(crate) fn release_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Records that a transaction is idle between two statements.
    pub(crate) fn begin_idle_in_transaction(&mut self) {
        self.idle_in_transaction += 1;
    }

    /// Records that a transaction that was idle continues, or is over.
    pub(crate) fn end_idle_in_transaction(&mut self) {
        self.idle_in_transaction = self.idle_in_transaction.saturating_sub(1);
    }

    /// Counts a connection that is about to be opened as open.
    pub(crate) fn begin_opening(&mut self) {
        self.open += 1;
    }

    /// Records that a connection was closed, or could not be opened.
    pub(crate) fn record_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Keeps a returned connection as idle.
    pub(super) fn add_idle(&mut self, connection: MemberConnection<W>, now: Instant) {
        self.idle.push(IdleConnection { connection, since: now });
    }

    /// Closes a connection that was in use.
    pub(super) fn close(&mut self, connection: MemberConnection<W>) {
        self.open -= 1;
        connection.terminate();
    }

    /// Takes the idle connection whose settings differ least from the session's, among those that were opened
    /// for this principal.
    pub(crate) fn take_idle(
        &mut self,
        session: &SessionProfile,
        principal: Option<&Principal>,
    ) -> Option<MemberConnection<W>> {
        let may_use = |idle: &IdleConnection<W>| idle.may_serve(principal);
        while !self.idle.is_empty() {
            // Prefer the most recently used one among equals, so that the others reach the idle limit.
            let candidates = self.idle.iter().enumerate().rev().filter(|(_, idle)| may_use(idle));
            let distance = |idle: &IdleConnection<W>| idle.connection.profile().distance(session);
            let nearest = candidates.min_by_key(|(_, idle)| distance(idle));
            let index = nearest.map(|(index, _)| index)?;
            let connection = self.idle.remove(index).connection;
            if !connection.is_broken() {
                return Some(connection);
            }
            self.open -= 1;
        }
        None
    }

    /// Reports whether there is an idle connection for this principal.
    pub(crate) fn has_idle_for(&self, principal: Option<&Principal>) -> bool {
        self.idle.iter().any(|idle| idle.may_serve(principal))
    }

    /// Closes the connection that has been idle longest, which makes room for one of another principal;
    /// reports whether there was one.
    pub(crate) fn close_longest_idle(&mut self) -> bool {
        if self.idle.is_empty() {
            return false;
        }
        self.idle.remove(0).connection.terminate();
        self.open -= 1;
        true
    }

    /// Closes idle connections above the limit, as the gateways that hold the share need their places.
    pub(super) fn close_surplus(&mut self) {
        while self.open > self.limit && self.close_longest_idle() {}
    }

    /// Closes connections that have been idle for at least `idle_limit`, except for the few that are always
    /// kept.
    pub(super) fn close_unused(&mut self, idle_limit: Duration, now: Instant) {
        while self.idle.len() > MIN_IDLE_KEPT && now - self.idle[0].since >= idle_limit {
            self.close_longest_idle();
        }
    }

    /// Drops the idle connections without a termination message, as they may be dead.
    pub(super) fn drop_idle(&mut self) {
        self.open = self.open.saturating_sub(self.idle.len());
        self.idle.clear();
    }
}
