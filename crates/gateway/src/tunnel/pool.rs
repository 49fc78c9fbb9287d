//! Pool of idle tunnels to other gateways, and the table of these gateways' latencies and failures.
//!
//! The group and the limits send their requests to other gateways through it.
//! [`corktack_core::gateway::PeerTable`] decides which gateways to ask and how long to wait;
//! [`client`](super::client) implements a single exchange.

use super::client::{
    GrantedConnection, OpenedAtHolder, OperationsRequest, RanAtHolder, RemoteRequest, TunnelClient,
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

/// Most idle tunnels that are kept to one gateway. With fewer, concurrent statements must open new tunnels;
/// more keep sockets open between all gateways.
const MAX_IDLE_TUNNELS: usize = 4;

/// Idle tunnels and the table of peers.
#[derive(Debug)]
pub(crate) struct Tunnels {
    /// Idle tunnels, by the holder's address.
    idle: RefCell<HashMap<SocketAddr, Vec<TunnelClient>>>,
    peers: RefCell<PeerTable>,
    clock: SteadyClock,
}

impl Tunnels {
    pub(crate) fn new(clock: SteadyClock) -> Self {
        Self { idle: RefCell::default(), peers: RefCell::default(), clock }
    }

    /// Returns the holders to ask now, at most `max_holders`, in the order in which to ask them.
    pub(crate) fn candidates(&self, holders: &HolderChoice, max_holders: usize) -> Vec<Holder> {
        holders.candidates(self.clock.now(), &self.peers.borrow(), max_holders)
    }

    /// Returns the holders to ask now for a tenant, its home first. If this gateway holds connections itself
    /// (`own_address`), returns only the holders before it in the tenant's order.
    pub(crate) fn candidates_for_tenant(
        &self,
        holders: &HolderChoice,
        tenant: &TenantName,
        own_address: Option<SocketAddr>,
        max_holders: usize,
    ) -> Vec<Holder> {
        holders.candidates_for_tenant(
            tenant,
            own_address,
            self.clock.now(),
            &self.peers.borrow(),
            max_holders,
        )
    }

    /// Returns the holder that requests the primary's position for all gateways of this region; none if it is
    /// this gateway.
    pub(crate) fn region_relay(
        &self,
        holders: &HolderChoice,
        group: &GroupName,
        own_address: SocketAddr,
    ) -> Option<Holder> {
        holders.region_relay(group, own_address, self.clock.now(), &self.peers.borrow())
    }

    /// Returns a tunnel to the first of the holders that can be reached. The attempts are staggered: each
    /// starts a little after the one before, whether that has failed or is still in flight. No request is
    /// sent before a tunnel is open, so attempts at the other holders have no effect there.
    pub(crate) async fn connect_first(
        self: &Rc<Self>,
        holders: &[Holder],
    ) -> Result<TunnelClient, TunnelError> {
        if let Some(idle) = holders.first().and_then(|first| self.take_idle(*first)) {
            return Ok(idle);
        }
        let mut delay = Duration::ZERO;
        let mut attempts = FuturesUnordered::new();
        for holder in holders {
            attempts.push(self.open_after(delay, *holder));
            delay += self.peers.borrow().stagger(holder.distance);
        }
        let mut failure = LinkError::Closed;
        while let Some(opened) = attempts.next().await {
            match opened {
                Ok(Ok(tunnel)) => return Ok(tunnel),
                Ok(Err(error)) => failure = error,
                // The task of the attempt was dropped, which happens only at the end of the process.
                Err(_) => (),
            }
        }
        Err(TunnelError::NotSent(failure))
    }

    /// Opens a tunnel after `delay`, unless the receiver is dropped before. A tunnel that opens after the
    /// receiver is dropped is kept as idle.
    fn open_after(
        self: &Rc<Self>,
        delay: Duration,
        holder: Holder,
    ) -> oneshot::Receiver<Result<TunnelClient, LinkError>> {
        let (sender, receiver) = oneshot::channel();
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(delay).await;
            if sender.is_closed() {
                return;
            }
            let tunnel = tunnels.open(holder).await;
            if let Err(Ok(unused)) = sender.send(tunnel) {
                tunnels.keep_idle(unused);
            }
        });
        receiver
    }

    /// Returns an idle tunnel, or opens a new one.
    async fn open(&self, holder: Holder) -> Result<TunnelClient, LinkError> {
        if let Some(idle) = self.take_idle(holder) {
            return Ok(idle);
        }
        let connected = self.connect(holder).await;
        if let Err(error) = &connected {
            log::info!(holder:% = holder.address, error:% = error; "gateway cannot be reached");
            self.peers.borrow_mut().record_unanswered(holder.address, self.clock.now());
        }
        connected
    }

    /// Requests a connection from a holder.
    pub(crate) async fn acquire(
        &self,
        tunnel: TunnelClient,
        request: &RemoteRequest,
    ) -> Result<GrantedConnection, TunnelError> {
        let holder = tunnel.holder();
        let granted = tunnel.acquire(request).await;
        self.record_result(holder, &granted);
        granted
    }

    /// Requests a holder to begin a transaction and run its first statement.
    pub(crate) async fn begin(
        &self,
        tunnel: TunnelClient,
        request: &RemoteRequest,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<OpenedAtHolder, TunnelError> {
        let holder = tunnel.holder();
        let opened = tunnel.open(request, statement, limit).await;
        self.record_result(holder, &opened);
        opened
    }

    /// Reports whether a holder has answered recently.
    pub(crate) fn has_answered_recently(&self, holder: Holder) -> bool {
        self.peers.borrow().answers(holder.address, self.clock.now())
    }

    /// Keeps a tunnel with no request in flight for later requests.
    pub(crate) fn keep_free(&self, tunnel: TunnelClient) {
        self.keep_idle(tunnel);
    }

    /// Requests a holder to run a statement.
    pub(crate) async fn run(
        &self,
        mut tunnel: TunnelClient,
        request: &RemoteRequest,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RanAtHolder, TunnelError> {
        let ran = tunnel.run(request, statement, limit).await;
        self.finish_request(tunnel, &ran);
        ran
    }

    /// Requests the newest position of a group's primary from a holder.
    pub(crate) async fn ask_position(
        &self,
        mut tunnel: TunnelClient,
        request: &RemoteRequest,
        max_age: Duration,
    ) -> Result<Option<(Duration, Position)>, TunnelError> {
        let reported = tunnel.ask_position(request, max_age).await;
        self.finish_request(tunnel, &reported);
        reported
    }

    /// Requests the gateway that counts a tenant's operations to count more.
    pub(crate) async fn begin_operations(
        &self,
        mut tunnel: TunnelClient,
        tenant: &TenantName,
        request: OperationsRequest,
    ) -> Result<Result<AdmittedOperations, OverLimit>, TunnelError> {
        let begun = tunnel.begin_operations(tenant, request).await;
        self.finish_request(tunnel, &begun);
        begun
    }

    /// Reports in the background, to the gateway that counted operations, that they did not run. If the
    /// report is lost, the operations stay counted for a window.
    pub(crate) fn return_operations(
        self: &Rc<Self>,
        holder: Holder,
        tenant: TenantName,
        begun: AdmittedOperations,
    ) {
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            let Ok(mut tunnel) = tunnels.connect_first(&[holder]).await else { return };
            let returned = tunnel.return_operations(&tenant, begun).await;
            tunnels.finish_request(tunnel, &returned);
        });
    }

    /// Returns a lent connection in the background and keeps the tunnel as idle.
    pub(crate) fn release(
        self: &Rc<Self>,
        mut tunnel: Box<TunnelClient>,
        profile: ConnectionProfile,
    ) {
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            if tunnel.release(profile).await.is_ok() {
                tunnels.keep_idle(*tunnel);
            }
        });
    }

    /// Records that a holder missed a heartbeat: closes the idle tunnels to it and stops asking it for a
    /// while.
    pub(crate) fn record_silence(&self, holder: Holder) {
        log::info!(holder:% = holder.address; "gateway sends no heartbeat: it is not asked for a while");
        self.idle.borrow_mut().remove(&holder.address);
        self.peers.borrow_mut().record_unanswered(holder.address, self.clock.now());
    }

    async fn connect(&self, holder: Holder) -> Result<TunnelClient, LinkError> {
        let round_trip_limit = self.peers.borrow().round_trip_limit(holder.distance);
        let started_at = Instant::now();
        let stream = timeout(round_trip_limit, TcpStream::connect(holder.address)).await;
        let stream = stream.map_err(|_| LinkError::TimedOut)??;
        let elapsed = started_at.elapsed();
        self.peers.borrow_mut().record_connected(holder.distance, elapsed);
        Ok(TunnelClient::new(stream, holder, round_trip_limit)?)
    }

    /// Removes an idle tunnel to the holder from the pool, and closes broken ones.
    fn take_idle(&self, holder: Holder) -> Option<TunnelClient> {
        let mut idle = self.idle.borrow_mut();
        let tunnels = idle.get_mut(&holder.address)?;
        while let Some(tunnel) = tunnels.pop() {
            if !tunnel.is_broken() {
                return Some(tunnel);
            }
        }
        None
    }

    /// Ends a request: records its result for the holder, and keeps the tunnel as idle if the holder replied.
    fn finish_request<T>(&self, tunnel: TunnelClient, result: &Result<T, TunnelError>) {
        self.record_result(tunnel.holder(), result);
        if let Ok(_) | Err(TunnelError::Refused(_)) = result {
            self.keep_idle(tunnel);
        }
    }

    /// Records whether a holder answered.
    fn record_result<T>(&self, holder: Holder, result: &Result<T, TunnelError>) {
        match result {
            Ok(_) | Err(TunnelError::Refused(_)) => {
                self.peers.borrow_mut().record_answered(holder.address, self.clock.now());
            }
            Err(TunnelError::Sent(LinkError::HolderSilent | LinkError::TimedOut)) => {
                self.record_silence(holder);
            }
            Err(TunnelError::Sent(error) | TunnelError::NotSent(error)) => {
                log::info!(holder:% = holder.address, error:% = error; "tunnel lost");
            }
        }
    }

    /// Adds a tunnel to the pool, or closes it if the pool is full.
    fn keep_idle(&self, mut tunnel: TunnelClient) {
        tunnel.shrink();
        let mut idle = self.idle.borrow_mut();
        let tunnels = idle.entry(tunnel.holder().address).or_default();
        if tunnels.len() < MAX_IDLE_TUNNELS {
            tunnels.push(tunnel);
        }
    }
}
