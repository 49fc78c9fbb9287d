//! Which member of a group serves a request, and who is woken when one has room.

use super::{ConnectionRequest, Target};
use crate::clock::SteadyClock;
use crate::connection::MemberConnection;
use crate::member::Member;
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::gateway::{DetourStep, Holder, MemberLoad, ReaderPreferences, choose_reader};
use corktack_core::identity::MemberName;
use corktack_core::registry::{BackEndRole, Promotion, RegisteredBackEnd};
use corktack_core::scheduling::{Capacity, ServiceTimes, SlotQueue, SlotTarget};
use corktack_core::tenancy::Principal;
use corktack_core::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Gateways that are asked for one statement.
const HOLDERS_ASKED: usize = 3;
/// Rank of a member that nothing says is the primary.
const UNKNOWN_RANK: u8 = 3;

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

/// The next step towards a connection.
pub(super) enum Step<W: Wire> {
    Use(MemberName, MemberConnection<W>),
    Dial(MemberName, Arc<RegisteredBackEnd>),
    /// Ask the gateways that hold connections to it.
    Remote(MemberName, Vec<Holder>),
    /// As [`Step::Remote`], and connect to it beside that: it may be reached again.
    RemoteAndCheck(MemberName, Vec<Holder>, Arc<RegisteredBackEnd>),
    /// None of those gateways answers.
    NoHolder(MemberName),
    Wait,
    NoMember,
}

impl<W: Wire> GroupState<W> {
    pub(super) fn step(
        &mut self,
        request: &ConnectionRequest<'_>,
        settings: &GatewaySettings,
        clock: SteadyClock,
        tunnels: &Tunnels,
    ) -> Step<W> {
        let now = Instant::now();
        let chosen = match &request.target {
            Target::Primary => self.primary(now, settings, clock),
            Target::Reader { refused } => self.reader(now, clock.at(now), request, refused),
            Target::Held(member) => self.held(member, now, settings),
        };
        let Some(name) = chosen else { return Step::NoMember };
        let Some(member) = self.members.get_mut(&name) else { return Step::NoMember };
        member.end_fallback_if_over(now);
        if !member.holds_connections() {
            return Self::remote(name, member, request, tunnels);
        }
        if let Some(homes) = Self::homes(member, request, settings, tunnels) {
            return Step::Remote(name, homes);
        }
        if request.target == Target::Primary && member.needs_detour(now) {
            return Self::detour(name, member, now, clock, tunnels);
        }
        if !member.has_room(now, request.needs_slot) {
            return Step::Wait;
        }
        Self::take(name, member, request)
    }

    /// The gateways that keep the connections of the request's tenant to a member; none where this one
    /// does, or has one that is idle.
    fn homes(
        member: &Member<W>,
        request: &ConnectionRequest<'_>,
        settings: &GatewaySettings,
        tunnels: &Tunnels,
    ) -> Option<Vec<Holder>> {
        let tenant = request.principal?.tenant()?;
        if matches!(request.target, Target::Held(_)) || member.pool.has_idle_for(request.principal)
        {
            return None;
        }
        let homes =
            tunnels.to_ask_for(&member.holders, tenant, Some(settings.peers), HOLDERS_ASKED);
        (!homes.is_empty()).then_some(homes)
    }

    fn remote(
        name: MemberName,
        member: &Member<W>,
        request: &ConnectionRequest<'_>,
        tunnels: &Tunnels,
    ) -> Step<W> {
        let holders = match request.principal.and_then(Principal::tenant) {
            Some(tenant) => tunnels.to_ask_for(&member.holders, tenant, None, HOLDERS_ASKED),
            None => tunnels.to_ask(&member.holders, HOLDERS_ASKED),
        };
        if holders.is_empty() {
            return Step::NoHolder(name);
        }
        Step::Remote(name, holders)
    }

    fn detour(
        name: MemberName,
        member: &mut Member<W>,
        now: Instant,
        clock: SteadyClock,
        tunnels: &Tunnels,
    ) -> Step<W> {
        match member.detour.step(clock.at(now)) {
            DetourStep::Wait => Step::Wait,
            DetourStep::Closed => Step::NoMember,
            DetourStep::Take => {
                let holders = tunnels.to_ask(&member.holders, HOLDERS_ASKED);
                match member.due_check(now) {
                    None => Step::Remote(name, holders),
                    Some(back_end) => Step::RemoteAndCheck(name, holders, back_end),
                }
            }
        }
    }

    /// A member for another gateway, if this one holds connections to it and it takes any work.
    fn held(
        &self,
        name: &MemberName,
        now: Instant,
        settings: &GatewaySettings,
    ) -> Option<MemberName> {
        let member = self.members.get(name)?;
        let takes_writes = member.pauses.takes_writes(now, settings.drain_limit);
        let able = member.holds_connections() && takes_writes;
        able.then(|| name.clone())
    }

