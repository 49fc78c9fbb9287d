//! Positions of the group's primary: when it is asked, and which of its answers a read goes by.
//!
//! A gateway that holds connections to a member of the group answers for the freshness of the reads
//! there. It asks the primary, or a gateway that holds connections to that, in the background before
//! the last answer grows old, once for all reads; without one, the reads wait for it. This is for
//! [`acquire`](super::acquire) and for other gateways. It owns when the primary is asked. It relies on
//! [`Freshness`](corktack_core::gateway::Freshness) for which answer a read goes by.

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

/// Part of a staleness bound after which the primary is asked again, so that reads find a position
/// young enough, and one that is not much younger than it must be. Set together with other
/// changes, not measured by itself: lower asks the primary more often, higher lets the position grow too old for
/// some reads.
const REFRESH_PART: f64 = 0.15;
/// Part of that time which an answer that another gateway knows may be old. Chosen, not measured: lower asks
/// the primary itself more often, higher makes positions older by that part.
const REPORTED_PART: f64 = 0.5;
/// Longest time that a question for the primary's position may take. Chosen, not measured: lower gives up on a
/// primary in another region, higher keeps the next question waiting behind one that has no answer.
const REFRESH_LIMIT: Duration = Duration::from_millis(600);
/// Oldest position of a relay that is gone by: one that tells an older one gets no answers itself, and the
/// primary is asked past it. Chosen, not measured: several round trips between regions; lower asks past a relay
/// that is only slow, higher leaves the gateways of a region with its old position.
const RELAYED_AGE: Duration = Duration::from_millis(300);
/// Priority of the product's own questions: they make room for callers' reads.
const REFRESH_PRIORITY: u32 = 0;
/// Part of the time left for waiting that a read waits for the primary's position. Chosen, not measured: lower
/// sends first reads to the primary, higher leaves them no time for it.
const POSITION_PART: f64 = 0.6;

