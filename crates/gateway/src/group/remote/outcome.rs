//! Records the replies of other gateways that [`remote`](super) has asked.
//!
//! This module decides what each reply means for the member, for the gateway that sent it and for the
//! request. [`RemoteAttempt`] has the rule for a request that no gateway served.

use super::{HolderReply, RequestSent};
use crate::answer::Unanswered;
use crate::error::AcquireError;
use crate::group::{ConnectionRequest, Group};
use crate::metrics::RemoteOutcome;
use crate::retry_after;
use crate::tunnel::RanAtHolder;
use crate::wire::Wire;
use corktack_core::gateway::{Holder, RemoteAttempt, RemoteFailure};
use corktack_core::identity::MemberName;
use corktack_core::position::Position;
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::{LoneKind, TunnelRefusal};
use std::time::Duration;
use tokio::time::Instant;

/// Target of this module's log lines, which operators may filter by.
const LOG_TARGET: &str = "corktack_gateway::group::elsewhere::told";

impl<W: Wire> Group<W> {
    /// Records that a holder served a request.
    pub(super) fn record_holder_served(&self, member: &MemberName, holder: Holder) {
        self.metrics.record_remote(RemoteOutcome::Served);
        self.with_member(member, |member_state| {
            member_state.indirect_route.record_reached();
            member_state.holders.record_served(holder.address);
        });
    }

    /// Records that a holder refused a request, and returns what this means for the request.
    pub(super) fn record_holder_refusal<T>(
        &self,
        member: &MemberName,
        holder: Holder,
        refusal: TunnelRefusal,
    ) -> HolderReply<T> {
        match refusal {
            TunnelRefusal::NoneFree { retry_after } => {
                self.metrics.record_remote(RemoteOutcome::NoneFree);
                let (steady, now) = (self.now(), Instant::now());
                self.with_member(member, |member_state| {
                    member_state.indirect_route.record_reached();
                    if member_state.is_full_without_connections(now) {
                        // The holder may have no connection to the full member either: other holders are
                        // asked before it for a while.
                        member_state.holders.record_refusal(holder.address, steady);
                    }
                });
                HolderReply::AskNext(Some(retry_after))
            }
            TunnelRefusal::NoPosition => {
                self.metrics.record_remote(RemoteOutcome::NoPosition);
                HolderReply::GiveUp(AcquireError::NoPosition)
            }
            TunnelRefusal::Unreachable | TunnelRefusal::NotHeld => {
                self.metrics.record_remote(RemoteOutcome::NotReached);
                let now = self.now();
                self.with_member(member, |member_state| {
                    member_state.holders.record_refusal(holder.address, now)
                });
                HolderReply::AskNext(None)
            }
        }
    }

    /// Records that a holder was not reached, or gave no answer to a request that can't have run.
    pub(super) fn record_holder_unreached<T>(&self) -> HolderReply<T> {
        self.metrics.record_remote(RemoteOutcome::NotReached);
        HolderReply::AskNext(None)
    }

    /// Records that no holder served the request, and returns its error. `room_after` is the shortest time
    /// after which a holder may have room.
    pub(super) fn record_none_served(
        &self,
        member: MemberName,
        request: &ConnectionRequest<'_>,
        room_after: Option<Duration>,
    ) -> AcquireError {
        let now = Instant::now();
        let steady = self.now();
        let (mut is_reached, mut holds_connections) = (false, false);
        self.with_member(&member, |member_state| {
            is_reached = member_state.indirect_route.is_open();
            holds_connections = member_state.holds_connections();
            if !is_reached {
                member_state.indirect_route.record_failure(steady);
            }
        });
        let attempt = RemoteAttempt {
            has_timed_out: now >= request.wait_deadline,
            holds_connections,
            is_reached,
        };
        match attempt.failure(|| self.no_holder_left(&member)) {
            RemoteFailure::NoneFree => {
                let retry_after = room_after.unwrap_or(retry_after::NO_ROOM_REPORTED);
                AcquireError::NoneFree { retry_after }
            }
            RemoteFailure::NoHolder => {
                self.begin_fallback(&member);
                AcquireError::NoHolder(member)
            }
            RemoteFailure::Unreachable => {
                self.with_member(&member, |member_state| member_state.pauses.record_busy(now));
                AcquireError::Unreachable(member)
            }
        }
    }

    /// Reports whether there is no holder of a member left to ask.
    fn no_holder_left(&self, member: &MemberName) -> bool {
        let mut none_left = false;
        self.with_member(member, |member_state| {
            none_left = self.tunnels.candidates(&member_state.holders, 1).is_empty()
        });
        none_left
    }

    /// Starts a fallback period, in which this gateway opens connections of its own to a member.
    pub(in crate::group) fn begin_fallback(&self, member: &MemberName) {
        log::info!(
            target: LOG_TARGET, group:% = self.name, member:% = member;
            "no holder of connections to member answers: gateway opens its own"
        );
        let now = Instant::now();
        self.with_member(member, |member_state| member_state.begin_fallback(now));
    }

    /// Records the newest position that a holder knows, from its answer to a request sent at `asked_at`.
    pub(in crate::group) fn record_reported_position(
        &self,
        holder: Holder,
        asked_at: Timestamp,
        newest: Option<(Duration, Position)>,
    ) {
        let Some((age, position)) = newest else { return };
        let recorded = self.freshness.borrow_mut().record_reported(asked_at, age, position);
        self.metrics.record_reported_position(recorded.is_ok());
        if let Err(error) = recorded {
            log::debug!(
                target: LOG_TARGET, group:% = self.name, holder:% = holder.address,
                position:% = position,
                error:% = error;
                "position reported by another gateway not used"
            );
        }
    }

    /// Records the result at a member of a statement that another gateway ran. The holder records what the
    /// result means for its connection.
    pub(super) fn record_remote_result(
        &self,
        member: &MemberName,
        kind: LoneKind,
        ran: &RanAtHolder,
        sent: RequestSent,
    ) {
        let elapsed = sent.instant.elapsed();
        let (steady, now) = (self.now(), Instant::now());
        self.with_member(member, |member_state| {
            member_state.record_reported_load(&ran.load, elapsed, steady)
        });
        let answer = match &ran.result {
            Ok(answer) => answer,
            Err(Unanswered::Refused(failure)) => return self.record_refusal(member, failure.code),
            Err(Unanswered::NotSent(_) | Unanswered::Sent(_)) => {
                return self
                    .with_member(member, |member_state| member_state.record_unserved(steady, now));
            }
        };
        match &answer.outcome {
            Ok(_) => {
                self.with_member(member, |member_state| {
                    member_state.record_served_remotely(steady)
                });
                match kind {
                    LoneKind::Write => {
                        self.record_primary_position(member, sent.asked_at, answer.ready.position);
                    }
                    LoneKind::ReadAtPrimary => self.record_primary(member),
                    LoneKind::Read { .. } => (),
                }
            }
            Err(failure) => self.record_failure(member, !kind.is_read(), failure.code),
        }
    }
}
