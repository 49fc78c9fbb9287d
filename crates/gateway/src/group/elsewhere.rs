//! Members that other gateways hold connections to.

use super::{Group, Wish};
use crate::answer::Answer;
use crate::connection::MemberConnection;
use crate::error::{AcquireError, LinkError};
use crate::lease::Lease;
use crate::metrics::ElsewhereOutcome;
use crate::run::{LoneStatement, Unanswered};
use crate::transport::Transport;
use crate::tunnel::{Grant, RunError, RunReply, TunnelClient, TunnelWish};
use crate::wire::Wire;
use corktack_core::gateway::ConnectionProfile;
use corktack_core::identity::MemberName;
use corktack_core::position::Position;
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::{LoneKind, TunnelRefusal};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Gateways that are asked for one statement.
const HOLDERS_ASKED: usize = 3;

/// What came of asking one gateway after the other.
enum Asked<T> {
    /// One of them said this.
    Answer(T),
    /// It has no connection to give.
    NoneFree,
    /// It does not reach the member, or cannot be reached itself.
    Next,
}

impl<W: Wire> Group<W> {
    /// Uses a connection that another gateway holds.
    pub(super) async fn forward(
        self: &Rc<Self>,
        member: MemberName,
        holders: &[SocketAddr],
        wish: &Wish<'_>,
    ) -> Result<Lease<W>, AcquireError> {
        for (holder, wait) in tries(holders, wish) {
            let tunnel_wish = self.tunnel_wish(&member, wish, wait());
            let asked_at = self.now();
            let asked = match self.tunnels.acquire(holder, &tunnel_wish).await {
                Ok(Grant::Granted(tunnel, profile, newest)) => {
                    Asked::Answer((tunnel, profile, newest))
                }
                Ok(Grant::Refused(refusal)) => Asked::refused(refusal),
                Err(error) => Asked::unheard(holder, &error),
            };
            if let Some((tunnel, profile, newest)) = self.heard(&member, holder, asked) {
                self.note_newest(holder, asked_at, newest);
                return Ok(self.granted(member, tunnel, profile));
            }
        }
        Err(self.none_elsewhere(member, wish))
    }

    /// Has another gateway run a statement on one of its connections. A statement that may have
    /// reached a member is not sent again here: whether it may be is for the caller to know.
    pub(crate) async fn run_elsewhere(
        self: &Rc<Self>,
        member: &MemberName,
        holders: &[SocketAddr],
        wish: &Wish<'_>,
        statement: LoneStatement<'_>,
        deadline: Instant,
    ) -> Result<Result<Answer, Unanswered>, AcquireError> {
        let begun = Instant::now();
        let _place = ForwardedPlace::new(self, member);
        for (holder, wait) in tries(holders, wish) {
            let tunnel_wish = self.tunnel_wish(member, wish, wait());
            let limit = deadline.saturating_duration_since(Instant::now());
            let asked_at = self.now();
            let request = statement.to_request();
            let asked = match self.tunnels.run(holder, &tunnel_wish, request, limit).await {
                Ok(RunReply::Ran(result, newest)) => Asked::Answer((result, newest)),
                Ok(RunReply::Refused(refusal)) => Asked::refused(refusal),
                Err(RunError::NotSent(error)) => Asked::unheard(holder, &error),
                Err(RunError::Sent(error)) => {
                    self.metrics.note_elsewhere(ElsewhereOutcome::Lost);
                    self.with_member(member, |it| it.ask_last(holder));
                    return Ok(Err(Unanswered::Sent(error)));
                }
            };
            if let Some((result, newest)) = self.heard(member, holder, asked) {
                self.note_newest(holder, asked_at, newest);
                self.note_ran_elsewhere(member, statement.kind, &result, (asked_at, begun));
                return Ok(result);
            }
        }
        Err(self.none_elsewhere(member.clone(), wish))
    }

    fn tunnel_wish(&self, member: &MemberName, wish: &Wish<'_>, wait: Duration) -> TunnelWish {
        TunnelWish {
            group: self.name.clone(),
            member: member.clone(),
            priority: wish.priority,
            wait,
        }
    }

    /// Remembers what a gateway said; gives its answer.
    fn heard<T>(&self, member: &MemberName, holder: SocketAddr, asked: Asked<T>) -> Option<T> {
        match asked {
            Asked::Answer(answer) => {
                self.metrics.note_elsewhere(ElsewhereOutcome::Served);
                self.with_member(member, |it| it.ask_first(holder));
                Some(answer)
            }
            Asked::NoneFree => {
                self.metrics.note_elsewhere(ElsewhereOutcome::NoneFree);
                self.with_member(member, |it| it.detour.reached());
                None
            }
            Asked::Next => {
                self.metrics.note_elsewhere(ElsewhereOutcome::NotReached);
                self.with_member(member, |it| it.ask_last(holder));
                None
            }
        }
    }