impl<W: Wire> Group<W> {
    /// The position that a request with a bound must see, if it may be served here. A gateway that knows
    /// none yet is asking for one: its first reads wait for that, where all of them at the primary
    /// would be too many for it.
    pub(super) async fn position_for(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Option<ReadPosition>, AcquireError> {
        let Some(bound) = request.bound.filter(|_| self.may_serve_here(&request.target)) else {
            return Ok(None);
        };
        if let Some(known) = self.read_position(&bound) {
            return Ok(Some(known));
        }
        let left = request.give_up.saturating_duration_since(Instant::now());
        let asked = self.position_asked.notified();
        // In vain or in time: what is known then decides.
        drop(timeout(left.mul_f64(POSITION_PART), asked).await);
        self.read_position(&bound).map(Some).ok_or(AcquireError::NoPosition)
    }

    fn may_serve_here(&self, target: &Target) -> bool {
        match target {
            Target::Held(_) => true,
            Target::Primary => false,
            Target::Reader { .. } => {
                let state = self.state.borrow();
                state.members.values().any(|member| member.holds_connections())
            }
        }
    }

    /// What is known now; sees to it that more will be known.
    fn read_position(self: &Rc<Self>, bound: &ReadBound) -> Option<ReadPosition> {
        self.refresh_if_due(bound.staleness);
        self.freshness.borrow().read_position(self.now(), bound)
    }

    fn refresh_if_due(self: &Rc<Self>, staleness: Duration) {
        let due = staleness.mul_f64(REFRESH_PART);
        let young = self.freshness.borrow().age(self.now()).is_some_and(|age| age < due);
        if !young {
            self.ask_in_background(due.mul_f64(REPORTED_PART));
        }
    }

    /// Asks for the primary's position before a read needs one.
    pub(super) fn refresh_position(self: &Rc<Self>) {
        self.ask_in_background(Duration::ZERO);
    }

    fn ask_in_background(self: &Rc<Self>, max_age: Duration) {
        if self.asking_position.replace(true) {
            return;
        }
        let group = Rc::clone(self);
        actix_rt::spawn(async move {
            group.refresh(Target::Primary, max_age, REFRESH_LIMIT).await;
            group.asking_position.set(false);
            group.position_asked.notify_waiters();
        });
    }

    /// The newest position known, for another gateway that takes this member for the primary. The
    /// member is asked when the last answer is older than it may be.
    pub(crate) async fn report_position(
        self: &Rc<Self>,
        member: MemberName,
        max_age: Duration,
        wait: Duration,
    ) -> Option<(Duration, Position)> {
        let young = self.freshness.borrow().age(self.now()).is_some_and(|age| age <= max_age);
        if !young {
            if self.asking_position.replace(true) {
                drop(timeout(wait, self.position_asked.notified()).await);
            } else {
                let _asking = Asking(self);
                self.refresh(Target::Held(member), Duration::ZERO, wait).await;
            }
        }
        self.newest_position()
    }

    /// Asks the primary for its position, or a gateway that holds connections to it.
    async fn refresh(self: &Rc<Self>, target: Target, max_age: Duration, limit: Duration) {
        let give_up = Instant::now() + limit;
        let session = SessionProfile::default();
        let request = ConnectionRequest {
            target,
            session: &session,
            principal: None,
            kind: StatementKind { priority: REFRESH_PRIORITY, writes: false },
            bound: None,
            // The begin and the rollback of a transaction take none.
            needs_slot: false,
            give_up,
        };
        if self.ask_relay(&request, max_age).await {
            return;
        }
        let mut located = self.locate(&request).await;
        if let Err(AcquireError::Full(_)) = located {
            // It is known now that the primary takes no connection of this gateway: others are asked.
            located = self.locate(&request).await;
        }
        match located {
            Ok(Location::Local(located)) => self.ask_primary(located.lease, give_up).await,
            Ok(Location::Remote(member)) => {
                self.ask_holders(&member, &request, max_age).await;
            }
            Err(error) => {
                log::debug!(group:% = self.name, error:% = error; "primary not asked for its position");
            }
        }
    }

    /// Asks the relay of this region; says whether it told a position that is young enough.
    async fn ask_relay(&self, request: &ConnectionRequest<'_>, max_age: Duration) -> bool {
        if request.target != Target::Primary {
            return false;
        }
        let Some(relay) = self.relay() else { return false };
        let told = self.ask_holders(&relay, request, max_age).await;
        told.is_some_and(|age| age <= RELAYED_AGE.max(max_age))
    }

    /// The gateway of this one's region that asks a primary in another region for all gateways here: the
    /// others of a region hear from it within their region.
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

    /// Begins a transaction, which only the primary does, and learns its position.
    async fn ask_primary(self: &Rc<Self>, mut lease: Lease<W>, give_up: Instant) {
        let asked_at = self.now();
        let begin = OwnStatement::Begin { access: Access::Write, after: None };
        let Ok(answer) = lease.connection().run_own(&begin, give_up).await else {
            self.note_silent(&lease.member);
            return;
        };
        if answer.outcome.is_err() {
            self.note_not_primary(&lease.member);
            return;
        }
        lease.in_transaction = true;
        self.note_lead(&lease.member, asked_at, answer.ready.position);
        let rolled_back = roll_back(lease.connection(), give_up).await;
        lease.in_transaction = !rolled_back;
    }

    /// Asks gateways that hold connections to the primary, one after the other, until one knows a position;
    /// gives its age.
    async fn ask_holders(
        &self,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
        max_age: Duration,
    ) -> Option<Duration> {
        let mut left = member.holders.clone();
        while let Some((tunnel, wait)) = self.next_tunnel(&mut left, request).await {
            let holder = tunnel.holder();
            let remote = self.remote_request(&member.name, request, wait);
            let asked_at = self.now();
            match self.tunnels.ask_position(tunnel, &remote, max_age).await {
                Ok(Some(newest)) => {
                    self.note_newest(holder, asked_at, Some(newest));
                    return Some(newest.0);
                }
                Ok(None) => (),
                Err(error) => log::debug!(
                    group:% = self.name, holder:% = holder.address, error:? = error;
                    "gateway tells no position"
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

/// A question under way; over when dropped, also where who asked went away.
struct Asking<'g, W: Wire>(&'g Group<W>);

impl<W: Wire> Drop for Asking<'_, W> {
    fn drop(&mut self) {
        self.0.asking_position.set(false);
        self.0.position_asked.notify_waiters();
    }
}
