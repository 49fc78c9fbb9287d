//! Connections to members that other gateways hold.

use super::{Group, Wish};
use crate::connection::MemberConnection;
use crate::error::AcquireError;
use crate::lease::Lease;
use crate::transport::Transport;
use crate::tunnel::{Grant, TunnelClient, TunnelWish};
use crate::wire::Wire;
use corktack_core::gateway::ConnectionProfile;
use corktack_core::identity::MemberName;
use corktack_core::position::Position;
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::TunnelRefusal;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Gateways that are asked for one statement.
const HOLDERS_ASKED: usize = 3;

impl<W: Wire> Group<W> {
    /// Uses a connection that another gateway holds. One that does not reach the member says little
    /// about the next; one that has no connection to give speaks for all.
    pub(super) async fn forward(
        self: &Rc<Self>,
        member: MemberName,
        holders: &[SocketAddr],
        wish: &Wish<'_>,
    ) -> Result<Lease<W>, AcquireError> {
        for holder in holders.iter().take(HOLDERS_ASKED) {
            let wait = wish.give_up.saturating_duration_since(Instant::now());
            let tunnel_wish = TunnelWish {
                group: self.name.clone(),
                member: member.clone(),
                priority: wish.priority,
                wait,
            };
            let asked_at = self.clock.now();
            match self.tunnels.acquire(*holder, &tunnel_wish).await {
                Ok(Grant::Granted(tunnel, profile, newest)) => {
                    self.with_member(&member, |it| it.detour_through(*holder));
                    return Ok(self.granted(member, tunnel, profile, asked_at, newest));
                }
                Ok(Grant::Refused(TunnelRefusal::NoneFree)) => {
                    self.with_member(&member, |it| it.detour_through(*holder));
                    return Err(AcquireError::NoneFree);
                }
                Ok(Grant::Refused(TunnelRefusal::Unreachable | TunnelRefusal::NotHeld)) => (),
                Err(error) => {
                    log::info!(holder:% = holder, error:% = error; "gateway gives no connection");
                }
            }
            if Instant::now() >= wish.give_up {
                break;
            }
        }
        let now = Instant::now();
        let steady = self.clock.now();
        self.with_member(&member, |it| it.detour.failed(steady));
        if now >= wish.give_up {
            return Err(AcquireError::NoneFree);
        }
        self.with_member(&member, |it| it.note_busy(now));
        Err(AcquireError::Unreachable(member))
    }

    fn granted(
        self: &Rc<Self>,
        member: MemberName,
        tunnel: Box<TunnelClient>,
        profile: ConnectionProfile,
        asked_at: Timestamp,
        newest: Option<(Duration, Position)>,
    ) -> Lease<W> {
        if let Some((age, position)) = newest {
            // The holder took the age after it was asked: the question is no older than this.
            let primary_asked_at = Timestamp(asked_at.0.saturating_sub(age.as_micros() as u64));
            self.freshness.borrow_mut().note(primary_asked_at, position);
        }
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
