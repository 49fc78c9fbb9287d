//! Asks other gateways to serve requests at a member that they hold connections to.
//!
//! This module decides in which order the holders are asked and how long each may take, and leases remote
//! connections. [`tunnel`](crate::tunnel) exchanges messages with one gateway; [`outcome`] records each
//! reply.

mod outcome;

use super::{ConnectionRequest, Group, Lease, LocatedConnection, RemoteMember};
use crate::answer::{Answer, Unanswered};
use crate::connection::MemberConnection;
use crate::error::{AcquireError, LinkError};
use crate::lone_statement::LoneStatement;
use crate::metrics::RemoteOutcome;
use crate::transport::Transport;
use crate::tunnel::{GrantedConnection, OpenedAtHolder, RemoteRequest, TunnelClient, TunnelError};
use crate::wire::Wire;
use corktack_core::gateway::{Holder, ReadPosition};
use corktack_core::identity::MemberName;
use corktack_core::tenancy::Principal;
use corktack_core::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Reply of one holder, and what it means for the request.
enum HolderReply<T> {
    /// The holder served the request.
    Answered(T),
    /// The next holder is asked. Contains the time after which this holder may have room, if it has none now.
    AskNext(Option<Duration>),
    /// The request fails; no other holder is asked.
    GiveUp(AcquireError),
}

impl<T> HolderReply<T> {
    fn map<U>(self, change: impl FnOnce(T) -> U) -> HolderReply<U> {
        match self {
            Self::Answered(answer) => HolderReply::Answered(change(answer)),
            Self::AskNext(retry_after) => HolderReply::AskNext(retry_after),
            Self::GiveUp(error) => HolderReply::GiveUp(error),
        }
    }
}

/// The result of a statement that another gateway ran, and the position that a read had to see.
pub(crate) type RanRemotely = (Result<Answer, Unanswered>, Option<ReadPosition>);

/// Outcome of asking another gateway to begin a transaction and run its first statement.
pub(crate) enum RemoteOpening<W: Wire> {
    /// The holder lent a connection, on which the transaction has yet to be begun.
    Lent(LocatedConnection<W>),
    /// The transaction is open; contains the result of the first statement.
    Open(LocatedConnection<W>, Result<Answer, Unanswered>),
    /// The transaction could not be begun at the member; the statement was not sent.
    NotBegun(Unanswered),
    /// The holder gave no answer: the statement may have run, and is rolled back.
    Lost(LinkError),
}

/// When a request was sent, on the steady clock and on the runtime's.
#[derive(Clone, Copy)]
struct RequestSent {
    asked_at: Timestamp,
    instant: Instant,
}

impl<W: Wire> Group<W> {
    /// Borrows a connection from another gateway.
    pub(crate) async fn acquire_remote(
        self: &Rc<Self>,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
    ) -> Result<LocatedConnection<W>, AcquireError> {
        let ask = async |tunnel, remote| self.ask_to_lend(&member.name, tunnel, remote).await;
        self.ask_in_turn(member, request, ask).await
    }

    /// Has another gateway begin a transaction on one of its connections and run the first statement. A
    /// holder that has not answered lately is asked for a connection first: if it doesn't answer, nothing has
    /// run.
    pub(crate) async fn open_remote(
        self: &Rc<Self>,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
        first: LoneStatement<'_>,
        deadline: Instant,
    ) -> Result<RemoteOpening<W>, AcquireError> {
        let ask = async |tunnel: TunnelClient, remote| {
            if self.tunnels.has_answered_recently(tunnel.holder()) {
                return self.ask_to_open(&member.name, tunnel, remote, first, deadline).await;
            }
            self.ask_to_lend(&member.name, tunnel, remote).await.map(RemoteOpening::Lent)
        };
        self.ask_in_turn(member, request, ask).await
    }

    /// Has another gateway run a statement on one of its connections. A statement that may have reached a
    /// member is not sent again; the caller decides whether it may be.
    pub(crate) async fn run_remote(
        self: &Rc<Self>,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
        statement: LoneStatement<'_>,
        deadline: Instant,
    ) -> Result<RanRemotely, AcquireError> {
        let _use = RemoteUse::new(self, &member.name);
        let ask = async |tunnel, remote| {
            self.ask_to_run(&member.name, tunnel, remote, statement, deadline).await
        };
        self.ask_in_turn(member, request, ask).await
    }

