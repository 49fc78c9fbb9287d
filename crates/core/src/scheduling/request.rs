//! Requests for a slot, and their refusal.

use crate::identity::MemberName;
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Members that may run a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotTarget {
    /// Only this member.
    Member(MemberName),
    /// Only the primary.
    Primary,
    /// Any member but these.
    AnyExcept(BTreeSet<MemberName>),
}

/// A statement that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Members that may run the statement.
    pub target: SlotTarget,
    /// Priority class; 0 is served first.
    pub priority: u32,
    /// Tenant that the statement belongs to. Statements without a tenant are scheduled as one
    /// tenant.
    pub tenant: Option<TenantName>,
    /// Time for which the statement is likely to keep the slot.
    pub cost: Duration,
    /// Deadline until which the request may wait.
    pub deadline: Timestamp,
}

/// The slots that could serve a request, all of them in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Number of slots.
    pub slots: usize,
}

/// Refusal of a request that is not likely to get a slot before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot is likely to be free in time, come back in {retry_after:?}")]
pub struct NoSlotInTime {
    /// Time after which the queue is likely to have room. Each further refused caller gets a later
    /// time.
    pub retry_after: Duration,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotTicket(pub(super) u64);

/// A waiting request. `W` is the waker that tells the request that it has its slot.
#[derive(Debug)]
pub(super) struct Waiting<W> {
    pub(super) ticket: SlotTicket,
    pub(super) target: SlotTarget,
    pub(super) cost: Duration,
    pub(super) deadline: Timestamp,
    pub(super) waker: W,
}

impl<W> Waiting<W> {
    /// Reports whether a slot of the member could serve the request.
    pub(super) fn may_use(&self, member: &MemberName, is_primary: bool) -> bool {
        match &self.target {
            SlotTarget::Member(target) => target == member,
            SlotTarget::Primary => is_primary,
            SlotTarget::AnyExcept(refused) => !refused.contains(member),
        }
    }
}
