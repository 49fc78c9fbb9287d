//! Learns the position of the group's primary, which bounds the staleness of reads at replicas.
//!
//! A gateway that holds connections to a member of the group has to keep the reads there fresh. It asks the
//! primary, or a gateway that holds connections to the primary, in the background before the last answer is
//! too old; one request serves all reads. Reads wait for the answer if no position is known. Other gateways
//! ask for the position too. [`Freshness`](corktack_core::gateway::Freshness) chooses the answer that a read
//! has to see.

use super::{ConnectionRequest, Group, Lease, Location, RemoteMember, Target};
use crate::connection::MemberConnection;
use crate::error::AcquireError;
use crate::wire::Wire;
use corktack_core::distance::Distance;
use corktack_core::gateway::{ReadBound, ReadPosition, SessionProfile};
use corktack_core::identity::MemberName;
use corktack_core::position::Position;
use corktack_core::scheduling::StatementKind;
use corktack_core::statement::{Access, OwnStatement};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Fraction of a staleness bound after which the primary is asked again, so that reads find a position that
/// is recent enough, but not much more recent than necessary. A lower value asks the primary more often; a
/// higher one lets the position grow too old for some reads.
const REFRESH_FRACTION: f64 = 0.15;
/// Fraction of the refresh time that a position known by another gateway may be old. A lower value asks the
/// primary itself more often; a higher one makes positions older by that fraction.
const REPORTED_AGE_FRACTION: f64 = 0.5;
/// Timeout of a request for the primary's position. A shorter one gives up on a primary in another region; a
/// longer one keeps the next request waiting behind one that gets no answer.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum age of a position from a relay, several round trips between regions. A relay that reports an older
/// one gets no answers itself, and this gateway bypasses it and asks the primary. A lower value bypasses a
/// relay that is only slow; a higher one leaves the gateways of a region with the relay's old position.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(300);
/// Priority class of the gateway's own position requests: 0 is served first, as callers' reads depend on the
/// position.
const REFRESH_PRIORITY: u32 = 0;
/// Fraction of its remaining wait time that a read waits for the primary's position. A lower value sends the
/// first reads to the primary; a higher one leaves them no time for it.
const POSITION_WAIT_FRACTION: f64 = 0.6;

