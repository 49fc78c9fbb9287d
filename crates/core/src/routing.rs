//! Which member of a group serves a transaction, and which proxies observe a group.
//!
//! Inputs: the positions, reachability and load that an owner knows of each member, and the position that a session
//! must see. Owns that knowledge for one group. Relies on the owner to note every answer. This is the PostgreSQL
//! road; gateways choose by [`crate::gateway`].

mod observers;

pub use observers::SecondObservers;

use crate::distance::Distance;
use crate::identity::{GroupName, MemberName, ProxyName, ZoneName};
use crate::position::{Position, Term};
use crate::view::{GroupView, ProxyState, View};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// What is known of one member.
#[derive(Clone, Debug, Default)]
pub struct MemberKnowledge {
    /// Highest position it reported as applied or committed.
    pub position: Option<Position>,
    /// Whether it answered last.
    pub reachable: bool,
    /// Whether it last said that it is primary, and of which term.
    pub primary_term: Option<Term>,
    /// Transactions that run there.
    pub busy: u32,
}

/// Where a read goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// A replica that is known to hold the session's position.
    Replica(MemberName),
    /// No replica is known to be far enough, but one may catch up.
    Behind,
    /// No replica answers, or all are draining.
    Unavailable,
}

/// Knowledge of all members of one group.
#[derive(Debug, Default)]
pub struct RoutingTable {
    members: BTreeMap<MemberName, MemberKnowledge>,
}

impl RoutingTable {
    /// Takes over the members of a view. A change of primary leaves the other
    /// knowledge as it is: committed positions only grow.
    pub fn set_members(&mut self, group: &GroupView) {
        let declared = &group.spec.members;
        self.members.retain(|name, _| declared.iter().any(|member| &member.name == name));
        for member in declared {
            self.members.entry(member.name.clone()).or_default();
        }
    }

    /// What is known of a member.
    #[must_use]
    pub fn member(&self, name: &MemberName) -> Option<&MemberKnowledge> {
        self.members.get(name)
    }

    /// Merges a reported position; the member answered, so it is reachable.
    /// True when its known position rose.
    pub fn learn_position(&mut self, name: &MemberName, position: Position) -> bool {
        let Some(member) = self.members.get_mut(name) else {
            return false;
        };
        member.reachable = true;
        let before = member.position;
        let merged = before.map_or(position, |known| known.merge(position));
        member.position = Some(merged);
        before != Some(merged)
    }

    /// Replaces a position that was trusted too far: the member restarted, or
    /// answered a read below it.
    pub fn reset_position(&mut self, name: &MemberName, position: Option<Position>) {
        if let Some(member) = self.members.get_mut(name) {
            member.position = position;
        }
    }

    /// Records whether a member answers.
    pub fn set_reachable(&mut self, name: &MemberName, reachable: bool) {
        if let Some(member) = self.members.get_mut(name) {
            member.reachable = reachable;
        }
    }

    /// Records the term under which a member says it is primary.
    pub fn set_primary_term(&mut self, name: &MemberName, term: Option<Term>) {
        if let Some(member) = self.members.get_mut(name) {
            member.primary_term = term;
        }
    }

    /// Counts a transaction that starts there.
    pub fn started(&mut self, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.busy += 1;
        }
    }

    /// Counts a transaction that ended there.
    pub fn ended(&mut self, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.busy = member.busy.saturating_sub(1);
        }
    }

    /// The replica for a read: it covers `minimum`, answers and is not draining;
    /// the nearest zone first, then the least busy, then the first by name.
    #[must_use]
    pub fn route_read(
        &self,
        group: &GroupView,
        own_zone: &ZoneName,
        minimum: Position,
    ) -> ReadRoute {
        let serving = group.spec.members.iter().filter(|member| self.serves(group, &member.name));
        let mut candidates = serving.peekable();
        if candidates.peek().is_none() {
            return ReadRoute::Unavailable;
        }
        let nearest =
            candidates.filter(|member| self.covers(&member.name, minimum)).min_by_key(|member| {
                let busy = self.members.get(&member.name).map_or(0, |known| known.busy);
                (Distance::between(own_zone, &member.zone), busy, &member.name)
            });
        nearest.map_or(ReadRoute::Behind, |member| ReadRoute::Replica(member.name.clone()))
    }

    /// Whether the member answered last.
    #[must_use]
    pub fn is_reachable(&self, name: &MemberName) -> bool {
        self.members.get(name).is_some_and(|known| known.reachable)
    }

    /// Whether the member's known position covers `minimum`.
    #[must_use]
    pub fn covers(&self, name: &MemberName, minimum: Position) -> bool {
        let position = self.members.get(name).and_then(|known| known.position);
        position.is_some_and(|position| position.covers(minimum))
    }

    fn serves(&self, group: &GroupView, name: &MemberName) -> bool {
        let is_primary = group.primary.as_ref() == Some(name);
        self.is_reachable(name) && !is_primary && !is_draining(group, name)
    }
}

/// Whether a member gets no new transactions.
#[must_use]
pub fn is_draining(group: &GroupView, name: &MemberName) -> bool {
    let declared = group.spec.members.iter().find(|member| &member.name == name);
    declared.is_none_or(|member| member.draining) || group.draining.contains(name)
}

/// Weight of a proxy for a group in a rendezvous hash; the same on every machine.
#[must_use]
pub fn observer_weight(group: &GroupName, proxy: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new();
    group.as_str().hash(&mut hasher);
    proxy.as_str().hash(&mut hasher);
    hasher.finish()
}

/// The second observer of a group: the live proxy of the highest weight that is
/// not its owner. [`SecondObservers`] gives the same without weighing all each time.
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
