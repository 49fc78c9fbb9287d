//! Gateways before one group of stand-in members.

mod changes;
mod document;
mod limits_control;

pub use document::{
    BOUNDED, BRIEFLY_BOUNDED, HASTY, LINEARIZABLE, ONE_SHARE, OWN_WRITES, SHORT_STALENESS, group,
    settings,
};
pub use limits_control::LimitsControl;

use crate::member::Member;
use crate::wire::TestWire;
use corktack_core::gateway::home_weight;
use corktack_core::gateway::{GatewayPlace, HolderTable, MemberNeeds};
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

pub struct World {
    pub gateways: Vec<SocketAddr>,
    /// Where the gateways reach each other.
    pub peers: Vec<SocketAddr>,
    /// Control proves that the configuration of the gateways is current.
    pub proof: watch::Sender<Option<Instant>>,
    /// Ends the watch of the gateways when dropped.
    views: watch::Sender<Arc<View>>,
    first_views: watch::Sender<Arc<View>>,
    /// What the gateways tell control of members.
    pub reach: mpsc::UnboundedReceiver<MemberReach>,
    reached: mpsc::UnboundedSender<MemberReach>,
    _handles: Vec<GatewayHandle<TestWire>>,
    figures: Vec<Registry>,
    /// What the gateways tell control of limits, and what it tells them.
    pub controls: Vec<LimitsControl>,
}

/// The listeners of a gateway, for callers and for other gateways.
type Bound = ((TcpListener, SocketAddr), (TcpListener, SocketAddr));

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

impl World {
    pub fn with_one_gateway(members: &[&Member]) -> Self {
        Self::start(members, 1, 36)
    }

    /// A gateway that lets transactions rest for a moment only.
    pub fn with_short_rests(members: &[&Member]) -> Self {
        let (bound, mut view) = Self::prepare(members, 1, 36);
        view.document = Some(Arc::new(document(36, Duration::from_millis(1))));
        Self::launch(bound, view)
    }

    /// One gateway before a group and, with a route of its own only after
    /// [`World::move_own_writes`], another.
    pub fn with_two_groups(members: &[&Member], others: &[&Member]) -> Self {
        let (bound, mut view) = Self::prepare(members, 1, 36);
        let mut document = document(36, LONG);
        let other = ServiceRule { name: other_group(), ..document.services[0].clone() };
        document.services.push(other);
        view.document = Some(Arc::new(document));
        register(&mut view, &other_group(), others);
        Self::launch(bound, view)
    }

    /// Gateways that serve only callers with the keys of tenants: each tenant has the keys given.
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

    /// One gateway that serves only callers with the keys of tenants, which are limited.
    pub fn with_limits(members: &[&Member], tenants: &[(&str, &[&str])]) -> Self {
        Self::with_limits_at(members, 1, tenants)
    }

    /// Several such gateways, in one zone.
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

    /// The gateway that counts a tenant's operations, and another one.
    pub fn home_and_other(&self, tenant: &str) -> (usize, usize) {
        let tenant = TenantName::new(tenant).expect("a valid name");
        let weight = |place: &usize| home_weight(&tenant, self.peers[*place]);
        let home = (0..self.peers.len()).max_by_key(weight).expect("a gateway");
        (home, (home + 1) % self.peers.len())
    }

    pub fn start(members: &[&Member], gateways: usize, max_connections: u32) -> Self {
        let (bound, view) = Self::prepare(members, gateways, max_connections);
        Self::launch(bound, view)
    }

    fn prepare(members: &[&Member], gateways: usize, max_connections: u32) -> (Vec<Bound>, View) {
        let bound: Vec<_> = (0..gateways).map(|_| (bind(), bind())).collect();
        let mut view = View { revision: Revision(1), ..View::default() };
        view.document = Some(Arc::new(document(max_connections, LONG)));
        for (place, (_, (_, peers))) in bound.iter().enumerate() {
            let proxy = ProxyView {
                address: *peers,
                zone: zone(),
                incarnation: Incarnation(1),
                state: ProxyState::Live,
            };
            view.proxies.insert(gateway_name(place), proxy);
        }
        register(&mut view, &group(), members);
        (bound, view)
    }

    fn launch(bound: Vec<Bound>, view: View) -> Self {
        Self::launch_cut(bound, view, None)
    }

    /// Gateways of which the first does not reach one member.
    pub fn with_cut(members: &[&Member], gateways: usize, unreached: &Member) -> Self {
        let (bound, view) = Self::prepare(members, gateways, 36);
        let mut cut = view.clone();
        let name = MemberName::new(unreached.name.as_str()).expect("a valid name");
        let back_end = cut.back_ends.get_mut(&name).expect("a registered member");
        // Nobody listens there once the listener is dropped.
        Arc::make_mut(back_end).address = bind().1;
        Self::launch_cut(bound, view, Some(cut))
    }

    /// Gateways of which the first has no document until [`World::tell_first`].
    pub fn with_first_untold(members: &[&Member], gateways: usize, max_connections: u32) -> Self {
        let (bound, view) = Self::prepare(members, gateways, max_connections);
        Self::launch_cut(bound, view, Some(View::default()))
    }

    /// Control tells the first gateway what the others know.
    pub fn tell_first(&self) {
        self.first_views.send_replace(Arc::clone(&self.views.borrow()));
    }

    fn launch_cut(bound: Vec<Bound>, view: View, first: Option<View>) -> Self {
        Self::launch_adjusted(bound, view, first, |_| ())
    }

