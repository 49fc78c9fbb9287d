//! Opens connections of this gateway to a member, for requests and in the background, and records what a
//! failed attempt shows about the member.
//!
//! [`dial`](crate::dial) makes the connection itself. Callers have already counted it as open in the pool.

use super::{Group, LOG_TARGET, Lease};
use crate::dial::{Destination, dial};
use crate::error::{AcquireError, DialError, DialFailure};
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use corktack_core::registry::RegisteredBackEnd;
use corktack_core::tenancy::Principal;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::Instant;

impl<W: Wire> Group<W> {
    /// Opens a connection that the pool already counts as open.
    pub(super) async fn open(
        self: &Rc<Self>,
        member: MemberName,
        back_end: &RegisteredBackEnd,
        principal: Option<&Principal>,
    ) -> Result<Lease<W>, AcquireError> {
        let pending = PendingConnection { group: Rc::clone(self), member: Some(member.clone()) };
        let destination = Destination {
            group: &self.name,
            member: &member,
            address: back_end.address,
            principal: principal.unwrap_or(&Principal::Anonymous),
        };
        match dial(&self.wire, &self.settings, destination, &self.answers).await {
            Ok((connection, _)) => {
                self.record_reached(&member);
                pending.complete();
                Ok(Lease::new(Rc::clone(self), member, connection))
            }
            Err(error) => Err(self.record_open_failure(member, &error)),
        }
    }

    /// Records why a connection to a member could not be opened, and returns the error for the request.
    fn record_open_failure(&self, member: MemberName, error: &DialError) -> AcquireError {
        log::info!(
            target: LOG_TARGET, group:% = self.name, member:% = member, error:% = error;
            "member cannot be connected to"
        );
        match error.failure() {
            DialFailure::Full => {
                let now = Instant::now();
                self.with_member(&member, |member| member.pauses.record_full(now));
                return AcquireError::Full(member);
            }
            DialFailure::Unreachable => self.record_unreachable(&member),
            DialFailure::NoAnswer if self.record_unanswered(&member) => {
                self.record_unreachable(&member)
            }
            DialFailure::NoAnswer | DialFailure::Other => {
                let now = Instant::now();
                self.with_member(&member, |member| member.pauses.record_busy(now));
            }
        }
        AcquireError::Unreachable(member)
    }

    /// Connects to a member in the background; the pool already counts the connection as open.
    pub(super) fn connect_in_background(
        self: &Rc<Self>,
        name: &MemberName,
        back_end: Arc<RegisteredBackEnd>,
    ) {
        let (group, name) = (Rc::clone(self), name.clone());
        actix_rt::spawn(async move {
            // Dropping the lease puts the connection into the pool; `open` records a failure by itself.
            drop(group.open(name, &back_end, None).await);
        });
    }
}

/// Place in the pool of a connection that is being opened; freed on drop unless the connection was opened.
struct PendingConnection<W: Wire> {
    group: Rc<Group<W>>,
    member: Option<MemberName>,
}

impl<W: Wire> PendingConnection<W> {
    fn complete(mut self) {
        self.member = None;
    }
}

impl<W: Wire> Drop for PendingConnection<W> {
    fn drop(&mut self) {
        if let Some(member) = self.member.take() {
            self.group.record_closed(&member);
        }
    }
}
