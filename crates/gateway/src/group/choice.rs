//! Which member of a group serves a request, and what is done to get a connection to it.
//!
//! It is for [`acquire`](super::acquire), which carries the decision out. It owns the order of the reasons:
//! the member first (the rules are in [`corktack_core::gateway`]: [`choose_primary`],
//! [`choose_available_reader`]), then whether others have to be asked, then whether there is room. Nothing
//! here waits or sends. It relies on [`GroupState`] for what is known.

use super::request::{ConnectionRequest, RemoteMember, Target};
use super::state::GroupState;
use crate::clock::SteadyClock;
use crate::connection::MemberConnection;
use crate::member::Member;
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::gateway::{
    DetourStep, Holder, MemberLoad, PrimaryCandidate, PrimaryEvidence, ReaderCandidate,
    choose_available_reader, choose_primary,
};
use corktack_core::identity::MemberName;
use corktack_core::registry::{BackEndRole, RegisteredBackEnd};
use corktack_core::tenancy::Principal;
use corktack_core::time::Timestamp;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::time::Instant;

/// Gateways that are asked for one statement. Chosen, not measured: fewer give up while a holder is left
/// that answers, more spend a statement's time on a member that none of them serves.
const HOLDERS_ASKED: usize = 3;

/// A connection of this gateway that a request may use.
pub(super) enum Taken<W: Wire> {
    /// One that was idle.
    Idle(MemberName, MemberConnection<W>),
    /// One that is to be opened; it counts as open already.
    ToOpen(MemberName, Arc<RegisteredBackEnd>),
}

/// The next step towards a connection.
pub(super) enum Step<W: Wire> {
    /// Use a connection of this gateway.
    Take(Taken<W>),
    /// Ask the gateways that hold connections to it.
    Remote(RemoteMember),
    /// As [`Step::Remote`], and connect to it beside that: it may be reached again.
    RemoteAndCheck(RemoteMember, Arc<RegisteredBackEnd>),
    /// None of those gateways answers.
    NoHolder(MemberName),
    /// The member takes no connection of this gateway, and others may have one.
    Full(MemberName),
    /// Wait for room.
    Wait,
    /// No member that could serve is there.
    NoMember,
}

impl<W: Wire> GroupState<W> {
    /// The next step towards a connection for a request.
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
            return remote(name, member, request, tunnels);
        }
        if let Some(holders) = homes(member, request, settings, tunnels) {
            return Step::Remote(RemoteMember { name, holders });
        }
        if request.target == Target::Primary && member.needs_detour(now) {
            return detour(name, member, now, clock, tunnels);
        }
        if member.is_kept_out(now)
            && let Some(step) = kept_out(&name, member, request, tunnels)
        {
            return step;
        }
        if !member.has_room(now, request.needs_slot) {
            return Step::Wait;
        }
        take(name, member, request).map_or(Step::Wait, Step::Take)
    }

    /// Takes the place that was kept for a waiter; none where it has to wait on.
    pub(super) fn take_reserved(
        &mut self,
        name: &MemberName,
        request: &ConnectionRequest<'_>,
        settings: &GatewaySettings,
    ) -> Option<Taken<W>> {
        let member = self.members.get_mut(name)?;
        member.pool.release_reserved();
        let now = Instant::now();
        let able = match &request.target {
            Target::Reader { refused } => member.pauses.takes_reads(now) && !refused.contains(name),
            Target::Primary | Target::Held(_) => {
                member.pauses.takes_writes(now, settings.drain_limit)
            }
        };
        if !able || !member.has_room(now, request.needs_slot) {
            return None;
        }
        take(name.clone(), member, request)
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
        (member.holds_connections() && takes_writes).then(|| name.clone())
    }

    /// The member to try as primary.
    fn primary(
        &self,
        now: Instant,
        settings: &GatewaySettings,
        clock: SteadyClock,
    ) -> Option<MemberName> {
        let candidates = self.members.iter().map(|(name, member)| {
            let is_closed = member.detour.clone().step(clock.at(now)) == DetourStep::Closed;
            let candidate = PrimaryCandidate {
                evidence: self.evidence(name, member),
                has_left: member.pauses.has_left(now, settings.drain_limit),
                denied_lately: self.not_primary_until.get(name).is_some_and(|until| now < *until),
                is_reached: member.pauses.takes_writes(now, settings.drain_limit),
                has_detour: member.needs_detour(now) && !is_closed,
            };
            (name, candidate)
        });
        choose_primary(candidates).cloned()
    }

    /// What speaks for a member as the primary.
    fn evidence(&self, name: &MemberName, member: &Member<W>) -> PrimaryEvidence {
        if self.proven_primary.as_ref() == Some(name) {
            PrimaryEvidence::Proven
        } else if self.promotion.as_ref().is_some_and(|promotion| promotion.target == *name) {
            PrimaryEvidence::Promoted
        } else if member.back_end.role == BackEndRole::Primary {
            PrimaryEvidence::Registered
        } else {
            PrimaryEvidence::None
        }
    }

    /// The member to offer a read to.
    fn reader(
        &mut self,
        now: Instant,
        steady: Timestamp,
        request: &ConnectionRequest<'_>,
        refused: &BTreeSet<MemberName>,
    ) -> Option<MemberName> {
        let preferred = self.preferences.next(request.principal.and_then(Principal::tenant));
        let able = self
            .members
            .iter()
            .filter(|(name, member)| member.pauses.takes_reads(now) && !refused.contains(*name));
        let candidate = |(name, member): (_, &Member<W>)| {
            let load = MemberLoad { preference: preferred.weight(name), ..member.load(steady) };
            let candidate = ReaderCandidate {
                load,
                is_passed_over: member.pauses.is_passed_over(now),
                has_room: member.has_room(now, true),
            };
            (name, candidate)
        };
        let (names, candidates): (Vec<_>, Vec<_>) = able.map(candidate).unzip();
        choose_available_reader(&candidates).map(|place| names[place].clone())
    }
}

