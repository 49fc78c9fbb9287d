//! Which member of a group serves a transaction, and which proxies observe a group.
//!
//! A read is routed by the position, reachability and load of each member and by the position that
//! the session must see. The routing table of a group is held by its owner, which must record every
//! answer of a member. The module serves the PostgreSQL protocol; gateways route by
//! [`crate::gateway`].

mod observers;

pub use observers::SecondObservers;

use crate::distance::Distance;
use crate::identity::{GroupName, MemberName, ProxyName, ZoneName};
use crate::position::{Position, Term};
use crate::view::{GroupView, ProxyState, View};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Last known state of one member.
#[derive(Clone, Debug, Default)]
pub struct MemberKnowledge {
    /// Highest position that the member reported as applied or committed.
    pub position: Option<Position>,
    /// Whether the member answered the last request.
    pub reachable: bool,
    /// Term under which the member last reported to be primary; none if it did not.
    pub primary_term: Option<Term>,
    /// Number of transactions that run on the member.
    pub busy: u32,
}

/// Target of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// The replica is known to hold the session's position.
    Replica(MemberName),
    /// No replica is known to hold the session's position, but one may catch up.
    Behind,
    /// No replica is reachable, or all reachable replicas are draining.
    Unavailable,
}

/// Last known state of all members of one group.
#[derive(Debug, Default)]
pub struct RoutingTable {
    members: BTreeMap<MemberName, MemberKnowledge>,
}

impl RoutingTable {
    /// Sets the members to those of a view. A change of primary keeps the positions
    /// and the other state of the members: committed positions only grow.
    pub fn set_members(&mut self, group: &GroupView) {
        let declared = &group.spec.members;
        self.members.retain(|name, _| declared.iter().any(|member| &member.name == name));
        for member in declared {
            self.members.entry(member.name.clone()).or_default();
        }
    }

    /// Returns the last known state of a member.
    #[must_use]
    pub fn member(&self, name: &MemberName) -> Option<&MemberKnowledge> {
        self.members.get(name)
    }

    /// Merges a reported position and marks the member as reachable, as it answered.
    /// Returns whether the known position of the member rose.
    pub fn merge_position(&mut self, name: &MemberName, position: Position) -> bool {
        let Some(member) = self.members.get_mut(name) else {
            return false;
        };
        member.reachable = true;
        let before = member.position;
        let merged = before.map_or(position, |known| known.merge(position));
        member.position = Some(merged);
        before != Some(merged)
    }

    /// Replaces a position that is too high: the member restarted, or
    /// answered a read below that position.
    pub fn reset_position(&mut self, name: &MemberName, position: Option<Position>) {
        if let Some(member) = self.members.get_mut(name) {
            member.position = position;
        }
    }

    /// Records whether a member is reachable.
    pub fn set_reachable(&mut self, name: &MemberName, reachable: bool) {
        if let Some(member) = self.members.get_mut(name) {
            member.reachable = reachable;
        }
    }

    /// Records the term under which a member reports to be primary.
    pub fn set_primary_term(&mut self, name: &MemberName, term: Option<Term>) {
        if let Some(member) = self.members.get_mut(name) {
            member.primary_term = term;
        }
    }

    /// Counts a transaction that starts on the member.
    pub fn record_transaction_start(&mut self, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.busy += 1;
        }
    }

    /// Counts a transaction that ended on the member.
    pub fn record_transaction_end(&mut self, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.busy = member.busy.saturating_sub(1);
        }
    }

    /// Returns the replica for a read, among those that cover `minimum`, are reachable and are
    /// not draining: the nearest by zone, then the least busy, then the first by name.
    #[must_use]
    pub fn route_read(
        &self,
        group: &GroupView,
        own_zone: &ZoneName,
        minimum: Position,
    ) -> ReadRoute {
        let serving =
            group.spec.members.iter().filter(|member| self.serves_reads(group, &member.name));
        let mut candidates = serving.peekable();
        if candidates.peek().is_none() {
            return ReadRoute::Unavailable;
        }
        let nearest =
            candidates.filter(|member| self.covers(&member.name, minimum)).min_by_key(|member| {
                let busy = self.members.get(&member.name).map_or(0, |member| member.busy);
                (Distance::between(own_zone, &member.zone), busy, &member.name)
            });
        nearest.map_or(ReadRoute::Behind, |member| ReadRoute::Replica(member.name.clone()))
    }

    /// Reports whether the member answered the last request.
    #[must_use]
    pub fn is_reachable(&self, name: &MemberName) -> bool {
        self.members.get(name).is_some_and(|member| member.reachable)
    }

    /// Reports whether the member's known position covers `minimum`.
    #[must_use]
    pub fn covers(&self, name: &MemberName, minimum: Position) -> bool {
        let position = self.members.get(name).and_then(|member| member.position);
        position.is_some_and(|position| position.covers(minimum))
    }

    fn serves_reads(&self, group: &GroupView, name: &MemberName) -> bool {
        let is_primary = group.primary.as_ref() == Some(name);
        self.is_reachable(name) && !is_primary && !is_draining(group, name)
    }
}

/// Reports whether a member gets no new transactions: it is draining or not declared.
#[must_use]
pub fn is_draining(group: &GroupView, name: &MemberName) -> bool {
    let declared = group.spec.members.iter().find(|member| &member.name == name);
    declared.is_none_or(|member| member.draining) || group.draining.contains(name)
}

/// Returns the weight of a proxy for a group in the rendezvous hash, which is the same on every machine.
#[must_use]
pub fn observer_weight(group: &GroupName, proxy: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new();
    group.as_str().hash(&mut hasher);
    proxy.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Returns the second observer of a group: the live proxy of the highest weight that is
/// not its owner. [`SecondObservers`] returns the same without computing all weights each time.
#[must_use]
pub fn second_observer<'view>(
    view: &'view View,
    name: &GroupName,
    group: &GroupView,
) -> Option<&'view ProxyName> {
    let live = view.proxies.iter().filter(|(_, proxy)| proxy.state == ProxyState::Live);
    let others = live.map(|(proxy, _)| proxy).filter(|proxy| group.owner.as_ref() != Some(proxy));
    others.max_by_key(|proxy| observer_weight(name, proxy))
}
