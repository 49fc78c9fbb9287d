//! Metrics of the edge: their names, labels and buckets.
//!
//! The module owns the counters; sessions and accept loops count with them.

use crate::error::Rejection;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::ServedBy;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// Answered by a back end.
    Done,
    /// Answered by the edge.
    Local,
    /// Refused before it ran.
    NotRun,
    /// Sent, and its outcome is not known.
    Unknown,
    /// Its transaction was lost.
    TransactionLost,
    /// A read that was given up on.
    ReadInterrupted,
    /// The caller went away first.
    CallerGone,
}

impl Outcome {
    /// How a request is counted that ends with this rejection.
    #[must_use]
    pub fn of(rejection: &Rejection) -> Self {
        match rejection {
            Rejection::Unknown => Self::Unknown,
            Rejection::TransactionLost => Self::TransactionLost,
            Rejection::ReadInterrupted => Self::ReadInterrupted,
            _ => Self::NotRun,
        }
    }
}

/// Where a read was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Server {
    /// By the primary.
    Primary,
    /// By a replica.
    Replica,
}

/// Labels of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// How they ended.
    pub outcome: Outcome,
}

/// Labels of reads.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReadLabels {
    /// The group.
    pub group: String,
    /// Who served them.
    pub server: Server,
}

/// Metrics of the edge.
#[derive(Clone, Debug)]
pub struct EdgeMetrics {
    /// Callers' connections now.
    pub connections: Gauge,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Reads by group and server: the share of reads that replicas serve.
    pub reads: Family<ReadLabels, Counter>,
    /// Seconds from a request's arrival to the end of its answer.
    pub latency: Histogram,
    /// Requests that were sent again.
    pub retries: Counter,
}

/// Upper bound of the first bucket of the latency, in seconds. Chosen, not measured: a higher one does not
/// tell fast answers apart; with a lower one the last bucket ends before 16 s, and long waits look alike.
const FIRST_BUCKET_SECONDS: f64 = 0.000_5;
/// Each bucket's bound over that of the one before.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets.
const BUCKETS: u16 = 16;

impl EdgeMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn register(registry: &mut Registry) -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKETS);
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

    /// Counts a request.
    pub fn count(&self, outcome: Outcome) {
        self.requests.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a read.
    pub fn count_read(&self, group: &GroupName, served_by: ServedBy) {
        let server = match served_by {
            ServedBy::Primary => Server::Primary,
            ServedBy::Replica => Server::Replica,
        };
        self.reads.get_or_create(&ReadLabels { group: group.to_string(), server }).inc();
    }
}