    /// Gateways that begin nothing once the last proof that their configuration is current is older.
    pub fn with_proofs(members: &[&Member], tenants: &[(&str, &[&str])], limit: Duration) -> Self {
        let (bound, mut view) = Self::prepare(members, 1, 36);
        let mut document = document(36, LONG);
        document.tenants = Some(tenant_rules(tenants));
        view.document = Some(Arc::new(document));
        Self::launch_adjusted(bound, view, None, |it| it.unproved_limit = Some(limit))
    }

    fn launch_adjusted(
        bound: Vec<Bound>,
        view: View,
        first: Option<View>,
        adjust: impl Fn(&mut GatewaySettings),
    ) -> Self {
        let (views, watched) = watch::channel(Arc::new(view));
        let (first_views, first_watched) = match first {
            Some(first) => watch::channel(Arc::new(first)),
            None => (views.clone(), watched.clone()),
        };
        let (reached, reach) = mpsc::unbounded_channel();
        let (proof, proved) = watch::channel(None);
        let gateways = bound.iter().map(|((_, callers), _)| *callers).collect();
        let peers = bound.iter().map(|(_, (_, peers))| *peers).collect();
        let mut figures = Vec::new();
        let mut controls = Vec::new();
        let handles = bound.into_iter().enumerate().map(|(place, ((callers, _), (peers, at)))| {
            let reach = reached.clone();
            let listeners = GatewayListeners { callers, peers };
            let mut settings = settings(place, at);
            adjust(&mut settings);
            let mut registry = Registry::default();
            let views = if place == 0 { first_watched.clone() } else { watched.clone() };
            let (limits, control) = limits_link();
            controls.push(control);
            let links = GatewayLinks { views, proved: proved.clone(), reach, limits };
            let gateway = Gateway::start(settings, TestWire, listeners, links, &mut registry);
            figures.push(registry);
            gateway.expect("a gateway starts")
        });
        let handles = handles.collect();
        Self {
            gateways,
            peers,
            _handles: handles,
            figures,
            controls,
            proof,
            views,
            first_views,
            reach,
            reached,
        }
    }

    /// The process of a gateway starts anew: same name, no memory, a clock that starts now. Gives
    /// where it listens for callers; the one before goes on for the other gateways.
    pub fn start_again(&mut self, place: usize) -> SocketAddr {
        let ((callers, address), peers) = (bind(), bind());
        self.launch_again(place, callers, peers);
        address
    }

    fn launch_again(
        &mut self,
        place: usize,
        callers: TcpListener,
        (peers, at): (TcpListener, SocketAddr),
    ) {
        let listeners = GatewayListeners { callers, peers };
        let settings = settings(place, at);
        let mut registry = Registry::default();
        let (views, reach) = (self.views.subscribe(), self.reached.clone());
        let (limits, control) = limits_link();
        self.controls.push(control);
        let proved = self.proof.subscribe();
        let links = GatewayLinks { views, proved, reach, limits };
        let gateway = Gateway::start(settings, TestWire, listeners, links, &mut registry);
        self._handles.push(gateway.expect("a gateway starts"));
    }

    /// One gateway among others that are only said to be there, at these addresses.
    pub fn among(members: &[&Member], others: &[SocketAddr], max_connections: u32) -> Self {
        let (bound, view) = Self::prepare(members, 1, max_connections);
        Self::launch_among(bound, view, others)
    }

    /// As [`World::among`], for callers with the keys of tenants.
    pub fn with_tenants_among(
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

    fn launch_among(bound: Vec<Bound>, mut view: View, others: &[SocketAddr]) -> Self {
        for (place, address) in others.iter().enumerate() {
            let proxy = ProxyView {
                address: *address,
                zone: zone(),
                incarnation: Incarnation(1),
                state: ProxyState::Live,
            };
            view.proxies.insert(gateway_name(place + 1), proxy);
        }
        Self::launch(bound, view)
    }

    /// The place of the gateway that holds the connections to a member which takes one share.
    pub fn holder_of(&self, member: &Member) -> usize {
        let view = self.views.borrow();
        let first = gateway_name(0);
        let place_of =
            |proxy: &ProxyView| GatewayPlace { zone: proxy.zone.clone(), address: proxy.address };
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        let mut table = HolderTable::new(first.clone(), place_of(&view.proxies[&first]));
        let needs = MemberNeeds { zone: zone(), capacity: 3, max_connections: ONE_SHARE };
        table.put_member(&name, needs);
        for (gateway, proxy) in &view.proxies {
            table.put_gateway(gateway, place_of(proxy));
        }
        if table.holds(&name) {
            return 0;
        }
        let holder = table.others(&name)[0].address;
        let place = view.proxies.values().position(|proxy| proxy.address == holder);
        place.expect("the holder is a gateway of the world")
    }

    /// As [`World::start_again`], and control tells the others where it is now.
    pub fn start_again_known(&mut self, place: usize) -> SocketAddr {
        let ((callers, address), (peers, at)) = (bind(), bind());
        self.change(|view| {
            let proxy = view.proxies.get_mut(&gateway_name(place)).expect("a gateway of the world");
            proxy.address = at;
        });
        self.launch_again(place, callers, (peers, at));
        address
    }

    /// The figures of a gateway, as text.
    pub fn figures(&self, gateway: usize) -> String {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.figures[gateway])
            .expect("text takes any figure");
        text
    }
}
