//! Metrics of the edge, with their labels and buckets.

use crate::error::Rejection;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::ServedBy;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Outcome of a request, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// A back end answered the request.
    Done,
    /// The edge answered the request itself.
    Local,
    /// The request was refused before it ran.
    NotRun,
    /// The request was sent, but its outcome is not known.
    Unknown,
    /// The request's transaction was rolled back.
    TransactionLost,
    /// A read got no complete answer.
    ReadInterrupted,
    /// The caller disconnected before the answer was complete.
    CallerGone,
}

impl Outcome {
    /// Returns the outcome under which a request with this rejection is counted.
    #[must_use]
    pub fn for_rejection(rejection: &Rejection) -> Self {
        match rejection {
            Rejection::Unknown => Self::Unknown,
            Rejection::TransactionLost => Self::TransactionLost,
            Rejection::ReadInterrupted => Self::ReadInterrupted,
            _ => Self::NotRun,
        }
    }
}

/// The kind of server that answered a read, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Server {
    /// The group's primary.
    Primary,
    /// A replica of the group.
    Replica,
}

/// Labels of the request counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Outcome of the requests.
    pub outcome: Outcome,
}

/// Labels of the read counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReadLabels {
    /// Name of the group that served the reads.
    pub group: String,
    /// The kind of server that answered.
    pub server: Server,
}

/// Metrics of the edge.
#[derive(Clone, Debug)]
pub struct EdgeMetrics {
    /// Open connections of callers.
    pub connections: Gauge,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Reads by group and server, which gives the share of reads that replicas serve.
    pub reads: Family<ReadLabels, Counter>,
    /// Latency from a request's arrival to the end of its answer, in seconds.
    pub latency: Histogram,
    /// Requests sent again after a loss.
    pub retries: Counter,
}

/// Upper bound of the first latency bucket in seconds. A higher bound doesn't tell fast answers apart;
/// with a lower one the last bucket ends below 16 s, and long waits can't be told apart.
const FIRST_BUCKET_SECONDS: f64 = 0.000_5;
/// Ratio of the bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of latency buckets.
const BUCKET_COUNT: u16 = 16;

impl EdgeMetrics {
    /// Registers the metrics under the prefix `corktack_edge`.
    #[must_use]
    pub fn register(registry: &mut Registry) -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT);
        let metrics = Self {
            connections: Gauge::default(),
            requests: Family::default(),
            reads: Family::default(),
            latency: Histogram::new(buckets),
            retries: Counter::default(),
        };
        let registry = registry.sub_registry_with_prefix("corktack_edge");
        registry.register("connections", "Callers' connections", metrics.connections.clone());
        registry.register("requests", "Requests by outcome", metrics.requests.clone());
        registry.register("reads", "Reads by group and server", metrics.reads.clone());
        registry.register("request_seconds", "Latency of requests", metrics.latency.clone());
        registry.register("retries", "Requests sent again", metrics.retries.clone());
        metrics
    }

    /// Counts a request by its outcome.
    pub fn count_request(&self, outcome: Outcome) {
        self.requests.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a read by its group and server.
    pub fn count_read(&self, group: &GroupName, served_by: ServedBy) {
        let server = match served_by {
            ServedBy::Primary => Server::Primary,
            ServedBy::Replica => Server::Replica,
        };
        self.reads.get_or_create(&ReadLabels { group: group.to_string(), server }).inc();
    }
}
