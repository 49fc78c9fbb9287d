//! The tunnels of a gateway, and what it knows of the gateways at their other ends.
//!
//! It is for the group and the limits, which ask other gateways. It owns the tunnels that nobody uses and the
//! table of peers. It relies on [`client`](super::client) for one exchange, and on
//! [`corktack_core::gateway::PeerTable`] for whom to ask and how long to wait.

use super::client::{
    Granted, OpenedAtHolder, OperationsRequest, RanAtHolder, RemoteRequest, TunnelClient,
    TunnelError,
};
use crate::clock::SteadyClock;
use crate::error::LinkError;
use corktack_core::gateway::{ConnectionProfile, Holder, HolderChoice, PeerTable};
use corktack_core::identity::GroupName;
use corktack_core::limits::{AdmittedOperations, OverLimit};
use corktack_core::position::Position;
use corktack_core::tenancy::TenantName;
use corktack_protocol::tunnel::LoneRequest;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

/// Tunnels to one gateway that are kept while nobody uses them. Chosen, not measured: fewer cost a connection
/// for statements that come together, more keep sockets open between all gateways.
const IDLE_TUNNELS: usize = 4;

/// The tunnels that nobody uses now, by holder.
#[derive(Debug)]
pub(crate) struct Tunnels {
    idle: RefCell<HashMap<SocketAddr, Vec<TunnelClient>>>,
    peers: RefCell<PeerTable>,
    clock: SteadyClock,
}

impl Tunnels {
    pub(crate) fn new(clock: SteadyClock) -> Self {
        Self { idle: RefCell::default(), peers: RefCell::default(), clock }
    }

    /// The holders to ask now, at most so many.
    pub(crate) fn to_ask(&self, holders: &HolderChoice, most: usize) -> Vec<Holder> {
        holders.to_ask(self.clock.now(), &self.peers.borrow(), most)
    }

    /// The holders to ask now for a tenant, its home first; of a gateway that holds connections itself,
    /// only those before it.
    pub(crate) fn to_ask_for(
        &self,
        holders: &HolderChoice,
        tenant: &TenantName,
        own: Option<SocketAddr>,
        most: usize,
    ) -> Vec<Holder> {
        holders.to_ask_for(tenant, own, self.clock.now(), &self.peers.borrow(), most)
    }

    /// The holder of the own region that asks the primary of a group for all gateways there; none where it
    /// is this one.
    pub(crate) fn region_relay(
        &self,
        holders: &HolderChoice,
        group: &GroupName,
        own: SocketAddr,
    ) -> Option<Holder> {
        holders.region_relay(group, own, self.clock.now(), &self.peers.borrow())
    }

    /// A tunnel to the first of these holders that can be reached. Each is tried a little after the one
    /// before, whether that has failed or is still silent. Nothing is sent before one is there, so that
    /// it does not matter who else was tried.
    pub(crate) async fn reach(
        self: &Rc<Self>,
        holders: &[Holder],
    ) -> Result<TunnelClient, TunnelError> {
        if let Some(kept) = holders.first().and_then(|first| self.kept(*first)) {
            return Ok(kept);
        }
        let mut delay = Duration::ZERO;
        let mut tries = FuturesUnordered::new();
        for holder in holders {
            tries.push(self.open_after(delay, *holder));
            delay += self.peers.borrow().stagger(holder.distance);
        }
        let mut failure = LinkError::Closed;
        while let Some(opened) = tries.next().await {
            match opened {
                Ok(Ok(tunnel)) => return Ok(tunnel),
                Ok(Err(error)) => failure = error,
                // The task ends only with the process.
                Err(_) => (),
            }
        }
        Err(TunnelError::NotSent(failure))
    }

