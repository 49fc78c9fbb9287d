//! Opening connections of this gateway to a member.
//!
//! It is for requests that found room for a new connection, and for attempts in the background that find out
//! whether a member is back. It owns what a failed attempt says of the member. It relies on
//! [`dial`](crate::dial) for the connection itself, and on its users to have counted it as open.

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
    /// Opens a connection, which counts as open already.
    pub(super) async fn open(
        self: &Rc<Self>,
        member: MemberName,
        back_end: &RegisteredBackEnd,
        principal: Option<&Principal>,
    ) -> Result<Lease<W>, AcquireError> {
        let opening = Opening { group: Rc::clone(self), member: Some(member.clone()) };
        let destination = Destination {
            group: &self.name,
            member: &member,
            address: back_end.address,
            principal: principal.unwrap_or(&Principal::Unnamed),
        };
        match dial(&self.wire, &self.settings, destination).await {
            Ok((connection, _)) => {
                self.note_reached(&member);
                opening.done();
                Ok(Lease::new(Rc::clone(self), member, connection))
            }
            Err(error) => Err(self.note_not_opened(member, &error)),
        }
    }

    /// Remembers why a member could not be connected to.
    fn note_not_opened(&self, member: MemberName, error: &DialError) -> AcquireError {
        log::info!(
            target: LOG_TARGET, group:% = self.name, member:% = member, error:% = error;
            "member cannot be connected to"
        );
        match error.failure() {
            DialFailure::Full => {
                let now = Instant::now();
                self.with_member(&member, |it| it.pauses.note_full(now));
                return AcquireError::Full(member);
            }
            DialFailure::Unreachable => self.note_unreachable(&member),
            DialFailure::NoAnswer if self.is_gone(&member) => self.note_unreachable(&member),
            DialFailure::NoAnswer | DialFailure::Other => {
                let now = Instant::now();
                self.with_member(&member, |it| it.pauses.note_busy(now));
            }
        }
        AcquireError::Unreachable(member)
    }

    /// Connects to a member in the background; its place counts as open already.
    pub(super) fn check(self: &Rc<Self>, name: &MemberName, back_end: Arc<RegisteredBackEnd>) {
        let (group, name) = (Rc::clone(self), name.clone());
        actix_rt::spawn(async move {
            // The connection goes to the idle ones, or says that the member cannot be reached.
            drop(group.open(name, &back_end, None).await);
        });
    }
}

/// A connection that is being opened counts as open; its place is given back if it never is.
struct Opening<W: Wire> {
    group: Rc<Group<W>>,
    member: Option<MemberName>,
}

impl<W: Wire> Opening<W> {
    fn done(mut self) {
        self.member = None;
    }
}

impl<W: Wire> Drop for Opening<W> {
    fn drop(&mut self) {
        if let Some(member) = self.member.take() {
            self.group.closed(&member);
        }
    }
}
