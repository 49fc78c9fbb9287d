//! A test environment: gateways in front of groups of stand-in members, with a stand-in for control.

mod changes;
mod document;
mod limits_control;

pub use document::{
    BOUNDED, CALLERS, LINEARIZABLE, ONE_SHARE, OWN_WRITES, SHORT_BOUNDED, SHORT_STALENESS,
    SHORT_WAIT, group, settings,
};
pub use limits_control::LimitsControl;

use crate::member::Member;
use crate::wire::TestWire;
use corktack_clients::ClientMetrics;
use corktack_core::clients::ClientLimits;
use corktack_core::gateway::home_weight;
use corktack_core::gateway::{GatewayLocation, HolderTable, MemberCapacity};
use corktack_core::identity::{Incarnation, MemberName};
use corktack_core::registry::ServiceRule;
use corktack_core::tenancy::TenantName;
use corktack_core::view::{ProxyState, ProxyView, Revision, View};
use corktack_gateway::{
    Gateway, GatewayHandle, GatewayLinks, GatewayListeners, GatewaySettings, MemberReach,
};
use document::{LONG, document, gateway_name, other_group, register, tenant_rules, zone};
use limits_control::{TENANT_RATE, limits_link};
use prometheus_client::registry::Registry;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Running gateways, with the control ends of their channels.
pub struct World {
    /// Addresses of the gateways for callers.
    pub gateways: Vec<SocketAddr>,
    /// Addresses of the gateways for each other.
    pub peers: Vec<SocketAddr>,
    /// Time at which control last confirmed the gateways' configuration as current.
    pub confirmation: watch::Sender<Option<Instant>>,
    /// View of the gateways; dropping it ends their watch.
    views: watch::Sender<Arc<View>>,
    /// View of the first gateway, if it differs from that of the others.
    first_views: watch::Sender<Arc<View>>,
    /// Reports of the gateways to control about members.
    pub reach: mpsc::UnboundedReceiver<MemberReach>,
    reach_sender: mpsc::UnboundedSender<MemberReach>,
    _handles: Vec<GatewayHandle<TestWire>>,
    registries: Vec<Registry>,
    /// Control's ends of the gateways' channels for limits.
    pub controls: Vec<LimitsControl>,
}

/// Listeners of a gateway with their addresses, for callers and for other gateways.
type GatewaySockets = ((TcpListener, SocketAddr), (TcpListener, SocketAddr));

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

impl World {
    pub fn with_one_gateway(members: &[&Member]) -> Self {
        Self::start(members, 1, 36)
    }

    /// Starts a gateway that rolls back transactions that are idle for 1 ms.
    pub fn with_short_idle_limit(members: &[&Member]) -> Self {
        let (bound, mut view) = Self::prepare(members, 1, 36);
        view.document = Some(Arc::new(document(36, Duration::from_millis(1))));
        Self::launch(bound, view)
    }

    /// Starts one gateway in front of two groups. Routes lead to the second one only after
    /// [`World::move_own_writes_route`].
    pub fn with_two_groups(members: &[&Member], others: &[&Member]) -> Self {
        let (bound, mut view) = Self::prepare(members, 1, 36);
        let mut document = document(36, LONG);
        let other = ServiceRule { name: other_group(), ..document.services[0].clone() };
        document.services.push(other);
        view.document = Some(Arc::new(document));
        register(&mut view, &other_group(), others);
        Self::launch(bound, view)
    }

    /// Starts gateways that serve only callers with keys of the given tenants.
    pub fn with_tenants(
        members: &[&Member],
        gateways: usize,
        max_connections: u32,
        tenants: &[(&str, &[&str])],
    ) -> Self {
        let (bound, mut view) = Self::prepare(members, gateways, max_connections);
        let mut document = document(max_connections, LONG);
        document.tenants = Some(tenant_rules(tenants));
        view.document = Some(Arc::new(document));
        Self::launch(bound, view)
    }

    /// Starts one gateway that serves only callers with keys of the given tenants, whose rates are limited.
    pub fn with_limits(members: &[&Member], tenants: &[(&str, &[&str])]) -> Self {
        Self::with_limits_at(members, 1, tenants)
    }

    /// Starts several gateways as [`World::with_limits`] does, in one zone.
    pub fn with_limits_at(
        members: &[&Member],
        gateways: usize,
        tenants: &[(&str, &[&str])],
    ) -> Self {
        let (bound, mut view) = Self::prepare(members, gateways, 36);
        let mut document = document(36, LONG);
        let mut rules = tenant_rules(tenants);
        rules.iter_mut().for_each(|rule| rule.rate = Some(TENANT_RATE));
        document.tenants = Some(rules);
        view.document = Some(Arc::new(document));
        Self::launch(bound, view)
    }

    /// Returns the indices of the gateway that counts a tenant's operations and of another one.
    pub fn home_and_other(&self, tenant: &str) -> (usize, usize) {
        let tenant = TenantName::new(tenant).expect("a valid name");
        let weight = |index: &usize| home_weight(&tenant, self.peers[*index]);
        let home = (0..self.peers.len()).max_by_key(weight).expect("a gateway");
        (home, (home + 1) % self.peers.len())
    }

