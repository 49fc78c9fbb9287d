//! What a group knows of its members, and who waits for them.
//!
//! It is for the choice of a member ([`choice`](super::choice)) and for waking those who wait. It owns the
//! members, what is known of the primary, the queue. Nothing in it waits or sends: it is borrowed for a
//! moment at a time. It relies on the rest of the group to say what was seen.

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

/// How long a member that said it is no primary is not asked again, unless control says it is. Chosen, not
/// measured: lower, writes are spent on a member that refuses them; higher, one that was promoted without
/// control's word is found later.
const NOT_PRIMARY_PAUSE: Duration = Duration::from_millis(150);

/// What a group knows of its members, and who waits for them.
pub(super) struct GroupState<W: Wire> {
    pub(super) members: BTreeMap<MemberName, Member<W>>,
    pub(super) promotion: Option<Promotion>,
    /// The member that last acted as primary.
    pub(super) proven_primary: Option<MemberName>,
    pub(super) not_primary_until: BTreeMap<MemberName, Instant>,
    /// Statements that wait for a slot here.
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
            preferences: ReaderPreferences::of(gateway),
        }
    }

    /// Whether a member is the primary as far as is known: any may be while none has proved to be.
    pub(super) fn may_lead(&self, name: &MemberName) -> bool {
        self.proven_primary.as_ref().is_none_or(|primary| primary == name)
    }

    /// A member acted as only the primary can; says whether that is news.
    pub(super) fn note_primary(&mut self, name: &MemberName) -> bool {
        let is_news = self.proven_primary.as_ref() != Some(name);
        if is_news {
            self.proven_primary = Some(name.clone());
        }
        self.not_primary_until.remove(name);
        is_news
    }

    /// A member refused what only the primary takes.
    pub(super) fn note_not_primary(&mut self, name: &MemberName) {
        if self.proven_primary.as_ref() == Some(name) {
            self.proven_primary = None;
        }
        self.not_primary_until.insert(name.clone(), Instant::now() + NOT_PRIMARY_PAUSE);
    }

    /// Takes what control says of the primary: what was seen of the last one no longer counts.
    pub(super) fn follow_promotion(&mut self, promotion: Option<&Promotion>) {
        if self.promotion.as_ref() == promotion {
            return;
        }
        self.members.values_mut().for_each(|member| member.detour = Default::default());
        self.promotion = promotion.cloned();
        self.not_primary_until.clear();
        self.proven_primary = None;
    }

    /// What serves a statement that waits here.
    pub(super) fn capacity(&self, target: &SlotTarget) -> Capacity {
        let serves = |name: &MemberName| match target {
            SlotTarget::At(wanted) => wanted == name,
            SlotTarget::Primary => self.may_lead(name),
            SlotTarget::AnyBut(refused) => !refused.contains(name),
        };
        let members = self.members.iter().filter(|(name, _)| serves(name));
        Capacity { slots: members.map(|(_, member)| member.slots()).sum() }
    }

    /// Wakes the first who could use a connection to this member.
    pub(super) fn wake_next(&mut self, now: Timestamp, name: &MemberName) {
        let may_lead = self.may_lead(name);
        let Some(member) = self.members.get_mut(name) else { return };
        // A member that is leaving gets no new work through those who wait.
        if !member.pauses.takes_reads(Instant::now()) {
            return;
        }
        while let Some(waker) = self.waiting.next(now, name, may_lead) {
            member.pool.reserve();
            if waker.send(name.clone()).is_ok() {
                return;
            }
            member.pool.release_reserved();
        }
    }

    /// A place that was kept for a waiter is not taken.
    pub(super) fn release_reserved(&mut self, now: Timestamp, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.pool.release_reserved();
        }
        self.wake_next(now, name);
    }
}
