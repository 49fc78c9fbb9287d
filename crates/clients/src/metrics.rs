//! Metrics of clients.

use crate::CloseReason;
use corktack_core::clients::ClientTotals;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label for a listening address.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Address {
    address: &'static str,
}

/// Labels of refused and closed clients.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Closed {
    address: &'static str,
    reason: &'static str,
}

/// Handles to the metrics of a process's clients.
#[derive(Clone, Debug, Default)]
pub struct ClientMetrics {
    closed: Family<Closed, Counter>,
    connections: Family<Address, Gauge>,
    bytes: Family<Address, Gauge>,
}

impl ClientMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help =
            "Clients refused or disconnected to keep a limit, by listening address and reason";
        registry.register("corktack_clients_closed", help, self.closed.clone());
        let help = "Open connections of clients, by listening address";
        registry.register("corktack_clients_connections", help, self.connections.clone());
        let help = "Bytes held for clients, by listening address";
        registry.register("corktack_clients_bytes", help, self.bytes.clone());
    }

    pub(crate) fn record_closed(&self, address: &'static str, reason: CloseReason) {
        self.closed.get_or_create(&Closed { address, reason: reason.name() }).inc();
    }

    pub(crate) fn record_totals(&self, address: &'static str, totals: ClientTotals) {
        let set = |gauge: &Family<Address, Gauge>, value: usize| {
            gauge.get_or_create(&Address { address }).set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        set(&self.connections, totals.connections);
        set(&self.bytes, totals.bytes);
    }
}