    /// No gateway that was asked serves the wish.
    fn none_elsewhere(&self, member: MemberName, wish: &Wish<'_>) -> AcquireError {
        let now = Instant::now();
        let steady = self.now();
        let mut reached = false;
        self.with_member(&member, |it| {
            reached = it.detour.is_open();
            if !reached {
                it.detour.failed(steady);
            }
        });
        if reached || now >= wish.give_up {
            return AcquireError::NoneFree;
        }
        self.with_member(&member, |it| it.note_busy(now));
        AcquireError::Unreachable(member)
    }

    /// Takes over the newest position that a holder knows, which was asked at `asked_at`.
    fn note_newest(
        &self,
        holder: SocketAddr,
        asked_at: Timestamp,
        newest: Option<(Duration, Position)>,
    ) {
        let Some((age, position)) = newest else { return };
        let noted = self.freshness.borrow_mut().note_told(asked_at, age, position);
        self.metrics.note_told_position(noted.is_ok());
        if let Err(error) = noted {
            log::debug!(
                group:% = self.name, holder:% = holder, position:% = position, error:% = error;
                "position of another gateway not used"
            );
        }
    }

    /// Remembers what a statement that another gateway ran says of the member. What it says of the
    /// connection is the holder's to remember.
    fn note_ran_elsewhere(
        &self,
        member: &MemberName,
        kind: LoneKind,
        result: &Result<Answer, Unanswered>,
        (asked_at, begun): (Timestamp, Instant),
    ) {
        match result {
            Ok(answer) => match (&answer.outcome, kind) {
                (Ok(_), LoneKind::Write) => {
                    self.note_lead(member, asked_at, answer.ready.position);
                }
                (Ok(_), LoneKind::ReadAtPrimary) => self.note_primary(member),
                (Ok(_), LoneKind::Read { .. }) => {
                    self.with_member(member, |it| it.note_latency(begun.elapsed()));
                }
                (Err(failure), _) if failure.code.did_not_run() => {
                    self.note_refusal(member, failure.code);
                }
                (Err(_), _) => (),
            },
            Err(Unanswered::Refused(failure)) => self.note_refusal(member, failure.code),
            Err(Unanswered::NotSent(_) | Unanswered::Sent(_)) => {
                let now = Instant::now();
                self.with_member(member, |it| it.note_busy(now));
            }
        }
    }

    fn granted(
        self: &Rc<Self>,
        member: MemberName,
        tunnel: Box<TunnelClient>,
        profile: ConnectionProfile,
    ) -> Lease<W> {
        self.with_member(&member, |it| it.forwarded += 1);
        let mut connection = MemberConnection::new(self.wire.clone(), Transport::Tunnel(tunnel));
        connection.profile = profile;
        Lease::remote(Rc::clone(self), member, connection)
    }

    /// A lease on a connection that another gateway holds is over.
    pub(crate) fn remote_ended(
        &self,
        name: &MemberName,
        connection: MemberConnection<W>,
        settled: bool,
    ) {
        self.with_member(name, |it| it.forwarded = it.forwarded.saturating_sub(1));
        // Without a release the holder sees the tunnel close, and closes the connection.
        if settled && let Some((tunnel, profile)) = connection.into_tunnel() {
            self.tunnels.release(tunnel, profile);
        }
    }
}

/// The gateways to ask, each with how long a wish may wait there: half of what is left, and all of
/// it at the last one.
fn tries(
    holders: &[SocketAddr],
    wish: &Wish<'_>,
) -> impl Iterator<Item = (SocketAddr, impl Fn() -> Duration)> {
    let give_up = wish.give_up;
    let count = holders.len().min(HOLDERS_ASKED);
    holders.iter().take(count).enumerate().filter_map(move |(place, holder)| {
        let left = move || give_up.saturating_duration_since(Instant::now());
        let last = place + 1 == count;
        let due = place == 0 || !left().is_zero();
        due.then_some((*holder, move || if last { left() } else { left() / 2 }))
    })
}

impl<T> Asked<T> {
    fn refused(refusal: TunnelRefusal) -> Self {
        match refusal {
            TunnelRefusal::NoneFree => Self::NoneFree,
            TunnelRefusal::Unreachable | TunnelRefusal::NotHeld => Self::Next,
        }
    }

    fn unheard(holder: SocketAddr, error: &LinkError) -> Self {
        log::info!(holder:% = holder, error:% = error; "gateway gives no connection");
        Self::Next
    }
}

/// A statement that another gateway runs counts at the member while it does.
struct ForwardedPlace<'g, W: Wire> {
    group: &'g Group<W>,
    member: &'g MemberName,
}

impl<'g, W: Wire> ForwardedPlace<'g, W> {
    fn new(group: &'g Group<W>, member: &'g MemberName) -> Self {
        group.with_member(member, |it| it.forwarded += 1);
        Self { group, member }
    }
}

impl<W: Wire> Drop for ForwardedPlace<'_, W> {
    fn drop(&mut self) {
        self.group.with_member(self.member, |it| it.forwarded = it.forwarded.saturating_sub(1));
    }
}
