//! Asking other gateways for a member that they hold connections to.
//!
//! It is for requests that this gateway cannot serve on a connection of its own. It owns who is asked in
//! which order and for how long, and the leases of remote connections. It relies on
//! [`tunnel`](crate::tunnel) for the exchange with one gateway, and on [`outcome`] to remember what each has
//! said.

mod outcome;

use super::{ConnectionRequest, Group, Lease, Located, RemoteMember};
use crate::answer::{Answer, Unanswered};
use crate::connection::MemberConnection;
use crate::error::{AcquireError, LinkError};
use crate::lone_statement::LoneStatement;
use crate::metrics::RemoteOutcome;
use crate::transport::Transport;
use crate::tunnel::{Granted, OpenedAtHolder, RemoteRequest, TunnelClient, TunnelError};
use crate::wire::Wire;
use corktack_core::gateway::{Holder, ReadPosition};
use corktack_core::identity::MemberName;
use corktack_core::tenancy::Principal;
use corktack_core::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What asking one gateway has brought.
enum HolderReply<T> {
    /// It served.
    Answered(T),
    /// The next one may serve. This one has said when it may have room, if it has none now.
    AskNext(Option<Duration>),
    /// Nobody else is asked.
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

/// A transaction that another gateway was asked to begin, with its first statement.
pub(crate) enum RemoteOpening<W: Wire> {
    /// It gave a connection, on which the transaction is still to be begun.
    Lent(Located<W>),
    /// It is open; this is the result of the statement.
    Open(Located<W>, Result<Answer, Unanswered>),
    /// It could not be begun at the member; the statement was not sent.
    NotBegun(Unanswered),
    /// The gateway gave no answer: the statement may have run, and is rolled back.
    Lost(LinkError),
}

/// When a request was sent, on the steady clock and on the runtime's.
#[derive(Clone, Copy)]
struct RequestSent {
    asked_at: Timestamp,
    instant: Instant,
}

impl<W: Wire> Group<W> {
    /// Uses a connection that another gateway holds.
    pub(crate) async fn acquire_remote(
        self: &Rc<Self>,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
    ) -> Result<Located<W>, AcquireError> {
        let ask = async |tunnel, remote| self.ask_to_lend(&member.name, tunnel, remote).await;
        self.ask_in_turn(member, request, ask).await
    }

    /// Has another gateway begin a transaction on one of its connections and run its first statement. Of
    /// one that has not answered lately a connection is asked for first: without it nothing is lost.
    pub(crate) async fn open_remote(
        self: &Rc<Self>,
        member: &RemoteMember,
        request: &ConnectionRequest<'_>,
        first: LoneStatement<'_>,
        deadline: Instant,
    ) -> Result<RemoteOpening<W>, AcquireError> {
        let ask = async |tunnel: TunnelClient, remote| {
            if self.tunnels.answers(tunnel.holder()) {
                return self.ask_to_open(&member.name, tunnel, remote, first, deadline).await;
            }
            self.ask_to_lend(&member.name, tunnel, remote).await.map(RemoteOpening::Lent)
        };
        self.ask_in_turn(member, request, ask).await
    }

    /// Has another gateway run a statement on one of its connections. A statement that may have
    /// reached a member is not sent again here: whether it may be is for the caller to know.
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
        let mut left = member.holders.clone();
        let mut room_after = None;
        while let Some((tunnel, wait)) = self.next_tunnel(&mut left, request).await {
            let remote = self.remote_request(&member.name, request, wait);
            match ask(tunnel, remote).await {
                HolderReply::Answered(answer) => return Ok(answer),
                HolderReply::AskNext(retry_after) => {
                    room_after = room_after.into_iter().chain(retry_after).min();
                }
                HolderReply::GiveUp(error) => return Err(error),
            }
        }
        Err(self.note_none_served(member.name.clone(), request, room_after))
    }

