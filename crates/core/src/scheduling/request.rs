//! What a statement asks for that needs a slot, and what it is answered.

use crate::identity::MemberName;
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Where a statement could be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotTarget {
    /// At this member.
    At(MemberName),
    /// At the primary.
    Primary,
    /// At any member but these.
    AnyBut(BTreeSet<MemberName>),
}

/// A statement that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Where.
    pub target: SlotTarget,
    /// Priority class; 0 is served first.
    pub priority: u32,
    /// On whose behalf; those without a tenant count as one.
    pub tenant: Option<TenantName>,
    /// How long it is likely to keep the slot.
    pub cost: Duration,
    /// Until when it may wait.
    pub give_up: Timestamp,
}

/// What serves a request: the slots that could, all of them in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// How many.
    pub slots: usize,
}

/// A request that cannot get a slot in its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot is likely to be free in time, come back in {retry_after:?}")]
pub struct NoSlotInTime {
    /// When the queue is likely to have room for it; each that is refused is told a later time.
    pub retry_after: Duration,
}

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotTicket(pub(super) u64);

/// A request that waits. `W` tells one that it has its slot.
#[derive(Debug)]
pub(super) struct Waiting<W> {
    pub(super) ticket: SlotTicket,
    pub(super) target: SlotTarget,
    pub(super) cost: Duration,
    pub(super) give_up: Timestamp,
    pub(super) waker: W,
}

impl<W> Waiting<W> {
    /// Whether a slot of a member could serve it.
    pub(super) fn may_use(&self, member: &MemberName, is_primary: bool) -> bool {
        match &self.target {
            SlotTarget::At(target) => target == member,
            SlotTarget::Primary => is_primary,
            SlotTarget::AnyBut(refused) => !refused.contains(member),
        }
    }
}
