//! What other gateways have said where they were asked, and what is remembered of it.
//!
//! It is for [`remote`](super), which asks. It owns what each reply means for the member, for the gateway
//! that sent it and for the request; the rule for a request that none served is [`RemoteAttempt`]. It relies
//! on the group's members and on its freshness to keep what was learnt.

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

/// Target of the log lines of this module, by which operators may filter.
const LOG_TARGET: &str = "corktack_gateway::group::elsewhere::told";

impl<W: Wire> Group<W> {
    /// A gateway served.
    pub(super) fn note_holder_served(&self, member: &MemberName, holder: Holder) {
        self.metrics.note_remote(RemoteOutcome::Served);
        self.with_member(member, |it| {
            it.detour.reached();
            it.holders.served(holder.address);
        });
    }

    /// A gateway said that it does not serve.
    pub(super) fn note_holder_refused<T>(
        &self,
        member: &MemberName,
        holder: Holder,
        refusal: TunnelRefusal,
    ) -> HolderReply<T> {
        match refusal {
            TunnelRefusal::NoneFree { retry_after } => {
                self.metrics.note_remote(RemoteOutcome::NoneFree);
                let (steady, now) = (self.now(), Instant::now());
                self.with_member(member, |it| {
                    it.detour.reached();
                    if it.is_kept_out(now) {
                        // It may be kept out as well: the others are asked before it for a while.
                        it.holders.refused(holder.address, steady);
                    }
                });
                HolderReply::AskNext(Some(retry_after))
            }
            TunnelRefusal::NoPosition => {
                self.metrics.note_remote(RemoteOutcome::NoPosition);
                HolderReply::GiveUp(AcquireError::NoPosition)
            }
            TunnelRefusal::Unreachable | TunnelRefusal::NotHeld => {
                self.metrics.note_remote(RemoteOutcome::NotReached);
                let now = self.now();
                self.with_member(member, |it| it.holders.refused(holder.address, now));
                HolderReply::AskNext(None)
            }
        }
    }

    /// A gateway was not reached, or gave no answer, where nothing can have run.
    pub(super) fn note_holder_unreached<T>(&self) -> HolderReply<T> {
        self.metrics.note_remote(RemoteOutcome::NotReached);
        HolderReply::AskNext(None)
    }

    /// No gateway that was asked served the request; `room_after` is when the first may have room.
    pub(super) fn note_none_served(
        &self,
        member: MemberName,
        request: &ConnectionRequest<'_>,
        room_after: Option<Duration>,
    ) -> AcquireError {
        let now = Instant::now();
        let steady = self.now();
        let (mut is_reached, mut holds_connections) = (false, false);
        self.with_member(&member, |it| {
            is_reached = it.detour.is_open();
            holds_connections = it.holds_connections();
            if !is_reached {
                it.detour.failed(steady);
            }
        });
        let attempt =
            RemoteAttempt { is_time_over: now >= request.give_up, holds_connections, is_reached };
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
                self.with_member(&member, |it| it.pauses.note_busy(now));
                AcquireError::Unreachable(member)
            }
        }
    }

    /// Whether there is no holder of a member left to ask.
    fn no_holder_left(&self, member: &MemberName) -> bool {
        let mut none_left = false;
        self.with_member(member, |it| none_left = self.tunnels.to_ask(&it.holders, 1).is_empty());
        none_left
    }

    /// Opens connections of its own to a member for some time.
    pub(in crate::group) fn begin_fallback(&self, member: &MemberName) {
        log::info!(
            target: LOG_TARGET, group:% = self.name, member:% = member;
            "no gateway that holds connections answers: this one opens its own"
        );
        let now = Instant::now();
        self.with_member(member, |it| it.begin_fallback(now));
    }

    /// Takes over the newest position that a holder knows, which was asked at `asked_at`.
    pub(in crate::group) fn note_newest(
        &self,
        holder: Holder,
        asked_at: Timestamp,
        newest: Option<(Duration, Position)>,
    ) {
        let Some((age, position)) = newest else { return };
        let noted = self.freshness.borrow_mut().note_reported(asked_at, age, position);
        self.metrics.note_reported_position(noted.is_ok());
        if let Err(error) = noted {
            log::debug!(
                target: LOG_TARGET, group:% = self.name, holder:% = holder.address,
                position:% = position,
                error:% = error;
                "position of another gateway not used"
            );
        }
    }

    /// Remembers what a statement that another gateway ran says of the member. What it says of the
    /// connection is the holder's to remember.
    pub(super) fn note_ran_remotely(
        &self,
        member: &MemberName,
        kind: LoneKind,
        ran: &RanAtHolder,
        sent: RequestSent,
    ) {
        let taken = sent.instant.elapsed();
        let (steady, now) = (self.now(), Instant::now());
        self.with_member(member, |it| it.note_reported_load(&ran.load, taken, steady));
        let answer = match &ran.result {
            Ok(answer) => answer,
            Err(Unanswered::Refused(failure)) => return self.note_refusal(member, failure.code),
            Err(Unanswered::NotSent(_) | Unanswered::Sent(_)) => {
                return self.with_member(member, |it| it.note_unserved(steady, now));
            }
        };
        match &answer.outcome {
            Ok(_) => {
                self.with_member(member, |it| it.note_served_remotely(steady));
                match kind {
                    LoneKind::Write => {
                        self.note_lead(member, sent.asked_at, answer.ready.position);
                    }
                    LoneKind::ReadAtPrimary => self.note_primary(member),
                    LoneKind::Read { .. } => (),
                }
            }
            Err(failure) => self.note_unsuccessful(member, !kind.is_read(), failure.code),
        }
    }
}