    pub fn start(members: &[&Member], gateways: usize, max_connections: u32) -> Self {
        let (bound, view) = Self::prepare(members, gateways, max_connections);
        Self::launch(bound, view)
    }

    fn prepare(
        members: &[&Member],
        gateways: usize,
        max_connections: u32,
    ) -> (Vec<GatewaySockets>, View) {
        let bound: Vec<_> = (0..gateways).map(|_| (bind(), bind())).collect();
        let mut view = View { revision: Revision(1), ..View::default() };
        view.document = Some(Arc::new(document(max_connections, LONG)));
        for (index, (_, (_, peers))) in bound.iter().enumerate() {
            let proxy = ProxyView {
                address: *peers,
                zone: zone(),
                incarnation: Incarnation(1),
                state: ProxyState::Live,
            };
            view.proxies.insert(gateway_name(index), proxy);
        }
        register(&mut view, &group(), members);
        (bound, view)
    }

    fn launch(bound: Vec<GatewaySockets>, view: View) -> Self {
        Self::launch_cut(bound, view, None)
    }

    /// Starts gateways of which the first can't reach one member.
    pub fn with_cut(members: &[&Member], gateways: usize, unreached: &Member) -> Self {
        let (bound, view) = Self::prepare(members, gateways, 36);
        let mut cut = view.clone();
        let name = MemberName::new(unreached.name.as_str()).expect("a valid name");
        let back_end = cut.back_ends.get_mut(&name).expect("a registered member");
        // Nothing listens at this address after the listener is dropped.
        Arc::make_mut(back_end).address = bind().1;
        Self::launch_cut(bound, view, Some(cut))
    }

    /// Starts gateways of which the first has no document until [`World::send_view_to_first`].
    pub fn with_first_unconfigured(
        members: &[&Member],
        gateways: usize,
        max_connections: u32,
    ) -> Self {
        let (bound, view) = Self::prepare(members, gateways, max_connections);
        Self::launch_cut(bound, view, Some(View::default()))
    }

    /// Sends the view of the other gateways to the first one.
    pub fn send_view_to_first(&self) {
        self.first_views.send_replace(Arc::clone(&self.views.borrow()));
    }

    fn launch_cut(bound: Vec<GatewaySockets>, view: View, first: Option<View>) -> Self {
        Self::launch_adjusted(bound, view, first, |_| ())
    }

    /// Starts a gateway that begins no operation if control last confirmed its configuration as current more
    /// than `limit` ago.
    pub fn with_confirmations(
        members: &[&Member],
        tenants: &[(&str, &[&str])],
        limit: Duration,
    ) -> Self {
        let (bound, mut view) = Self::prepare(members, 1, 36);
        let mut document = document(36, LONG);
        document.tenants = Some(tenant_rules(tenants));
        view.document = Some(Arc::new(document));
        Self::launch_adjusted(bound, view, None, |settings| {
            settings.max_confirmation_age = Some(limit)
        })
    }

    /// Starts gateways whose planned stops begin without a notice, with this grace period of transactions and
    /// this longest duration.
    pub fn with_stop_times(
        members: &[&Member],
        gateways: usize,
        max_connections: u32,
        transaction_grace: Duration,
        stop_limit: Duration,
    ) -> Self {
        let (bound, view) = Self::prepare(members, gateways, max_connections);
        Self::launch_adjusted(bound, view, None, |settings| {
            settings.transaction_grace = transaction_grace;
            settings.stop_limit = stop_limit;
        })
    }

    /// Starts one gateway whose callers have these limits.
    pub fn with_client_limits(members: &[&Member], limits: ClientLimits) -> Self {
        let (bound, view) = Self::prepare(members, 1, 36);
        Self::launch_adjusted(bound, view, None, |settings| settings.callers = limits)
    }

    /// Performs a planned stop of a gateway, whose process stays.
    pub async fn stop_gateway(&self, index: usize) {
        self._handles[index].drain().await;
    }

    fn launch_adjusted(
        bound: Vec<GatewaySockets>,
        view: View,
        first: Option<View>,
        adjust: impl Fn(&mut GatewaySettings),
    ) -> Self {
        let (views, watched) = watch::channel(Arc::new(view));
        let (first_views, first_watched) = match first {
            Some(first) => watch::channel(Arc::new(first)),
            None => (views.clone(), watched.clone()),
        };
        let (reach_sender, reach) = mpsc::unbounded_channel();
        let (confirmation, confirmed_current) = watch::channel(None);
        let gateways = bound.iter().map(|((_, callers), _)| *callers).collect();
        let peers = bound.iter().map(|(_, (_, peers))| *peers).collect();
        let mut registries = Vec::new();
        let mut controls = Vec::new();
        let handles =
            bound.into_iter().enumerate().map(|(index, ((callers, _), (peers, peer_address)))| {
                let reach_reports = reach_sender.clone();
                let listeners = GatewayListeners { callers, peers };
                let mut settings = settings(index, peer_address);
                adjust(&mut settings);
                let mut registry = Registry::default();
                let views = if index == 0 { first_watched.clone() } else { watched.clone() };
                let (limits, control) = limits_link();
                controls.push(control);
                let links = GatewayLinks {
                    views,
                    confirmed_current: confirmed_current.clone(),
                    reach_reports,
                    limits,
                    client_metrics: ClientMetrics::default(),
                };
                let gateway = Gateway::start(settings, TestWire, listeners, links, &mut registry);
                registries.push(registry);
                gateway.expect("a gateway starts")
            });
        let handles = handles.collect();
        Self {
            gateways,
            peers,
            _handles: handles,
            registries,
            controls,
            confirmation,
            views,
            first_views,
            reach,
            reach_sender,
        }
    }

