//! What the group is asked for, and where it can be served.
//!
//! It is for everyone who needs a connection: sessions, other gateways, the group's own questions. It owns
//! the form of such a request and of its answer. It decides nothing.

use super::Lease;
use crate::wire::Wire;
use corktack_core::gateway::{Holder, ReadBound, ReadPosition, SessionProfile};
use corktack_core::identity::MemberName;
use corktack_core::scheduling::StatementKind;
use corktack_core::tenancy::Principal;
use std::collections::BTreeSet;
use tokio::time::Instant;

/// Who could serve a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// The primary.
    Primary,
    /// A member that this gateway holds connections to, for another gateway.
    Held(MemberName),
    /// Any member but those that have already refused it.
    Reader {
        /// Members that refused it.
        refused: BTreeSet<MemberName>,
    },
}

impl Target {
    /// Whether who asks can go on at once where no member is there.
    pub(super) fn has_another_way(&self) -> bool {
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
    /// On whose behalf; none for questions of the product's own, which any connection will do for.
    pub(crate) principal: Option<&'s Principal>,
    /// What tells how long it is likely to keep a slot.
    pub(crate) kind: StatementKind,
    /// What a read that any member may serve must see.
    pub(crate) bound: Option<ReadBound>,
    /// Whether it takes one of the slots of the member.
    pub(crate) needs_slot: bool,
    /// When waiting for a connection ends.
    pub(crate) give_up: Instant,
}

/// A connection, and the position that a read on it must see.
pub(crate) struct Located<W: Wire> {
    pub(crate) lease: Lease<W>,
    /// There for a request with a bound.
    pub(crate) position: Option<ReadPosition>,
}

/// A member, and gateways that hold connections to it, in the order to ask.
#[derive(Clone, Debug)]
pub(crate) struct RemoteMember {
    pub(crate) name: MemberName,
    pub(crate) holders: Vec<Holder>,
}

/// Where a request can be served.
pub(crate) enum Location<W: Wire> {
    /// On a connection of this gateway.
    Local(Box<Located<W>>),
    /// On a connection of one of these gateways.
    Remote(RemoteMember),
}
