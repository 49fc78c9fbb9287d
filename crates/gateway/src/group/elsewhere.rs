//! Members that other gateways hold connections to.

mod told;

use super::{Group, Located, Wish};
use crate::answer::Answer;
use crate::connection::MemberConnection;
use crate::error::{AcquireError, LinkError};
use crate::lease::Lease;
use crate::metrics::ElsewhereOutcome;
use crate::run::{LoneStatement, Unanswered};
use crate::transport::Transport;
use crate::tunnel::{Granted, OpenedElsewhere, TunnelClient, TunnelError, TunnelWish};
use crate::wire::Wire;
use corktack_core::gateway::{Holder, ReadPosition};
use corktack_core::identity::MemberName;
use corktack_core::tenancy::Principal;
use corktack_core::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What came of asking one gateway.
enum Asked<T> {
    /// It said this.
    Answer(T),
    /// The next one may serve. This one said when it may have room, if it has none now.
    Next(Option<Duration>),
    /// Nobody else is asked.
    Over(AcquireError),
}

/// A transaction that another gateway was asked to begin, with its first statement.
pub(crate) enum OpenedThere<W: Wire> {
    /// It gave a connection, on which the transaction is still to be begun.
    Lent(Located<W>),
    /// It is open; this came of the statement.
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
    pub(crate) async fn forward(
        self: &Rc<Self>,
        member: MemberName,
        holders: &[Holder],
        wish: &Wish<'_>,
    ) -> Result<Located<W>, AcquireError> {
        let ask = async |tunnel, wish| self.ask_to_lend(&member, tunnel, wish).await;
        self.ask_in_turn(&member, holders, wish, ask).await
    }

    /// Has another gateway begin a transaction on one of its connections and run its first statement. Of
    /// one that has not answered lately a connection is asked for first: without it nothing is lost.
    pub(crate) async fn open_elsewhere(
        self: &Rc<Self>,
        member: &MemberName,
        holders: &[Holder],
        wish: &Wish<'_>,
        first: LoneStatement<'_>,
        deadline: Instant,
    ) -> Result<OpenedThere<W>, AcquireError> {
        let ask = async |tunnel: TunnelClient, wish| {
            if self.tunnels.answers(tunnel.holder()) {
                return self.ask_to_open(member, tunnel, wish, first, deadline).await;
            }
            match self.ask_to_lend(member, tunnel, wish).await {
                Asked::Answer(located) => Asked::Answer(OpenedThere::Lent(located)),
                Asked::Next(said) => Asked::Next(said),
                Asked::Over(error) => Asked::Over(error),
            }
        };
        self.ask_in_turn(member, holders, wish, ask).await
    }

    /// Has another gateway run a statement on one of its connections. A statement that may have
    /// reached a member is not sent again here: whether it may be is for the caller to know.
    pub(crate) async fn run_elsewhere(
        self: &Rc<Self>,
        member: &MemberName,
        holders: &[Holder],
        wish: &Wish<'_>,
        statement: LoneStatement<'_>,
        deadline: Instant,
    ) -> Result<(Result<Answer, Unanswered>, Option<ReadPosition>), AcquireError> {
        let _place = ForwardedPlace::new(self, member);
        let ask =
            async |tunnel, wish| self.ask_to_run(member, tunnel, wish, statement, deadline).await;
        self.ask_in_turn(member, holders, wish, ask).await
    }

    /// Asks the holders one after the other until one answers.
    async fn ask_in_turn<T>(
        &self,
        member: &MemberName,
        holders: &[Holder],
        wish: &Wish<'_>,
        ask: impl AsyncFn(TunnelClient, TunnelWish) -> Asked<T>,
    ) -> Result<T, AcquireError> {
        let mut left = holders.to_vec();
        let mut room = None;
        while let Some((tunnel, wait)) = self.next_tunnel(&mut left, wish).await {
            let tunnel_wish = self.tunnel_wish(member, wish, wait);
            match ask(tunnel, tunnel_wish).await {
                Asked::Answer(answer) => return Ok(answer),
                Asked::Next(said) => room = room.into_iter().chain(said).min(),
                Asked::Over(error) => return Err(error),
            }
        }
        Err(self.none_elsewhere(member.clone(), wish, room))
    }

    async fn ask_to_lend(
        self: &Rc<Self>,
        member: &MemberName,
        tunnel: TunnelClient,
        wish: TunnelWish,
    ) -> Asked<Located<W>> {
        let holder = tunnel.holder();
        let asked_at = self.now();
        match self.tunnels.acquire(tunnel, &wish).await {
            Ok(granted) => {
                self.heard(member, holder);
                self.note_newest(holder, asked_at, granted.newest);
                Asked::Answer(self.granted(member.clone(), granted, wish.principal))
            }
            Err(TunnelError::Refused(refusal)) => self.refused(member, holder, refusal),
            // Nothing was run on a connection that was not granted.
            Err(TunnelError::NotSent(_) | TunnelError::Sent(_)) => self.unheard(),
        }
    }