    /// Opens a tunnel after some time, if it is still wanted then; one that comes too late is kept.
    fn open_after(
        self: &Rc<Self>,
        delay: Duration,
        holder: Holder,
    ) -> oneshot::Receiver<Result<TunnelClient, LinkError>> {
        let (wanted, opened) = oneshot::channel();
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(delay).await;
            if wanted.is_closed() {
                return;
            }
            let tunnel = tunnels.open(holder).await;
            if let Err(Ok(unwanted)) = wanted.send(tunnel) {
                tunnels.keep(unwanted);
            }
        });
        opened
    }

    /// A kept tunnel, or a new one.
    async fn open(&self, holder: Holder) -> Result<TunnelClient, LinkError> {
        if let Some(kept) = self.kept(holder) {
            return Ok(kept);
        }
        let connected = self.connect(holder).await;
        if let Err(error) = &connected {
            log::info!(holder:% = holder.address, error:% = error; "gateway cannot be reached");
            self.peers.borrow_mut().note_unanswered(holder.address, self.clock.now());
        }
        connected
    }

    /// Asks a holder for a connection.
    pub(crate) async fn acquire(
        &self,
        tunnel: TunnelClient,
        request: &RemoteRequest,
    ) -> Result<Granted, TunnelError> {
        let holder = tunnel.holder();
        let granted = tunnel.acquire(request).await;
        self.note(holder, &granted);
        granted
    }

    /// Has a holder begin a transaction and run its first statement.
    pub(crate) async fn begin(
        &self,
        tunnel: TunnelClient,
        request: &RemoteRequest,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<OpenedAtHolder, TunnelError> {
        let holder = tunnel.holder();
        let opened = tunnel.open(request, statement, limit).await;
        self.note(holder, &opened);
        opened
    }

    /// Whether a holder has answered lately.
    pub(crate) fn answers(&self, holder: Holder) -> bool {
        self.peers.borrow().answers(holder.address, self.clock.now())
    }

    /// Takes a tunnel back on which nothing is outstanding.
    pub(crate) fn keep_free(&self, tunnel: TunnelClient) {
        self.keep(tunnel);
    }

    /// Has a holder run a statement.
    pub(crate) async fn run(
        &self,
        mut tunnel: TunnelClient,
        request: &RemoteRequest,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RanAtHolder, TunnelError> {
        let ran = tunnel.run(request, statement, limit).await;
        self.ended(tunnel, &ran);
        ran
    }

    /// Asks a holder for the newest position of a group's primary.
    pub(crate) async fn ask_position(
        &self,
        mut tunnel: TunnelClient,
        request: &RemoteRequest,
        max_age: Duration,
    ) -> Result<Option<(Duration, Position)>, TunnelError> {
        let reported = tunnel.ask_position(request, max_age).await;
        self.ended(tunnel, &reported);
        reported
    }

    /// Asks the gateway that counts a tenant's operations for some.
    pub(crate) async fn begin_operations(
        &self,
        mut tunnel: TunnelClient,
        tenant: &TenantName,
        request: OperationsRequest,
    ) -> Result<Result<AdmittedOperations, OverLimit>, TunnelError> {
        let begun = tunnel.begin_operations(tenant, request).await;
        self.ended(tunnel, &begun);
        begun
    }

    /// Tells the gateway that counted operations that they did not run. One that does not hear it counts
    /// them for a window.
    pub(crate) fn return_operations(
        self: &Rc<Self>,
        holder: Holder,
        tenant: TenantName,
        begun: AdmittedOperations,
    ) {
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            let Ok(mut tunnel) = tunnels.reach(&[holder]).await else { return };
            let returned = tunnel.return_operations(&tenant, begun).await;
            tunnels.ended(tunnel, &returned);
        });
    }

    /// Ends a lease in the background and keeps the tunnel.
    pub(crate) fn release(
        self: &Rc<Self>,
        mut tunnel: Box<TunnelClient>,
        profile: ConnectionProfile,
    ) {
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            if tunnel.release(profile).await.is_ok() {
                tunnels.keep(*tunnel);
            }
        });
    }

    /// A holder sent no heartbeat when it should have.
    pub(crate) fn record_silence(&self, holder: Holder) {
        log::info!(holder:% = holder.address; "gateway gives no sign of life: it is left aside");
        self.idle.borrow_mut().remove(&holder.address);
        self.peers.borrow_mut().note_unanswered(holder.address, self.clock.now());
    }

    async fn connect(&self, holder: Holder) -> Result<TunnelClient, LinkError> {
        let limit = self.peers.borrow().round_trip_limit(holder.distance);
        let begun = Instant::now();
        let stream = timeout(limit, TcpStream::connect(holder.address)).await;
        let stream = stream.map_err(|_| LinkError::TimedOut)??;
        let taken = begun.elapsed();
        self.peers.borrow_mut().note_connected(holder.distance, taken);
        Ok(TunnelClient::new(stream, holder, limit)?)
    }

    fn kept(&self, holder: Holder) -> Option<TunnelClient> {
        let mut idle = self.idle.borrow_mut();
        let tunnels = idle.get_mut(&holder.address)?;
        while let Some(tunnel) = tunnels.pop() {
            if !tunnel.is_broken() {
                return Some(tunnel);
            }
        }
        None
    }

    /// A tunnel is free again, if all that was asked on it was answered.
    fn ended<T>(&self, tunnel: TunnelClient, result: &Result<T, TunnelError>) {
        self.note(tunnel.holder(), result);
        if let Ok(_) | Err(TunnelError::Refused(_)) = result {
            self.keep(tunnel);
        }
    }

    /// Remembers whether a holder answered.
    fn note<T>(&self, holder: Holder, result: &Result<T, TunnelError>) {
        match result {
            Ok(_) | Err(TunnelError::Refused(_)) => {
                self.peers.borrow_mut().note_answered(holder.address, self.clock.now());
            }
            Err(TunnelError::Sent(LinkError::HolderSilent | LinkError::TimedOut)) => {
                self.record_silence(holder);
            }
            Err(TunnelError::Sent(error) | TunnelError::NotSent(error)) => {
                log::info!(holder:% = holder.address, error:% = error; "tunnel lost");
            }
        }
    }

    fn keep(&self, tunnel: TunnelClient) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(tunnel.holder().address).or_default();
        if kept.len() < IDLE_TUNNELS {
            kept.push(tunnel);
        }
    }
}