impl<W: Wire> Group<W> {
    /// Returns the position that a request with a bound must see, if this gateway may serve it. A gateway
    /// that knows none yet asks for one, and its first reads wait for the answer: all of them at the primary
    /// would overload it.
    pub(super) async fn position_for(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Option<ReadPosition>, AcquireError> {
        let Some(bound) = request.bound.filter(|_| self.may_serve_locally(&request.target)) else {
            return Ok(None);
        };
        if let Some(position) = self.read_position(&bound) {
            return Ok(Some(position));
        }
        let remaining = request.wait_deadline.saturating_duration_since(Instant::now());
        let refreshed = self.position_refreshed.notified();
        // After a timeout too, the position known by then decides.
        drop(timeout(remaining.mul_f64(POSITION_WAIT_FRACTION), refreshed).await);
        self.read_position(&bound).map(Some).ok_or(AcquireError::NoPosition)
    }

    fn may_serve_locally(&self, target: &Target) -> bool {
        match target {
            Target::Held(_) => true,
            Target::Primary => false,
            Target::Reader { .. } => {
                let state = self.state.borrow();
                state.members.values().any(|member| member.holds_connections())
            }
        }
    }

    /// Returns the position known now, and starts a refresh in the background if one is due.
    fn read_position(self: &Rc<Self>, bound: &ReadBound) -> Option<ReadPosition> {
        self.refresh_if_due(bound.staleness);
        self.freshness.borrow().read_position(self.now(), bound)
    }

    fn refresh_if_due(self: &Rc<Self>, staleness: Duration) {
        let due = staleness.mul_f64(REFRESH_FRACTION);
        let is_recent = self.freshness.borrow().age(self.now()).is_some_and(|age| age < due);
        if !is_recent {
            self.refresh_in_background(due.mul_f64(REPORTED_AGE_FRACTION));
        }
    }

    /// Asks for the primary's position in the background, before a read needs it.
    pub(super) fn refresh_position(self: &Rc<Self>) {
        self.refresh_in_background(Duration::ZERO);
    }

    fn refresh_in_background(self: &Rc<Self>, max_age: Duration) {
        if self.is_refreshing_position.replace(true) {
            return;
        }
        let group = Rc::clone(self);
        actix_rt::spawn(async move {
            group.request_position(Target::Primary, max_age, REFRESH_TIMEOUT).await;
            group.is_refreshing_position.set(false);
            group.position_refreshed.notify_waiters();
        });
    }

    /// Returns the newest known position to another gateway that takes `member` for the primary. Asks the
    /// member first if the last answer is older than `max_age`.
    pub(crate) async fn report_position(
        self: &Rc<Self>,
        member: MemberName,
        max_age: Duration,
        wait: Duration,
    ) -> Option<(Duration, Position)> {
        let is_recent = self.freshness.borrow().age(self.now()).is_some_and(|age| age <= max_age);
        if !is_recent {
            if self.is_refreshing_position.replace(true) {
                drop(timeout(wait, self.position_refreshed.notified()).await);
            } else {
                let _guard = RefreshGuard(self);
                self.request_position(Target::Held(member), Duration::ZERO, wait).await;
            }
        }
        self.newest_position()
    }

    /// Asks the primary for its position, or a gateway that holds connections to the primary.
    async fn request_position(self: &Rc<Self>, target: Target, max_age: Duration, limit: Duration) {
        let wait_deadline = Instant::now() + limit;
        let session = SessionProfile::default();
        let request = ConnectionRequest {
            target,
            session: &session,
            principal: None,
            kind: StatementKind { priority: REFRESH_PRIORITY, writes: false },
            bound: None,
            // The begin and the rollback of a transaction take no slot.
            needs_slot: false,
            wait_deadline,
        };
        if self.request_position_from_relay(&request, max_age).await {
            return;
        }
        let mut located = self.locate(&request).await;
        if let Err(AcquireError::Full(_)) = located {
            // The gateway knows now that the primary accepts no connection of its own, and asks other
            // gateways.
            located = self.locate(&request).await;
        }
        match located {
            Ok(Location::Local(located)) => {
                self.request_position_from_primary(located.lease, wait_deadline).await
            }
            Ok(Location::Remote(member)) => {
                self.request_position_from_holders(&member, &request, max_age).await;
            }
            Err(error) => {
                log::debug!(group:% = self.name, error:% = error; "primary not asked for its position");
            }
        }
    }

    /// Asks the relay of this region; reports whether the relay's position is recent enough.
    async fn request_position_from_relay(
        &self,
        request: &ConnectionRequest<'_>,
        max_age: Duration,
    ) -> bool {
        if request.target != Target::Primary {
            return false;
        }
        let Some(relay) = self.relay() else { return false };
        let relayed_age = self.request_position_from_holders(&relay, request, max_age).await;
        relayed_age.is_some_and(|age| age <= MAX_RELAYED_AGE.max(max_age))
    }

    /// Returns the relay for a primary in another region: the gateway of this region that asks the primary on
    /// behalf of all gateways of the region. None if the primary is unknown or not in another region, or if
    /// this gateway is the relay.
    fn relay(&self) -> Option<RemoteMember> {
        let state = self.state.borrow();
        let name = state.proven_primary.as_ref()?;
        let member = state.members.get(name)?;
        let distance = Distance::between(&self.settings.zone, &member.back_end.zone);
        if distance != Distance::OtherRegion {
            return None;
        }
        let relay = self.tunnels.region_relay(&member.holders, &self.name, self.settings.peers)?;
        Some(RemoteMember { name: name.clone(), holders: vec![relay] })
    }

    /// Begins a write transaction, which only the primary accepts, records the primary's position and rolls
    /// back.
    async fn request_position_from_primary(
        self: &Rc<Self>,
        mut lease: Lease<W>,
        wait_deadline: Instant,
    ) {
        let asked_at = self.now();
        let begin = OwnStatement::Begin { access: Access::Write, after: None };
        let Ok(answer) = lease.connection().run_own(&begin, wait_deadline).await else {
            self.record_silence(&lease.member);
            return;
        };
        if answer.outcome.is_err() {
            self.record_not_primary(&lease.member);
            return;
        }
        lease.in_transaction = true;
        self.record_primary_position(&lease.member, asked_at, answer.ready.position);
        let rolled_back = roll_back(lease.connection(), wait_deadline).await;
        lease.in_transaction = !rolled_back;
    }

    /// Asks gateways that hold connections to the primary, one after the other, until one knows a position;
    /// returns the age of that position.
    async fn request_position_from_holders(
        &self,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
        max_age: Duration,
    ) -> Option<Duration> {
        let mut remaining = member.holders.clone();
        while let Some((tunnel, wait)) = self.next_tunnel(&mut remaining, request).await {
            let holder = tunnel.holder();
            let remote = self.remote_request(&member.name, request, wait);
            let asked_at = self.now();
            match self.tunnels.ask_position(tunnel, &remote, max_age).await {
                Ok(Some(newest)) => {
                    self.record_reported_position(holder, asked_at, Some(newest));
                    return Some(newest.0);
                }
                Ok(None) => (),
                Err(error) => log::debug!(
                    group:% = self.name, holder:% = holder.address, error:? = error;
                    "gateway reports no position"
                ),
            }
        }
        None
    }
}

async fn roll_back<W: Wire>(connection: &mut MemberConnection<W>, deadline: Instant) -> bool {
    let rolled_back = connection.run_own(&OwnStatement::Rollback, deadline).await;
    rolled_back.is_ok_and(|answer| answer.outcome.is_ok())
}

/// A position request in flight. Ends on drop, so also when the asking gateway closes the tunnel.
struct RefreshGuard<'g, W: Wire>(&'g Group<W>);

impl<W: Wire> Drop for RefreshGuard<'_, W> {
    fn drop(&mut self) {
        self.0.is_refreshing_position.set(false);
        self.0.position_refreshed.notify_waiters();
    }
}
