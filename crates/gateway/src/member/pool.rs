//! The connections of this gateway to one member.
//!
//! It is for the question whether there is a connection to use, or room to open one. It owns the idle
//! connections and the counts of all others: open, reserved for waiters, idle in a transaction. It relies
//! on its users to say when a connection is opened, given back and closed.

use crate::connection::MemberConnection;
use crate::wire::Wire;
use corktack_core::gateway::SessionProfile;
use corktack_core::tenancy::Principal;
use std::time::Duration;
use tokio::time::Instant;

/// Connections that stay idle for as long as they like. Chosen, not measured: with none a quiet member's
/// next statement waits for a connection to be opened; more keep places of the member from others.
const IDLE_KEPT: usize = 1;

/// A connection that nobody uses.
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

/// The connections of this gateway to one member.
#[derive(Debug)]
pub(crate) struct ConnectionPool<W: Wire> {
    /// The last one used is the last.
    idle: Vec<IdleConnection<W>>,
    /// Connections in use, idle or being opened.
    open: usize,
    /// Connections that may be open; none where this gateway holds no share of the member.
    limit: usize,
    /// Connections in use by transactions that are idle between two statements.
    idle_in_transaction: usize,
    /// Connections, or room for them, kept for waiters that were woken.
    reserved: usize,
}

impl<W: Wire> ConnectionPool<W> {
    pub(super) fn new() -> Self {
        Self { idle: Vec::new(), open: 0, limit: 0, idle_in_transaction: 0, reserved: 0 }
    }

    /// Connections in use, idle or being opened.
    pub(crate) const fn open(&self) -> usize {
        self.open
    }

    /// Connections that nobody uses.
    pub(crate) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Connections that may be open; none where this gateway holds no share of the member.
    pub(crate) const fn limit(&self) -> usize {
        self.limit
    }

    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Connections in use or being opened.
    pub(crate) fn in_use(&self) -> usize {
        self.open.saturating_sub(self.idle.len())
    }

    /// Connections in use by transactions that are idle between two statements.
    pub(crate) const fn idle_in_transaction(&self) -> usize {
        self.idle_in_transaction
    }

    /// Statements of this gateway under way at the member, on connections of its own.
    pub(super) fn under_way(&self) -> usize {
        self.open.saturating_sub(self.idle.len() + self.idle_in_transaction)
    }

    /// Connections, or room for them, kept for waiters that were woken.
    pub(super) const fn reserved(&self) -> usize {
        self.reserved
    }

    /// Connections that may be opened beside those that there are.
    pub(super) fn unopened(&self) -> usize {
        self.limit.saturating_sub(self.open)
    }

    /// Keeps a place for a waiter that is woken.
    pub(crate) fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// A place that was kept for a waiter is taken, or not needed.
    pub(crate) fn release_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// A transaction is idle between two statements.
    pub(crate) fn begin_idle_in_transaction(&mut self) {
        self.idle_in_transaction += 1;
    }

    /// A transaction goes on, or is over.
    pub(crate) fn end_idle_in_transaction(&mut self) {
        self.idle_in_transaction = self.idle_in_transaction.saturating_sub(1);
    }

    /// A connection that is being opened counts as open.
    pub(crate) fn begin_opening(&mut self) {
        self.open += 1;
    }

    /// A connection is gone, or could not be opened.
    pub(crate) fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Keeps a connection that nobody uses any longer.
    pub(super) fn keep(&mut self, connection: MemberConnection<W>, now: Instant) {
        self.idle.push(IdleConnection { connection, since: now });
    }

    /// Closes a connection that was in use.
    pub(super) fn close(&mut self, connection: MemberConnection<W>) {
        self.open -= 1;
        connection.terminate();
    }

    /// Takes the idle connection that is nearest to the session's values, among those that were opened
    /// on behalf of this principal.
    pub(crate) fn take_idle(
        &mut self,
        session: &SessionProfile,
        principal: Option<&Principal>,
    ) -> Option<MemberConnection<W>> {
        let may_use = |idle: &IdleConnection<W>| idle.may_serve(principal);
        while !self.idle.is_empty() {
            // The last one used comes first among equals, so that the others may grow old.
            let places = self.idle.iter().enumerate().rev().filter(|(_, idle)| may_use(idle));
            let distance = |idle: &IdleConnection<W>| idle.connection.profile.distance(session);
            let nearest = places.min_by_key(|(_, idle)| distance(idle));
            let place = nearest.map(|(place, _)| place)?;
            let connection = self.idle.remove(place).connection;
            if !connection.is_broken() {
                return Some(connection);
            }
            self.open -= 1;
        }
        None
    }

    /// Whether there is an idle connection on behalf of this principal.
    pub(crate) fn has_idle_for(&self, principal: Option<&Principal>) -> bool {
        self.idle.iter().any(|idle| idle.may_serve(principal))
    }

    /// Closes the connection that has been idle longest, for one on behalf of somebody else; says whether
    /// there was one.
    pub(crate) fn close_longest_idle(&mut self) -> bool {
        if self.idle.is_empty() {
            return false;
        }
        self.idle.remove(0).connection.terminate();
        self.open -= 1;
        true
    }

    /// Closes idle connections that the limit no longer allows: those who hold the share need them.
    pub(super) fn close_surplus(&mut self) {
        while self.open > self.limit && self.close_longest_idle() {}
    }

    /// Closes connections that have been idle for longer than the limit, but for the few that are kept.
    pub(super) fn close_unused(&mut self, idle_limit: Duration, now: Instant) {
        while self.idle.len() > IDLE_KEPT && now - self.idle[0].since >= idle_limit {
            self.close_longest_idle();
        }
    }

    /// Drops idle connections without a word: they may be as dead as one without an answer.
    pub(super) fn drop_idle(&mut self) {
        self.open = self.open.saturating_sub(self.idle.len());
        self.idle.clear();
    }
}