    async fn ask_to_open(
        self: &Rc<Self>,
        member: &MemberName,
        tunnel: TunnelClient,
        wish: TunnelWish,
        first: LoneStatement<'_>,
        deadline: Instant,
    ) -> Asked<OpenedThere<W>> {
        let holder = tunnel.holder();
        let asked_at = self.now();
        let limit = deadline.saturating_duration_since(Instant::now());
        match self.tunnels.begin(tunnel, &wish, first.to_request(), limit).await {
            Ok(opened) => {
                self.heard(member, holder);
                Asked::Answer(self.take_opened(member, opened, asked_at, wish.principal))
            }
            Err(TunnelError::Refused(refusal)) => self.refused(member, holder, refusal),
            Err(TunnelError::NotSent(_)) => self.unheard(),
            Err(TunnelError::Sent(error)) => {
                self.metrics.note_elsewhere(ElsewhereOutcome::Lost);
                Asked::Answer(OpenedThere::Lost(error))
            }
        }
    }

    async fn ask_to_run(
        self: &Rc<Self>,
        member: &MemberName,
        tunnel: TunnelClient,
        wish: TunnelWish,
        statement: LoneStatement<'_>,
        deadline: Instant,
    ) -> Asked<(Result<Answer, Unanswered>, Option<ReadPosition>)> {
        let holder = tunnel.holder();
        let sent = RequestSent { asked_at: self.now(), instant: Instant::now() };
        let limit = deadline.saturating_duration_since(sent.instant);
        match self.tunnels.run(tunnel, &wish, statement.to_request(), limit).await {
            Ok(ran) => {
                self.heard(member, holder);
                self.note_newest(holder, sent.asked_at, ran.newest);
                self.note_ran_elsewhere(member, statement.kind, &ran, sent);
                Asked::Answer((ran.result, ran.position))
            }
            Err(TunnelError::Refused(refusal)) => self.refused(member, holder, refusal),
            Err(TunnelError::NotSent(_)) => self.unheard(),
            Err(TunnelError::Sent(error)) => {
                self.metrics.note_elsewhere(ElsewhereOutcome::Lost);
                Asked::Answer((Err(Unanswered::Sent(error)), None))
            }
        }
    }

    fn take_opened(
        self: &Rc<Self>,
        member: &MemberName,
        opened: OpenedElsewhere,
        asked_at: Timestamp,
        principal: Principal,
    ) -> OpenedThere<W> {
        match opened {
            OpenedElsewhere::Open(granted, result) => {
                self.note_newest(granted.tunnel.holder(), asked_at, granted.newest);
                if granted.position.is_none() {
                    self.note_primary(member);
                }
                let mut located = self.granted(member.clone(), granted, principal);
                located.lease.in_transaction = true;
                OpenedThere::Open(located, result)
            }
            OpenedElsewhere::Not(tunnel, why, newest) => {
                self.note_newest(tunnel.holder(), asked_at, newest);
                self.tunnels.take_back(*tunnel);
                OpenedThere::NotBegun(why)
            }
        }
    }

    /// A tunnel to one of the holders that are left to ask, which is taken off, and how long the wish
    /// may wait there: half of its time, and all of it at the last one. None when the time is over or
    /// no holder can be reached.
    pub(super) async fn next_tunnel(
        &self,
        left: &mut Vec<Holder>,
        wish: &Wish<'_>,
    ) -> Option<(TunnelClient, Duration)> {
        let time_left = || wish.give_up.saturating_duration_since(Instant::now());
        if left.is_empty() || time_left().is_zero() {
            return None;
        }
        let Ok(tunnel) = self.tunnels.reach(left).await else {
            self.metrics.note_elsewhere(ElsewhereOutcome::NotReached);
            left.clear();
            return None;
        };
        let holder = tunnel.holder();
        left.retain(|it| it.address != holder.address);
        let wait = if left.is_empty() { time_left() } else { time_left() / 2 };
        Some((tunnel, wait))
    }

    pub(super) fn tunnel_wish(
        &self,
        member: &MemberName,
        wish: &Wish<'_>,
        wait: Duration,
    ) -> TunnelWish {
        TunnelWish {
            group: self.name.clone(),
            member: member.clone(),
            principal: wish.principal.cloned().unwrap_or_default(),
            priority: wish.kind.priority,
            wait,
            bound: wish.bound,
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
struct ForwardedPlace<'g, W: Wire> {
    group: &'g Group<W>,
    member: &'g MemberName,
}

impl<'g, W: Wire> ForwardedPlace<'g, W> {
    fn new(group: &'g Group<W>, member: &'g MemberName) -> Self {
        group.with_member(member, |it| it.remote_in_use += 1);
        Self { group, member }
    }
}

impl<W: Wire> Drop for ForwardedPlace<'_, W> {
    fn drop(&mut self) {
        self.group
            .with_member(self.member, |it| it.remote_in_use = it.remote_in_use.saturating_sub(1));
    }
}