/// The gateways that keep the connections of the request's tenant to a member; none where this one
/// does, or has one that is idle.
fn homes<W: Wire>(
    member: &Member<W>,
    request: &ConnectionRequest<'_>,
    settings: &GatewaySettings,
    tunnels: &Tunnels,
) -> Option<Vec<Holder>> {
    let tenant = request.principal?.tenant()?;
    if matches!(request.target, Target::Held(_)) || member.pool.has_idle_for(request.principal) {
        return None;
    }
    let homes = tunnels.to_ask_for(&member.holders, tenant, Some(settings.peers), HOLDERS_ASKED);
    (!homes.is_empty()).then_some(homes)
}

/// The step where this gateway holds no connections to the member.
fn remote<W: Wire>(
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
    Step::Remote(RemoteMember { name, holders })
}

/// The step where this gateway may hold connections to a member and gets none: for the primary others are
/// asked that may have one, and another gateway is told at once to ask the next. None where waiting is left.
///
/// After a loss of power connections of the machines that are gone fill a member's cap for some seconds. A
/// gateway that got none then refused writes, and reads for want of a position, until they were dropped. On 21
/// played days of 9 gateways the worst seconds earned 0.808 in place of 0.799 together with relays for positions
/// (`HolderChoice::region_relay`), where a holder that is kept out answered that it holds no connections; not
/// measured by itself since it answers that it has no room.
fn kept_out<W: Wire>(
    name: &MemberName,
    member: &Member<W>,
    request: &ConnectionRequest<'_>,
    tunnels: &Tunnels,
) -> Option<Step<W>> {
    match request.target {
        Target::Held(_) => Some(Step::Full(name.clone())),
        Target::Primary => {
            let holders = tunnels.to_ask(&member.holders, HOLDERS_ASKED);
            let remote = RemoteMember { name: name.clone(), holders };
            (!remote.holders.is_empty()).then_some(Step::Remote(remote))
        }
        Target::Reader { .. } => None,
    }
}

/// The step where this gateway holds connections to the primary and does not reach it.
fn detour<W: Wire>(
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
            let remote = RemoteMember { name, holders };
            match member.due_check(now) {
                None => Step::Remote(remote),
                Some(back_end) => Step::RemoteAndCheck(remote, back_end),
            }
        }
    }
}

/// Takes an idle connection, or room for a new one; none where there is neither.
fn take<W: Wire>(
    name: MemberName,
    member: &mut Member<W>,
    request: &ConnectionRequest<'_>,
) -> Option<Taken<W>> {
    if let Some(connection) = member.pool.take_idle(request.session, request.principal) {
        return Some(Taken::Idle(name, connection));
    }
    if !member.may_open(Instant::now()) && !member.pool.close_longest_idle() {
        return None;
    }
    member.pool.begin_opening();
    Some(Taken::ToOpen(name, Arc::clone(&member.back_end)))
}