    async fn ask_to_lend(
        self: &Rc<Self>,
        member: &MemberName,
        tunnel: TunnelClient,
        remote: RemoteRequest,
    ) -> HolderReply<Located<W>> {
        let holder = tunnel.holder();
        let asked_at = self.now();
        match self.tunnels.acquire(tunnel, &remote).await {
            Ok(granted) => {
                self.note_holder_served(member, holder);
                self.note_newest(holder, asked_at, granted.newest);
                HolderReply::Answered(self.granted(member.clone(), granted, remote.principal))
            }
            Err(TunnelError::Refused(refusal)) => self.note_holder_refused(member, holder, refusal),
            // Nothing was run on a connection that was not granted.
            Err(TunnelError::NotSent(_) | TunnelError::Sent(_)) => self.note_holder_unreached(),
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
                self.note_holder_served(member, holder);
                HolderReply::Answered(self.take_opened(member, opened, asked_at, remote.principal))
            }
            Err(TunnelError::Refused(refusal)) => self.note_holder_refused(member, holder, refusal),
            Err(TunnelError::NotSent(_)) => self.note_holder_unreached(),
            Err(TunnelError::Sent(error)) => {
                self.metrics.note_remote(RemoteOutcome::Lost);
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
                self.note_holder_served(member, holder);
                self.note_newest(holder, sent.asked_at, ran.newest);
                self.note_ran_remotely(member, statement.kind, &ran, sent);
                HolderReply::Answered((ran.result, ran.position))
            }
            Err(TunnelError::Refused(refusal)) => self.note_holder_refused(member, holder, refusal),
            Err(TunnelError::NotSent(_)) => self.note_holder_unreached(),
            Err(TunnelError::Sent(error)) => {
                self.metrics.note_remote(RemoteOutcome::Lost);
                HolderReply::Answered((Err(Unanswered::Sent(error)), None))
            }
        }
    }

    fn take_opened(
        self: &Rc<Self>,
        member: &MemberName,
        opened: OpenedAtHolder,
        asked_at: Timestamp,
        principal: Principal,
    ) -> RemoteOpening<W> {
        match opened {
            OpenedAtHolder::Open(granted, result) => {
                self.note_newest(granted.tunnel.holder(), asked_at, granted.newest);
                if granted.position.is_none() {
                    self.note_primary(member);
                }
                let mut located = self.granted(member.clone(), granted, principal);
                located.lease.in_transaction = true;
                RemoteOpening::Open(located, result)
            }
            OpenedAtHolder::Not(tunnel, why, newest) => {
                self.note_newest(tunnel.holder(), asked_at, newest);
                self.tunnels.keep_free(*tunnel);
                RemoteOpening::NotBegun(why)
            }
        }
    }

    /// A tunnel to one of the holders that are left to ask, which is taken off, and how long the request
    /// may wait there: half of its time, and all of it at the last one. None when the time is over or
    /// no holder can be reached.
    pub(super) async fn next_tunnel(
        &self,
        left: &mut Vec<Holder>,
        request: &ConnectionRequest<'_>,
    ) -> Option<(TunnelClient, Duration)> {
        let time_left = || request.give_up.saturating_duration_since(Instant::now());
        if left.is_empty() || time_left().is_zero() {
            return None;
        }
        let Ok(tunnel) = self.tunnels.reach(left).await else {
            self.metrics.note_remote(RemoteOutcome::NotReached);
            left.clear();
            return None;
        };
        let holder = tunnel.holder();
        left.retain(|it| it.address != holder.address);
        let wait = if left.is_empty() { time_left() } else { time_left() / 2 };
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

    fn granted(
        self: &Rc<Self>,
        member: MemberName,
        granted: Granted,
        principal: Principal,
    ) -> Located<W> {
        self.with_member(&member, |it| it.remote_in_use += 1);
        let transport = Transport::Tunnel(granted.tunnel);
        let mut connection = MemberConnection::new(self.wire.clone(), transport, principal);
        connection.profile = granted.profile;
        let lease = Lease::remote(Rc::clone(self), member, connection);
        Located { lease, position: granted.position }
    }

    /// A lease on a connection that another gateway holds is over.
    pub(crate) fn remote_ended(
        &self,
        name: &MemberName,
        connection: MemberConnection<W>,
        settled: bool,
    ) {
        self.with_member(name, |it| it.remote_in_use = it.remote_in_use.saturating_sub(1));
        let Some((tunnel, profile)) = connection.into_tunnel() else { return };
        if tunnel.is_silent() {
            self.tunnels.note_silent(tunnel.holder());
        }
        // Without a release the holder sees the tunnel close, and closes the connection.
        if settled {
            self.tunnels.release(tunnel, profile);
        }
    }
}

/// A statement that another gateway runs counts at the member while it does.
struct RemoteUse<'g, W: Wire> {
    group: &'g Group<W>,
    member: &'g MemberName,
}

impl<'g, W: Wire> RemoteUse<'g, W> {
    fn new(group: &'g Group<W>, member: &'g MemberName) -> Self {
        group.with_member(member, |it| it.remote_in_use += 1);
        Self { group, member }
    }
}

impl<W: Wire> Drop for RemoteUse<'_, W> {
    fn drop(&mut self) {
        self.group
            .with_member(self.member, |it| it.remote_in_use = it.remote_in_use.saturating_sub(1));
    }
}
