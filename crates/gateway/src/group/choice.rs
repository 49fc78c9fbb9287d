//! Chooses the member of a group that serves a request, and the next step towards a connection to it.
//!
//! The choice goes in this order: first the member (by the rules of [`choose_primary`] and
//! [`choose_available_reader`] in [`corktack_core::gateway`]), then whether other gateways have to be asked,
//! then whether there is room. Nothing here waits or sends; [`acquire`](super::acquire) carries the step out.

use super::request::{ConnectionRequest, RemoteMember, Target};
use super::state::GroupState;
use crate::clock::SteadyClock;
use crate::connection::MemberConnection;
use crate::member::Member;
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::gateway::{
    Holder, IndirectRouteStep, MemberLoad, PrimaryCandidate, PrimaryEvidence, ReaderCandidate,
    choose_available_reader, choose_primary,
};
use corktack_core::identity::MemberName;
use corktack_core::registry::{BackEndRole, RegisteredBackEnd};
use corktack_core::tenancy::Principal;
use corktack_core::time::Timestamp;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::time::Instant;

/// Most gateways that are asked for one statement. With fewer, the request fails while a holder that would
/// answer is left; with more, a statement spends its time on a member that none of them serves.
const MAX_HOLDERS_ASKED: usize = 3;

/// A connection of this gateway that a request may use.
pub(super) enum LocalConnection<W: Wire> {
    /// An idle connection, taken out of the pool.
    Idle(MemberName, Box<MemberConnection<W>>),
    /// A connection to be opened; the pool counts it as open already.
    ToOpen(MemberName, Arc<RegisteredBackEnd>),
}

/// The next step towards a connection.
pub(super) enum Step<W: Wire> {
    /// Use a connection of this gateway.
    UseLocal(LocalConnection<W>),
    /// Ask the gateways that hold connections to the member.
    Remote(RemoteMember),
    /// As [`Step::Remote`], and connect to the member in the background: it may be reachable again.
    RemoteAndReconnect(RemoteMember, Arc<RegisteredBackEnd>),
    /// None of the gateways that hold connections to the member answers.
    NoHolder(MemberName),
    /// The member accepts no connection of this gateway; other gateways may have one.
    Full(MemberName),
    /// Wait for a free connection or slot.
    Wait,
    /// No member that could serve the request is known.
    NoMember,
}

impl<W: Wire> GroupState<W> {
    /// Returns the next step towards a connection for a request.
    pub(super) fn choose_step(
        &mut self,
        request: &ConnectionRequest<'_>,
        settings: &GatewaySettings,
        clock: SteadyClock,
        tunnels: &Tunnels,
    ) -> Step<W> {
        let now = Instant::now();
        let chosen = match &request.target {
            Target::Primary => self.select_primary(now, settings, clock),
            Target::Reader { refused } => {
                self.select_reader(now, clock.timestamp_of(now), request, refused)
            }
            Target::Held(member) => self.select_held(member, now, settings),
        };
        let Some(name) = chosen else { return Step::NoMember };
        let Some(member) = self.members.get_mut(&name) else { return Step::NoMember };
        member.end_fallback_if_over(now);
        if !member.holds_connections() {
            return remote_step(name, member, request, tunnels);
        }
        if let Some(holders) = home_holders(member, request, settings, tunnels) {
            return Step::Remote(RemoteMember { name, holders });
        }
        if request.target == Target::Primary && member.needs_indirect_route(now) {
            return indirect_route_step(name, member, now, clock, tunnels);
        }
        if member.is_full_without_connections(now)
            && let Some(step) = full_member_step(&name, member, request, tunnels)
        {
            return step;
        }
        if !member.has_room(now, request.needs_slot) {
            return Step::Wait;
        }
        take_connection(name, member, request).map_or(Step::Wait, Step::UseLocal)
    }

    /// Takes the place that was reserved for a waiter; returns none if the request has to keep waiting.
    pub(super) fn take_reserved(
        &mut self,
        name: &MemberName,
        request: &ConnectionRequest<'_>,
        settings: &GatewaySettings,
    ) -> Option<LocalConnection<W>> {
        let member = self.members.get_mut(name)?;
        member.pool.release_reserved();
        let now = Instant::now();
        let is_able = match &request.target {
            Target::Reader { refused } => {
                member.pauses.accepts_reads(now) && !refused.contains(name)
            }
            Target::Primary | Target::Held(_) => {
                member.pauses.accepts_writes(now, settings.drain_limit)
            }
        };
        if !is_able || !member.has_room(now, request.needs_slot) {
            return None;
        }
        take_connection(name.clone(), member, request)
    }

    /// Returns the member that another gateway asked for, if this gateway holds connections to it and the
    /// member takes writes.
    fn select_held(
        &self,
        name: &MemberName,
        now: Instant,
        settings: &GatewaySettings,
    ) -> Option<MemberName> {
        let member = self.members.get(name)?;
        let accepts_writes = member.pauses.accepts_writes(now, settings.drain_limit);
        (member.holds_connections() && accepts_writes).then(|| name.clone())
    }

    /// Selects the member to try as primary.
    fn select_primary(
        &self,
        now: Instant,
        settings: &GatewaySettings,
        clock: SteadyClock,
    ) -> Option<MemberName> {
        let candidates = self.members.iter().map(|(name, member)| {
            let is_closed = member.indirect_route.clone().step(clock.timestamp_of(now))
                == IndirectRouteStep::Unreachable;
            let candidate = PrimaryCandidate {
                evidence: self.primary_evidence(name, member),
                is_drain_over: member.pauses.is_drain_over(now, settings.drain_limit),
                denied_lately: self.not_primary_until.get(name).is_some_and(|until| now < *until),
                is_reached: member.pauses.accepts_writes(now, settings.drain_limit),
                has_indirect_route: member.needs_indirect_route(now) && !is_closed,
            };
            (name, candidate)
        });
        choose_primary(candidates).cloned()
    }

