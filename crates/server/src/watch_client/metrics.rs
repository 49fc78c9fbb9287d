//! Metrics of the watch of control.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the watch of control.
#[derive(Clone, Debug, Default)]
pub struct WatchMetrics {
    /// Revision in force.
    pub revision: Gauge,
    /// Whether a connection to a control replica is open.
    pub connected: Gauge,
    /// Connections opened.
    pub connections: Counter,
    /// Configurations that could not be put on disk.
    pub sync_failures: Counter,
}

impl WatchMetrics {
    /// Makes the metrics known to a registry.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "corktack_watch_revision",
            "Revision of the configuration in force",
            metrics.revision.clone(),
        );
        registry.register(
            "corktack_watch_connected",
            "Whether a connection to a control replica is open",
            metrics.connected.clone(),
        );
        registry.register(
            "corktack_watch_connections",
            "Connections opened to control replicas",
            metrics.connections.clone(),
        );
        registry.register(
            "corktack_watch_sync_failures",
            "Configurations that could not be put on disk",
            metrics.sync_failures.clone(),
        );
        metrics
    }
}
