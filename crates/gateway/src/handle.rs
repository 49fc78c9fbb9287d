//! Starts and stops a gateway.
//!
//! Starts the tasks that run as long as the gateway: accepting connections, applying configuration changes,
//! reporting on limits, closing idle connections. The tasks have their state in [`shared`](crate::shared).

use crate::clock::SteadyClock;
use crate::drain::drain;
use crate::error::GatewayError;
use crate::group::MemberReach;
use crate::holder::accept_tunnels;
use crate::limits::{Limits, LimitsLink, run_allowance_reports};
use crate::metrics::Metrics;
use crate::retry_after::{self, not_run};
use crate::routes::Routes;
use crate::session::serve_caller;
use crate::settings::GatewaySettings;
use crate::shared::GatewayContext;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_clients::{ClientMetrics, Clients, CloseReason, TooManyClients};
use corktack_core::statement::{ErrorCode, Reply};
use corktack_core::view::View;
use corktack_tasks::essential;
use prometheus_client::registry::Registry;
use std::io::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Pause after a failed accept, most likely for want of file descriptors. A shorter pause spends processor
/// time on attempts that fail; a longer one makes callers wait when descriptors are free again.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two searches for connections that have been idle for long, and between two updates of the
/// gauges. A lower value costs processor time; a higher one closes connections later than their idle limit.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Bound listeners of a gateway.
#[derive(Debug)]
pub struct GatewayListeners {
    /// Listener for callers.
    pub callers: std::net::TcpListener,
    /// Listener for tunnels of other gateways.
    pub peers: std::net::TcpListener,
}

/// Channels between a gateway and the client of control in its process.
#[derive(Debug)]
pub struct GatewayLinks {
    /// Configuration in force.
    pub views: watch::Receiver<Arc<View>>,
    /// Time of the last request to control that confirmed the configuration as current; none before the
    /// first.
    pub confirmed_current: watch::Receiver<Option<std::time::Instant>>,
    /// Reports to control whether this gateway reaches members.
    pub reach_reports: mpsc::UnboundedSender<MemberReach>,
    /// Reports and grants for the limits of tenants.
    pub limits: LimitsLink,
    /// Metrics of the process's clients, which the callers are part of.
    pub client_metrics: ClientMetrics,
}

fn to_async_listener(listener: std::net::TcpListener) -> Result<TcpListener, GatewayError> {
    listener.set_nonblocking(true).map_err(GatewayError::Listener)?;
    TcpListener::from_std(listener).map_err(GatewayError::Listener)
}

/// Entry point for starting gateways.
#[derive(Debug)]
pub struct Gateway;

impl Gateway {
    /// Starts to serve callers on bound listeners, on the current arbiter, by the configuration received from
    /// control.
    ///
    /// # Errors
    /// [`GatewayError::Listener`] if a listener can't be used; no task is started then.
    pub fn start<W: Wire>(
        settings: GatewaySettings,
        wire: W,
        listeners: GatewayListeners,
        links: GatewayLinks,
        registry: &mut Registry,
    ) -> Result<GatewayHandle<W>, GatewayError> {
        let callers = to_async_listener(listeners.callers)?;
        let peers = to_async_listener(listeners.peers)?;
        let GatewayLinks {
            views,
            confirmed_current,
            reach_reports,
            limits: limits_link,
            client_metrics,
        } = links;
        let settings = Rc::new(settings);
        let clock = SteadyClock::start();
        let metrics = Metrics::register(registry);
        let tunnels = Rc::new(Tunnels::new(clock));
        let limits = Limits::new(&settings, Rc::clone(&tunnels), clock);
        let routes = Routes::new(
            wire.clone(),
            Rc::clone(&settings),
            reach_reports,
            confirmed_current,
            tunnels,
            clock,
            metrics.clone(),
        );
        let callers_account = Clients::new("callers", settings.callers, client_metrics);
        let shared = Rc::new(GatewayContext::new(
            wire,
            settings,
            routes,
            metrics,
            limits,
            callers_account,
            clock,
        ));
        actix_rt::spawn(essential(
            "allowance-reports",
            run_allowance_reports(Rc::clone(&shared.limits), limits_link),
        ));
        actix_rt::spawn(essential("apply-views", apply_views(Rc::clone(&shared), views)));
        actix_rt::spawn(essential("accept-callers", accept_callers(callers, Rc::clone(&shared))));
        actix_rt::spawn(essential("accept-tunnels", accept_tunnels(peers, Rc::clone(&shared))));
        actix_rt::spawn(essential("sweep", sweep(Rc::clone(&shared))));
        Ok(GatewayHandle { shared })
    }
}

/// Handle of a running gateway. Dropping it doesn't stop the gateway.
pub struct GatewayHandle<W: Wire> {
    shared: Rc<GatewayContext<W>>,
}

impl<W: Wire> std::fmt::Debug for GatewayHandle<W> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("GatewayHandle").finish_non_exhaustive()
    }
}

impl<W: Wire> GatewayHandle<W> {
    /// Reports whether the gateway has received a configuration.
    #[must_use]
    pub fn has_document(&self) -> bool {
        self.shared.routes.has_document()
    }

    /// Ends every session between two statements; returns once all have ended, and the requests of other
    /// gateways with them, or [`GatewaySettings::stop_limit`] is over.
    pub async fn drain(&self) {
        drain(&self.shared).await;
    }
}

async fn apply_views<W: Wire>(
    shared: Rc<GatewayContext<W>>,
    mut views: watch::Receiver<Arc<View>>,
) {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        if shared.routes.apply_view(&view) {
            shared.routes.with_tenants(|tenants| shared.limits.update_rates(tenants));
        }
        shared.limits.set_peers(&shared.routes.zone_peers());
        if shared.routes.has_document() {
            shared.notify_document();
        }
        if views.changed().await.is_err() {
            return;
        }
    }
}

async fn accept_callers<W: Wire>(listener: TcpListener, shared: Rc<GatewayContext<W>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match shared.callers.connect() {
                Ok(client) => {
                    actix_rt::spawn(serve_caller(stream, client, Rc::clone(&shared)));
                }
                Err(TooManyClients) => refuse_caller(&shared, stream),
            },
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a caller's connection");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Refuses a connection without waiting, as no descriptor is left for connections that end.
fn refuse_caller<W: Wire>(shared: &GatewayContext<W>, stream: TcpStream) {
    let reason = CloseReason::ConnectionRefused.text();
    let text = not_run(reason, retry_after::CLIENT_LIMITS);
    let mut output = BytesMut::new();
    shared.wire.encode_reply(&Reply::Error { code: ErrorCode::Busy, text }, &mut output);
    // The runtime doesn't know yet that the socket takes bytes, so that the socket itself is asked. A refusal
    // that it doesn't take at once is lost: the client is to go either way.
    let _ = stream.into_std().and_then(|stream| (&stream).write(&output));
}

async fn sweep<W: Wire>(shared: Rc<GatewayContext<W>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shared.routes.close_unused();
        shared
            .metrics
            .record_connection_totals(&shared.routes.connection_totals(), shared.stop.sessions());
        shared.metrics.record_limits(shared.limits.totals());
        shared.callers.sweep();
    }
}
