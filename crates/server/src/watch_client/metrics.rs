//! Metrics of the proxy's watch of control.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The metrics; a clone updates the same values.
#[derive(Clone, Debug, Default)]
pub struct WatchMetrics {
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// 1 while a connection to a control replica is open, otherwise 0.
    pub connected: Gauge,
    /// Number of connections opened since the start.
    pub connections: Counter,
    /// Number of configurations that could not be written to disk.
    pub sync_failures: Counter,
}

impl WatchMetrics {
    /// Registers the metrics in a registry.
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
