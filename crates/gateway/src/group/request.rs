//! Request for a connection to a member of a group, and the location where it can be served.
//!
//! Requests come from sessions, from other gateways, and from the group itself when it asks for the primary's
//! position.

use super::Lease;
use crate::wire::Wire;
use corktack_core::gateway::{Holder, ReadBound, ReadPosition, SessionProfile};
use corktack_core::identity::MemberName;
use corktack_core::scheduling::StatementKind;
use corktack_core::tenancy::Principal;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// Members that could serve a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// The primary.
    Primary,
    /// A member that this gateway holds connections to, for another gateway.
    Held(MemberName),
    /// Any member except those that have already refused the statement.
    Reader {
        /// Members that refused the statement.
        refused: BTreeSet<MemberName>,
    },
}

impl Target {
    /// Reports whether the requester has an alternative if no member can serve: another holder to ask, or the
    /// primary.
    pub(super) fn has_alternative(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Reader { refused } => !refused.is_empty(),
            Self::Primary => false,
        }
    }
}

/// A request for a connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionRequest<'s> {
    pub(crate) target: Target,
    pub(crate) session: &'s SessionProfile,
    /// Principal whose statement it is; none for the gateway's own requests, which any connection can serve.
    pub(crate) principal: Option<&'s Principal>,
    /// Kind of the statement, from which the time in a slot is estimated.
    pub(crate) kind: StatementKind,
    /// What a read that any member may serve must see at least.
    pub(crate) bound: Option<ReadBound>,
    /// Whether the statement takes one of the member's slots.
    pub(crate) needs_slot: bool,
    /// Deadline of the wait for a connection.
    pub(crate) wait_deadline: Instant,
}

/// A leased connection, and the position that a read on it must see.
pub(crate) struct LocatedConnection<W: Wire> {
    pub(crate) lease: Lease<W>,
    /// Set for a request with a bound.
    pub(crate) position: Option<ReadPosition>,
}

/// A member, and the gateways that hold connections to it, in the order in which they are asked.
#[derive(Clone, Debug)]
pub(crate) struct RemoteMember {
    pub(crate) name: MemberName,
    pub(crate) holders: Vec<Holder>,
}

/// Where a request can be served.
pub(crate) enum Location<W: Wire> {
    /// On a connection of this gateway.
    Local(Box<LocatedConnection<W>>),
    /// On a connection of one of these gateways.
    Remote(RemoteMember),
}