    /// Starts another process of a gateway, with the same name, no state, and a clock that starts now.
    /// Returns its address for callers. The former process keeps running for the other gateways, which don't
    /// know of the new one.
    pub fn restart_gateway(&mut self, index: usize) -> SocketAddr {
        let ((callers, address), peers) = (bind(), bind());
        self.launch_again(index, callers, peers);
        address
    }

    fn launch_again(
        &mut self,
        index: usize,
        callers: TcpListener,
        (peers, peer_address): (TcpListener, SocketAddr),
    ) {
        let listeners = GatewayListeners { callers, peers };
        let settings = settings(index, peer_address);
        let mut registry = Registry::default();
        let (views, reach_reports) = (self.views.subscribe(), self.reach_sender.clone());
        let (limits, control) = limits_link();
        self.controls.push(control);
        let confirmed_current = self.confirmation.subscribe();
        let links = GatewayLinks {
            views,
            confirmed_current,
            reach_reports,
            limits,
            client_metrics: ClientMetrics::default(),
        };
        let gateway = Gateway::start(settings, TestWire, listeners, links, &mut registry);
        self._handles.push(gateway.expect("a gateway starts"));
    }

    /// Starts one gateway whose view lists other gateways at these addresses, which the test may or may not
    /// serve.
    pub fn with_listed_gateways(
        members: &[&Member],
        others: &[SocketAddr],
        max_connections: u32,
    ) -> Self {
        let (bound, view) = Self::prepare(members, 1, max_connections);
        Self::launch_among(bound, view, others)
    }

    /// Starts a gateway as [`World::with_listed_gateways`] does, which serves only callers with keys of the
    /// given tenants.
    pub fn with_tenants_and_listed_gateways(
        members: &[&Member],
        others: &[SocketAddr],
        tenants: &[(&str, &[&str])],
    ) -> Self {
        let (bound, mut view) = Self::prepare(members, 1, 36);
        let mut document = document(36, LONG);
        document.tenants = Some(tenant_rules(tenants));
        view.document = Some(Arc::new(document));
        Self::launch_among(bound, view, others)
    }

    fn launch_among(bound: Vec<GatewaySockets>, mut view: View, others: &[SocketAddr]) -> Self {
        for (index, address) in others.iter().enumerate() {
            let proxy = ProxyView {
                address: *address,
                zone: zone(),
                incarnation: Incarnation(1),
                state: ProxyState::Live,
            };
            view.proxies.insert(gateway_name(index + 1), proxy);
        }
        Self::launch(bound, view)
    }

    /// Returns the index of the gateway that holds the connections to a member that takes [`ONE_SHARE`].
    pub fn holder_of(&self, member: &Member) -> usize {
        let view = self.views.borrow();
        let first = gateway_name(0);
        let place_of = |proxy: &ProxyView| GatewayLocation {
            zone: proxy.zone.clone(),
            address: proxy.address,
        };
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        let mut table = HolderTable::new(first.clone(), place_of(&view.proxies[&first]));
        let needs = MemberCapacity { zone: zone(), capacity: 3, max_connections: ONE_SHARE };
        table.put_member(&name, needs);
        for (gateway, proxy) in &view.proxies {
            table.put_gateway(gateway, place_of(proxy));
        }
        if table.is_own_member(&name) {
            return 0;
        }
        let holder = table.other_holders(&name)[0].address;
        let index = view.proxies.values().position(|proxy| proxy.address == holder);
        index.expect("the holder is a gateway of the world")
    }

    /// Starts another process of a gateway as [`World::restart_gateway`] does, and changes the gateway's
    /// address in the view to that of the new process.
    pub fn restart_gateway_with_new_address(&mut self, index: usize) -> SocketAddr {
        let ((callers, address), (peers, peer_address)) = (bind(), bind());
        self.change(|view| {
            let proxy = view.proxies.get_mut(&gateway_name(index)).expect("a gateway of the world");
            proxy.address = peer_address;
        });
        self.launch_again(index, callers, (peers, peer_address));
        address
    }

    /// Returns the metrics of a gateway, in the text format.
    pub fn metrics_text(&self, gateway: usize) -> String {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registries[gateway])
            .expect("writing to a string can't fail");
        text
    }
}
