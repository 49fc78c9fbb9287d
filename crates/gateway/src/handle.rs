//! Starts and stops a gateway.
//!
//! It is for the process that the gateway runs in. It owns the listeners and the tasks that run as long as the
//! gateway: accepting, following the configuration, closing what is unused. It relies on
//! [`shared`](crate::shared) for everything that these have in common.

use crate::clock::SteadyClock;
use crate::drain::drain;
use crate::error::GatewayError;
use crate::group::MemberReach;
use crate::holder::accept_tunnels;
use crate::limits::{Limits, LimitsLink, run_allowance_reports};
use crate::metrics::Metrics;
use crate::routes::Routes;
use crate::session::serve_caller;
use crate::settings::GatewaySettings;
use crate::shared::Shared;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::view::View;
use prometheus_client::registry::Registry;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Pause after a failed accept (out of file descriptors, most likely). Chosen, not measured: lower, the
/// process spends its time on attempts that fail; higher, callers wait though descriptors are free again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time between two searches for connections that have not been used for long, and between two updates of the
/// gauges. Chosen, not measured: lower costs processor time, higher closes connections later than their limit.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Bound listeners of a gateway.
#[derive(Debug)]
pub struct GatewayListeners {
    /// For callers.
    pub callers: std::net::TcpListener,
    /// For other gateways.
    pub peers: std::net::TcpListener,
}

/// The links between a gateway and control.
#[derive(Debug)]
pub struct GatewayLinks {
    /// The configuration in force.
    pub views: watch::Receiver<Arc<View>>,
    /// When control was last asked whether that is current, and said so.
    pub proved: watch::Receiver<Option<std::time::Instant>>,
    /// Takes what the gateway finds out of members.
    pub reach: mpsc::UnboundedSender<MemberReach>,
    /// Limits of tenants.
    pub limits: LimitsLink,
}

fn adopt(listener: std::net::TcpListener) -> Result<TcpListener, GatewayError> {
    listener.set_nonblocking(true).map_err(GatewayError::Listener)?;
    TcpListener::from_std(listener).map_err(GatewayError::Listener)
}

/// A gateway.
#[derive(Debug)]
pub struct Gateway;

impl Gateway {
    /// Serves callers on bound listeners, on this arbiter, by the configuration that control tells.
    ///
    /// # Errors
    /// [`GatewayError::Listener`]; nothing runs then.
    pub fn start<W: Wire>(
        settings: GatewaySettings,
        wire: W,
        listeners: GatewayListeners,
        links: GatewayLinks,
        registry: &mut Registry,
    ) -> Result<GatewayHandle<W>, GatewayError> {
        let callers = adopt(listeners.callers)?;
        let peers = adopt(listeners.peers)?;
        let GatewayLinks { views, proved, reach, limits: limits_link } = links;
        let settings = Rc::new(settings);
        let clock = SteadyClock::start();
        let metrics = Metrics::register(registry);
        let tunnels = Rc::new(Tunnels::new(clock));
        let limits = Limits::new(&settings, Rc::clone(&tunnels), clock);
        let routes = Routes::new(
            wire.clone(),
            Rc::clone(&settings),
            reach,
            proved,
            tunnels,
            clock,
            metrics.clone(),
        );
        let shared = Rc::new(Shared::new(wire, settings, routes, metrics, limits, clock));
        actix_rt::spawn(run_allowance_reports(Rc::clone(&shared.limits), limits_link));
        actix_rt::spawn(follow_views(Rc::clone(&shared), views));
        actix_rt::spawn(accept(callers, Rc::clone(&shared)));
        actix_rt::spawn(accept_tunnels(peers, Rc::clone(&shared)));
        actix_rt::spawn(sweep(Rc::clone(&shared)));
        Ok(GatewayHandle { shared })
    }
}

/// A running gateway.
pub struct GatewayHandle<W: Wire> {
    shared: Rc<Shared<W>>,
}

impl<W: Wire> std::fmt::Debug for GatewayHandle<W> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("GatewayHandle").finish_non_exhaustive()
    }
}

impl<W: Wire> GatewayHandle<W> {
    /// Whether there is a configuration to serve by.
    #[must_use]
    pub fn has_document(&self) -> bool {
        self.shared.routes.has_document()
    }

    /// Ends sessions as they become quiet; returns once all are over or their time is up.
    pub async fn drain(&self) {
        drain(&self.shared).await;
    }
}

async fn follow_views<W: Wire>(shared: Rc<Shared<W>>, mut views: watch::Receiver<Arc<View>>) {
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        if shared.routes.apply_view(&view) {
            shared.routes.with_tenants(|tenants| shared.limits.update_rates(tenants));
        }
        shared.limits.set_peers(&shared.routes.zone_peers());
        if shared.routes.has_document() {
            shared.record_document();
        }
        if views.changed().await.is_err() {
            return;
        }
    }
}

async fn accept<W: Wire>(listener: TcpListener, shared: Rc<Shared<W>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_caller(stream, Rc::clone(&shared)));
            }
            Err(error) => {
                log::warn!(error:% = error; "a caller cannot be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn sweep<W: Wire>(shared: Rc<Shared<W>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shared.routes.close_unused();
        shared.metrics.record_holdings(&shared.routes.holdings(), shared.sessions.get());
        shared.metrics.record_limits(shared.limits.totals());
    }
}
