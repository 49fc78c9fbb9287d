//! Test fixture: a scripted owner, an edge that sends to it, and callers.
#![allow(clippy::unwrap_used, dead_code)]

pub mod extended;
pub mod owner;
pub mod wire;

use corktack_core::identity::{ClassName, GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::position::Term;
use corktack_core::resources::{DatabaseGroupSpec, MemberSpec};
use corktack_core::view::{GroupView, ProxyState, ProxyView, View};
use corktack_edge::{Edge, EdgeHandle, EdgeSettings};
use owner::FakeOwner;
use prometheus_client::registry::Registry;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_postgres::{Client, Config, NoTls};

pub const OWNER: &str = "owner-1";

pub fn group() -> GroupName {
    GroupName::new("cdr").unwrap()
}

pub fn settings() -> EdgeSettings {
    let proxy = ProxyName::new("edge-1").unwrap();
    let class = ClassName::new("standard").unwrap();
    let mut settings = EdgeSettings::new(proxy, Incarnation(1), class);
    // With one arbiter, all streams share one connection to the owner.
    settings.arbiters = 1;
    settings
}

pub fn proxy_view(address: SocketAddr) -> ProxyView {
    ProxyView {
        address,
        zone: ZoneName::new("amba.a").unwrap(),
        incarnation: Incarnation(7),
        state: ProxyState::Live,
    }
}

pub fn view_with_owner(owner: Option<(&str, SocketAddr)>) -> View {
    let member = MemberSpec {
        name: MemberName::new("m1").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new("amba.a").unwrap(),
        draining: false,
    };
    let spec = DatabaseGroupSpec {
        database: "cdr".to_owned(),
        members: vec![member],
        slots: 5,
        connections: 40,
        queue_limit: 100,
        queue_timeout_ms: 1_000,
        replica_wait_ms: 20,
    };
    let owner_name = owner.map(|(name, _)| ProxyName::new(name).unwrap());
    let group_view = GroupView {
        spec,
        primary: Some(MemberName::new("m1").unwrap()),
        term: Term(1),
        owner: owner_name.clone(),
        draining: Default::default(),
    };
    let mut view = View::default();
    view.groups.insert(group(), Arc::new(group_view));
    if let (Some(name), Some((_, address))) = (owner_name, owner) {
        view.proxies.insert(name, proxy_view(address));
    }
    view
}

/// An edge whose group is owned by a scripted owner.
pub struct Fixture {
    pub owner: FakeOwner,
    pub edge: EdgeHandle,
    pub view: watch::Sender<Arc<View>>,
    pub registry: Registry,
}

impl Fixture {
    pub async fn start() -> Self {
        Self::start_with_settings(settings()).await
    }

    pub async fn start_with_settings(settings: EdgeSettings) -> Self {
        let owner = FakeOwner::start(OWNER).await;
        let view = view_with_owner(Some((OWNER, owner.address)));
        let (sender, receiver) = watch::channel(Arc::new(view));
        let mut registry = Registry::default();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let edge = Edge::start(settings, listener, receiver, &mut registry).unwrap();
        Self { owner, edge, view: sender, registry }
    }

    pub fn config(&self) -> Config {
        let mut config = Config::new();
        let address = self.edge.address();
        config.host(address.ip().to_string()).port(address.port());
        config.user("clerk").dbname("cdr").connect_timeout(Duration::from_secs(20));
        config
    }

    pub async fn caller(&self) -> Client {
        connect(&self.config()).await.unwrap()
    }

    pub fn metrics(&self) -> String {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry).unwrap();
        text
    }
}

pub async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    actix_rt::spawn(connection);
    Ok(client)
}

/// Returns the SQLSTATE, message and hint of a caller's error.
pub fn error_fields(error: &tokio_postgres::Error) -> (String, String, Option<String>) {
    let error = error.as_db_error().unwrap_or_else(|| panic!("no answer: {error}"));
    let hint = error.hint().map(str::to_owned);
    (error.code().code().to_owned(), error.message().to_owned(), hint)
}