    /// Asks the holders one after the other until one answers.
    async fn ask_in_turn<T>(
        &self,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
        ask: impl AsyncFn(TunnelClient, RemoteRequest) -> HolderReply<T>,
    ) -> Result<T, AcquireError> {
        let mut remaining = member.holders.clone();
        let mut room_after = None;
        while let Some((tunnel, wait)) = self.next_tunnel(&mut remaining, request).await {
            let remote = self.remote_request(&member.name, request, wait);
            match ask(tunnel, remote).await {
                HolderReply::Answered(answer) => return Ok(answer),
                HolderReply::AskNext(retry_after) => {
                    room_after = room_after.into_iter().chain(retry_after).min();
                }
                HolderReply::GiveUp(error) => return Err(error),
            }
        }
        Err(self.record_none_served(member.name.clone(), request, room_after))
    }

    async fn ask_to_lend(
        self: &Rc<Self>,
        member: &MemberName,
        tunnel: TunnelClient,
        remote: RemoteRequest,
    ) -> HolderReply<LocatedConnection<W>> {
        let holder = tunnel.holder();
        let asked_at = self.now();
        match self.tunnels.acquire(tunnel, &remote).await {
            Ok(granted) => {
                self.record_holder_served(member, holder);
                self.record_reported_position(holder, asked_at, granted.newest);
                HolderReply::Answered(self.lease_remote(member.clone(), granted, remote.principal))
            }
            Err(TunnelError::Refused(refusal)) => {
                self.record_holder_refusal(member, holder, refusal)
            }
            // Without a granted connection, nothing can have run: the next holder may be asked.
            Err(TunnelError::NotSent(_) | TunnelError::Sent(_)) => self.record_holder_unreached(),
        }
    }

    async fn ask_to_open(
        self: &Rc<Self>,
        member: &MemberName,
        tunnel: TunnelClient,
        remote: RemoteRequest,
        first: LoneStatement<'_>,
        deadline: Instant,
    ) -> HolderReply<RemoteOpening<W>> {
        let holder = tunnel.holder();
        let asked_at = self.now();
        let limit = deadline.saturating_duration_since(Instant::now());
        match self.tunnels.begin(tunnel, &remote, first.to_request(), limit).await {
            Ok(opened) => {
                self.record_holder_served(member, holder);
                HolderReply::Answered(self.accept_opened(
                    member,
                    opened,
                    asked_at,
                    remote.principal,
                ))
            }
            Err(TunnelError::Refused(refusal)) => {
                self.record_holder_refusal(member, holder, refusal)
            }
            Err(TunnelError::NotSent(_)) => self.record_holder_unreached(),
            Err(TunnelError::Sent(error)) => {
                self.metrics.record_remote(RemoteOutcome::Lost);
                HolderReply::Answered(RemoteOpening::Lost(error))
            }
        }
    }

    async fn ask_to_run(
        self: &Rc<Self>,
        member: &MemberName,
        tunnel: TunnelClient,
        remote: RemoteRequest,
        statement: LoneStatement<'_>,
        deadline: Instant,
    ) -> HolderReply<RanRemotely> {
        let holder = tunnel.holder();
        let sent = RequestSent { asked_at: self.now(), instant: Instant::now() };
        let limit = deadline.saturating_duration_since(sent.instant);
        match self.tunnels.run(tunnel, &remote, statement.to_request(), limit).await {
            Ok(ran) => {
                self.record_holder_served(member, holder);
                self.record_reported_position(holder, sent.asked_at, ran.newest);
                self.record_remote_result(member, statement.kind, &ran, sent);
                HolderReply::Answered((ran.result, ran.position))
            }
            Err(TunnelError::Refused(refusal)) => {
                self.record_holder_refusal(member, holder, refusal)
            }
            Err(TunnelError::NotSent(_)) => self.record_holder_unreached(),
            Err(TunnelError::Sent(error)) => {
                self.metrics.record_remote(RemoteOutcome::Lost);
                HolderReply::Answered((Err(Unanswered::Sent(error)), None))
            }
        }
    }

