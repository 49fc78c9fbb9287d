//! State of a group: its members, what is known about the primary, and the queue of waiting statements.
//!
//! [`choice`](super::choice) reads the state to choose a member. Nothing here awaits or sends, as the state
//! is behind a `RefCell` that must not be borrowed across an await.

use crate::member::Member;
use crate::wire::Wire;
use corktack_core::gateway::ReaderPreferences;
use corktack_core::identity::{MemberName, ProxyName};
use corktack_core::registry::Promotion;
use corktack_core::scheduling::{Capacity, ServiceTimes, SlotQueue, SlotTarget};
use corktack_core::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How long a member that denied being the primary is not tried again, unless control announces it as the
/// primary. A shorter pause wastes writes on a member that refuses them; a longer one delays finding a member
/// that was promoted without an announcement by control.
const NOT_PRIMARY_PAUSE: Duration = Duration::from_millis(150);

/// Members of a group, what is known about its primary, and the statements that wait.
pub(super) struct GroupState<W: Wire> {
    pub(super) members: BTreeMap<MemberName, Member<W>>,
    pub(super) promotion: Option<Promotion>,
    /// The member that last acted as primary.
    pub(super) proven_primary: Option<MemberName>,
    pub(super) not_primary_until: BTreeMap<MemberName, Instant>,
    /// Statements that wait for a slot, each with the channel that wakes it.
    pub(super) waiting: SlotQueue<oneshot::Sender<MemberName>>,
    pub(super) service_times: ServiceTimes,
    pub(super) preferences: ReaderPreferences,
}

impl<W: Wire> GroupState<W> {
    pub(super) fn new(gateway: &ProxyName) -> Self {
        Self {
            members: BTreeMap::new(),
            promotion: None,
            proven_primary: None,
            not_primary_until: BTreeMap::new(),
            waiting: SlotQueue::default(),
            service_times: ServiceTimes::default(),
            preferences: ReaderPreferences::for_gateway(gateway),
        }
    }

    /// Reports whether a member may be the primary: any member may be while none has acted as the primary.
    pub(super) fn may_be_primary(&self, name: &MemberName) -> bool {
        self.proven_primary.as_ref().is_none_or(|primary| primary == name)
    }

    /// Records that a member did what only the primary can do; reports whether the primary changed.
    pub(super) fn record_primary(&mut self, name: &MemberName) -> bool {
        let is_changed = self.proven_primary.as_ref() != Some(name);
        if is_changed {
            self.proven_primary = Some(name.clone());
        }
        self.not_primary_until.remove(name);
        is_changed
    }

    /// Records that a member refused what only the primary accepts.
    pub(super) fn record_not_primary(&mut self, name: &MemberName) {
        if self.proven_primary.as_ref() == Some(name) {
            self.proven_primary = None;
        }
        self.not_primary_until.insert(name.clone(), Instant::now() + NOT_PRIMARY_PAUSE);
    }

    /// Applies control's promotion of a primary; a new promotion discards what was seen of the previous
    /// primary.
    pub(super) fn update_promotion(&mut self, promotion: Option<&Promotion>) {
        if self.promotion.as_ref() == promotion {
            return;
        }
        self.members.values_mut().for_each(|member| member.indirect_route = Default::default());
        self.promotion = promotion.cloned();
        self.not_primary_until.clear();
        self.proven_primary = None;
    }

    /// Returns the number of slots at the members that can serve a target.
    pub(super) fn capacity(&self, target: &SlotTarget) -> Capacity {
        let serves = |name: &MemberName| match target {
            SlotTarget::Member(wanted) => wanted == name,
            SlotTarget::Primary => self.may_be_primary(name),
            SlotTarget::AnyExcept(refused) => !refused.contains(name),
        };
        let members = self.members.iter().filter(|(name, _)| serves(name));
        Capacity { slots: members.map(|(_, member)| member.slots()).sum() }
    }

    /// Wakes the first waiter that could use a connection to this member, and reserves a place for it.
    pub(super) fn wake_next(&mut self, now: Timestamp, name: &MemberName) {
        let may_be_primary = self.may_be_primary(name);
        let Some(member) = self.members.get_mut(name) else { return };
        // A draining member gets no new work from waiting statements.
        if !member.pauses.accepts_reads(Instant::now()) {
            return;
        }
        while let Some(waker) = self.waiting.next(now, name, may_be_primary) {
            member.pool.reserve();
            if waker.send(name.clone()).is_ok() {
                return;
            }
            member.pool.release_reserved();
        }
    }

    /// Frees a place that was reserved for a waiter and not taken, and wakes the next waiter.
    pub(super) fn release_reserved(&mut self, now: Timestamp, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.pool.release_reserved();
        }
        self.wake_next(now, name);
    }
}