    /// Takes the place that was kept for a waiter.
    pub(super) fn take_reserved(
        &mut self,
        name: &MemberName,
        request: &ConnectionRequest<'_>,
        settings: &GatewaySettings,
    ) -> Step<W> {
        let Some(member) = self.members.get_mut(name) else { return Step::NoMember };
        member.pool.release_reserved();
        let now = Instant::now();
        let able = match &request.target {
            Target::Reader { refused } => member.pauses.takes_reads(now) && !refused.contains(name),
            Target::Primary | Target::Held(_) => {
                member.pauses.takes_writes(now, settings.drain_limit)
            }
        };
        if !able || !member.has_room(now, request.needs_slot) {
            return Step::Wait;
        }
        Self::take(name.clone(), member, request)
    }

    /// A place that was kept for a waiter is not taken.
    pub(super) fn release_reserved(&mut self, now: Timestamp, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.pool.release_reserved();
        }
        self.wake_next(now, name);
    }

    fn take(name: MemberName, member: &mut Member<W>, request: &ConnectionRequest<'_>) -> Step<W> {
        if let Some(connection) = member.pool.take_idle(request.session, request.principal) {
            return Step::Use(name, connection);
        }
        if !member.may_open(Instant::now()) && !member.pool.close_longest_idle() {
            return Step::Wait;
        }
        member.pool.begin_opening();
        Step::Dial(name, Arc::clone(&member.back_end))
    }

    /// The member to try as primary: the one that proved to be, the one promoted last, one that
    /// calls itself primary, then the others.
    fn primary(
        &self,
        now: Instant,
        settings: &GatewaySettings,
        clock: SteadyClock,
    ) -> Option<MemberName> {
        let promoted = self.promotion.as_ref().map(|promotion| &promotion.target);
        let rank = |name: &MemberName, member: &Member<W>| {
            if self.proven_primary.as_ref() == Some(name) {
                0
            } else if promoted == Some(name) {
                1
            } else if member.back_end.role == BackEndRole::Primary {
                2
            } else {
                UNKNOWN_RANK
            }
        };
        let excluded =
            |name: &MemberName| self.not_primary_until.get(name).is_some_and(|until| now < *until);
        // Others are asked only for a member that is known to lead.
        let detour = |name: &MemberName, member: &Member<W>| {
            let closed = member.detour.clone().step(clock.at(now)) == DetourStep::Closed;
            rank(name, member) < UNKNOWN_RANK && member.needs_detour(now) && !closed
        };
        let able = self.members.iter().filter(|(name, member)| {
            let left = member.pauses.has_left(now, settings.drain_limit);
            let reached = member.pauses.takes_writes(now, settings.drain_limit);
            !left && !excluded(name) && (reached || detour(name, member))
        });
        able.min_by_key(|(name, member)| rank(name, member)).map(|(name, _)| name.clone())
    }

    /// The member to offer a read to. Those that lagged or had no room come after the others.
    fn reader(
        &mut self,
        now: Instant,
        steady: Timestamp,
        request: &ConnectionRequest<'_>,
        refused: &BTreeSet<MemberName>,
    ) -> Option<MemberName> {
        let preferred = self.preferences.next(request.principal.and_then(Principal::tenant));
        let able: Vec<_> = self
            .members
            .iter()
            .filter(|(name, member)| member.pauses.takes_reads(now) && !refused.contains(*name))
            .collect();
        let choose = |able: Vec<(&MemberName, &Member<W>)>| {
            let load = |(name, member): &(&MemberName, &Member<W>)| MemberLoad {
                preference: preferred.weight(name),
                ..member.load(steady)
            };
            let loads: Vec<_> = able.iter().map(load).collect();
            choose_reader(&loads).map(|place| able[place].0.clone())
        };
        let good = able.iter().copied().filter(|(_, member)| !member.pauses.is_passed_over(now));
        let free = good.clone().filter(|(_, member)| member.has_room(now, true));
        choose(free.collect()).or_else(|| choose(good.collect())).or_else(|| choose(able))
    }

    /// What serves a statement that waits here.
    pub(super) fn capacity(&self, target: &SlotTarget) -> Capacity {
        let serves = |name: &MemberName| match target {
            SlotTarget::At(wanted) => wanted == name,
            SlotTarget::Primary => self.proven_primary.as_ref().is_none_or(|lead| lead == name),
            SlotTarget::AnyBut(refused) => !refused.contains(name),
        };
        let members = self.members.iter().filter(|(name, _)| serves(name));
        Capacity { slots: members.map(|(_, member)| member.slots()).sum() }
    }

    /// Wakes the first who could use a connection to this member.
    pub(super) fn wake_next(&mut self, now: Timestamp, name: &MemberName) {
        let may_lead = self.proven_primary.as_ref().is_none_or(|primary| primary == name);
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
}