    fn accept_opened(
        self: &Rc<Self>,
        member: &MemberName,
        opened: OpenedAtHolder,
        asked_at: Timestamp,
        principal: Principal,
    ) -> RemoteOpening<W> {
        match opened {
            OpenedAtHolder::Open(granted, result) => {
                self.record_reported_position(granted.tunnel.holder(), asked_at, granted.newest);
                if granted.position.is_none() {
                    self.record_primary(member);
                }
                let mut located = self.lease_remote(member.clone(), granted, principal);
                located.lease.in_transaction = true;
                RemoteOpening::Open(located, result)
            }
            OpenedAtHolder::NotOpened(tunnel, reason, newest) => {
                self.record_reported_position(tunnel.holder(), asked_at, newest);
                self.tunnels.keep_free(*tunnel);
                RemoteOpening::NotBegun(reason)
            }
        }
    }

    /// Returns a tunnel to one of the remaining holders, which is removed from them, and how long the request
    /// may wait there: half of its remaining time, or all of it at the last holder. None if the time is over
    /// or no holder can be reached.
    pub(super) async fn next_tunnel(
        &self,
        remaining: &mut Vec<Holder>,
        request: &ConnectionRequest<'_>,
    ) -> Option<(TunnelClient, Duration)> {
        let time_left = || request.wait_deadline.saturating_duration_since(Instant::now());
        if remaining.is_empty() || time_left().is_zero() {
            return None;
        }
        let Ok(tunnel) = self.tunnels.connect_first(remaining).await else {
            self.metrics.record_remote(RemoteOutcome::NotReached);
            remaining.clear();
            return None;
        };
        let holder = tunnel.holder();
        remaining.retain(|other| other.address != holder.address);
        let wait = if remaining.is_empty() { time_left() } else { time_left() / 2 };
        Some((tunnel, wait))
    }

    pub(super) fn remote_request(
        &self,
        member: &MemberName,
        request: &ConnectionRequest<'_>,
        wait: Duration,
    ) -> RemoteRequest {
        RemoteRequest {
            group: self.name.clone(),
            member: member.clone(),
            principal: request.principal.cloned().unwrap_or_default(),
            priority: request.kind.priority,
            wait,
            bound: request.bound,
        }
    }

    fn lease_remote(
        self: &Rc<Self>,
        member: MemberName,
        granted: GrantedConnection,
        principal: Principal,
    ) -> LocatedConnection<W> {
        self.with_member(&member, |member| member.remote_in_use += 1);
        let transport = Transport::Tunnel(granted.tunnel);
        let answers = Rc::clone(&self.answers);
        let mut connection =
            MemberConnection::new(self.wire.clone(), transport, principal, answers);
        connection.set_profile(granted.profile);
        let lease = Lease::remote(Rc::clone(self), member, connection);
        LocatedConnection { lease, position: granted.position }
    }

    /// Ends the lease of a connection that another gateway holds.
    pub(crate) fn release_remote(
        &self,
        name: &MemberName,
        connection: MemberConnection<W>,
        is_settled: bool,
    ) {
        self.with_member(name, |member| {
            member.remote_in_use = member.remote_in_use.saturating_sub(1)
        });
        let Some((tunnel, profile)) = connection.into_tunnel() else { return };
        if tunnel.is_silent() {
            self.tunnels.record_silence(tunnel.holder());
        }
        // Without a release, the tunnel closes, and the holder closes the connection.
        if is_settled {
            self.tunnels.release(tunnel, profile);
        }
    }
}

/// Counts a statement that another gateway runs as in use at the member until dropped.
struct RemoteUse<'g, W: Wire> {
    group: &'g Group<W>,
    member: &'g MemberName,
}

impl<'g, W: Wire> RemoteUse<'g, W> {
    fn new(group: &'g Group<W>, member: &'g MemberName) -> Self {
        group.with_member(member, |member| member.remote_in_use += 1);
        Self { group, member }
    }
}

impl<W: Wire> Drop for RemoteUse<'_, W> {
    fn drop(&mut self) {
        self.group.with_member(self.member, |member| {
            member.remote_in_use = member.remote_in_use.saturating_sub(1)
        });
    }
}