    /// Returns the strongest evidence that a member is the primary.
    fn primary_evidence(&self, name: &MemberName, member: &Member<W>) -> PrimaryEvidence {
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

    /// Selects the member to send a read to.
    fn select_reader(
        &mut self,
        now: Instant,
        steady: Timestamp,
        request: &ConnectionRequest<'_>,
        refused: &BTreeSet<MemberName>,
    ) -> Option<MemberName> {
        let preferred =
            self.preferences.next_preference(request.principal.and_then(Principal::tenant));
        let able_members = self
            .members
            .iter()
            .filter(|(name, member)| member.pauses.accepts_reads(now) && !refused.contains(*name));
        let candidate = |(name, member): (_, &Member<W>)| {
            let load = MemberLoad { preference: preferred.weight(name), ..member.load(steady) };
            let candidate = ReaderCandidate {
                load,
                is_passed_over: member.pauses.is_passed_over(now),
                has_room: member.has_room(now, true),
            };
            (name, candidate)
        };
        let (names, candidates): (Vec<_>, Vec<_>) = able_members.map(candidate).unzip();
        choose_available_reader(&candidates).map(|index| names[index].clone())
    }
}

/// Returns the gateways that keep the connections of the request's tenant to a member; none if this gateway
/// keeps them, or has an idle connection for the tenant.
fn home_holders<W: Wire>(
    member: &Member<W>,
    request: &ConnectionRequest<'_>,
    settings: &GatewaySettings,
    tunnels: &Tunnels,
) -> Option<Vec<Holder>> {
    let tenant = request.principal?.tenant()?;
    if matches!(request.target, Target::Held(_)) || member.pool.has_idle_for(request.principal) {
        return None;
    }
    let homes = tunnels.candidates_for_tenant(
        &member.holders,
        tenant,
        Some(settings.peers),
        MAX_HOLDERS_ASKED,
    );
    (!homes.is_empty()).then_some(homes)
}

/// Returns the step for a member that this gateway holds no connections to.
fn remote_step<W: Wire>(
    name: MemberName,
    member: &Member<W>,
    request: &ConnectionRequest<'_>,
    tunnels: &Tunnels,
) -> Step<W> {
    let holders = match request.principal.and_then(Principal::tenant) {
        Some(tenant) => {
            tunnels.candidates_for_tenant(&member.holders, tenant, None, MAX_HOLDERS_ASKED)
        }
        None => tunnels.candidates(&member.holders, MAX_HOLDERS_ASKED),
    };
    if holders.is_empty() {
        return Step::NoHolder(name);
    }
    Step::Remote(RemoteMember { name, holders })
}

/// Returns the step for a full member that this gateway may hold connections to and has none: a request for
/// the primary goes to other gateways, which may have a connection, and another gateway is told at once to
/// ask the next holder. None if the request can only wait.
///
/// After a power loss, connections of the lost machines fill a member's connection cap for some seconds.
/// Without this step, a gateway that has no connection refuses writes until these connections are dropped,
/// and reads too, because it learns no position. Together with the relays for positions
/// (`HolderChoice::region_relay`), this raised the value of the requests served (0 to 1) in the worst seconds
/// from 0.799 to 0.808 (21 days, 9 gateways), when a full holder answered `NotHeld` rather than `NoneFree`.
fn full_member_step<W: Wire>(
    name: &MemberName,
    member: &Member<W>,
    request: &ConnectionRequest<'_>,
    tunnels: &Tunnels,
) -> Option<Step<W>> {
    match request.target {
        Target::Held(_) => Some(Step::Full(name.clone())),
        Target::Primary => {
            let holders = tunnels.candidates(&member.holders, MAX_HOLDERS_ASKED);
            let remote = RemoteMember { name: name.clone(), holders };
            (!remote.holders.is_empty()).then_some(Step::Remote(remote))
        }
        Target::Reader { .. } => None,
    }
}

/// Returns the step for a primary that this gateway holds connections to and does not reach.
fn indirect_route_step<W: Wire>(
    name: MemberName,
    member: &mut Member<W>,
    now: Instant,
    clock: SteadyClock,
    tunnels: &Tunnels,
) -> Step<W> {
    match member.indirect_route.step(clock.timestamp_of(now)) {
        IndirectRouteStep::Wait => Step::Wait,
        IndirectRouteStep::Unreachable => Step::NoMember,
        IndirectRouteStep::Send => {
            let holders = tunnels.candidates(&member.holders, MAX_HOLDERS_ASKED);
            let remote = RemoteMember { name, holders };
            match member.begin_reconnect(now) {
                None => Step::Remote(remote),
                Some(back_end) => Step::RemoteAndReconnect(remote, back_end),
            }
        }
    }
}

/// Takes an idle connection, or a place for a new one; returns none if there is neither.
fn take_connection<W: Wire>(
    name: MemberName,
    member: &mut Member<W>,
    request: &ConnectionRequest<'_>,
) -> Option<LocalConnection<W>> {
    if let Some(connection) = member.pool.take_idle(request.session, request.principal) {
        return Some(LocalConnection::Idle(name, Box::new(connection)));
    }
    if !member.may_open(Instant::now()) && !member.pool.close_longest_idle() {
        return None;
    }
    member.pool.begin_opening();
    Some(LocalConnection::ToOpen(name, Arc::clone(&member.back_end)))
}
