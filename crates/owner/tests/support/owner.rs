//! An owner whose view the tests can change.

use super::zone;
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::view::View;
use corktack_owner::{Owner, OwnerHandle, OwnerSettings};
use corktack_protocol::control::Observation;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// An owner with its own view.
pub struct TestOwner {
    pub owner: OwnerHandle,
    pub observations: mpsc::UnboundedReceiver<Observation>,
    pub registry: Registry,
    pub views: watch::Sender<Arc<View>>,
}

impl TestOwner {
    /// Starts an owner that probes every 5 ms.
    pub fn start(
        proxy: ProxyName,
        incarnation: Incarnation,
        view: View,
        adjust: impl Fn(&mut OwnerSettings),
    ) -> Self {
        let (views, receiver) = watch::channel(Arc::new(view));
        let mut settings = OwnerSettings::new(proxy, incarnation, zone("amba.a"));
        settings.probe_interval = Duration::from_millis(5);
        adjust(&mut settings);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (sender, observations) = mpsc::unbounded_channel();
        let mut registry = Registry::default();
        let owner = Owner::start(settings, listener, receiver, sender, &mut registry)
            .expect("the owner starts");
        Self { owner, observations, registry, views }
    }
}
