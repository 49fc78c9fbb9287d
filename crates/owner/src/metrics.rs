//! Metrics of the owner with their names and labels, updated by streams, leases and links.

use corktack_protocol::peer::{NotRunReason, ServedBy};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct GroupLabel {
    pub group: String,
}

/// Labels of a group and class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabel {
    pub group: String,
    pub class: String,
}

/// Labels of a group and of the kind of member that served a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServerLabel {
    pub group: String,
    pub server: &'static str,
}

/// Labels of a group and of the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    pub group: String,
    pub reason: String,
}

/// Metrics of the owner.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Requests that currently wait for a slot.
    pub queue_length: Family<GroupLabel, Gauge>,
    /// Seconds that requests waited for a slot, whether or not they got one.
    pub queue_wait: Family<ClassLabel, Histogram, fn() -> Histogram>,
    /// Transactions that currently hold a slot.
    pub slots_in_use: Family<GroupLabel, Gauge>,
    /// Answered read transactions.
    pub reads: Family<ServerLabel, Counter>,
    /// Requests to a primary for a confirmed position.
    pub barriers: Family<GroupLabel, Counter>,
    /// Attempts of requests beyond the first.
    pub retries: Family<GroupLabel, Counter>,
    /// Requests refused as not run, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Server connections that were closed rather than returned to the pool.
    pub discarded: Family<GroupLabel, Counter>,
    /// Links whose reading is paused because their edge does not receive answers.
    pub links_held: Gauge,
}

/// Upper bound of the first bucket of the wait histogram, in seconds. A higher bound cannot tell a free slot
/// from a short wait; with a lower one the last bucket ends before the usual limit of a wait.
const FIRST_BUCKET_SECONDS: f64 = 0.000_1;
/// Ratio of each bucket's bound to the previous bucket's.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the last one ends at 13 s.
const BUCKETS: u16 = 18;

fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKETS))
}

impl Metrics {
    /// Registers the metrics under the prefix `corktack_owner`.
    pub fn register(registry: &mut Registry) -> Self {
        let wait: fn() -> Histogram = wait_histogram;
        let metrics = Self {
            queue_length: Family::default(),
            queue_wait: Family::new_with_constructor(wait),
            slots_in_use: Family::default(),
            reads: Family::default(),
            barriers: Family::default(),
            retries: Family::default(),
            refusals: Family::default(),
            discarded: Family::default(),
            links_held: Gauge::default(),
        };
        let all = metrics.clone();
        let registry = registry.sub_registry_with_prefix("corktack_owner");
        registry.register("queue_length", "Requests that wait for a slot", all.queue_length);
        registry.register("queue_wait_seconds", "Wait for a slot by class", all.queue_wait);
        registry.register("slots_in_use", "Transactions that hold a slot", all.slots_in_use);
        registry.register("reads", "Read transactions by who served them", all.reads);
        registry.register("barriers", "Read index questions to the primary", all.barriers);
        registry.register("retries", "Attempts after the first", all.retries);
        registry.register("refusals", "Requests refused as not run, by reason", all.refusals);
        registry.register("discarded_connections", "Connections not reused", all.discarded);
        let help = "Links not read since their edge does not take answers";
        registry.register("links_held", help, all.links_held);
        metrics
    }

    /// Counts an answered read transaction.
    pub fn count_read(&self, group: &str, served_by: ServedBy) {
        let server = match served_by {
            ServedBy::Primary => "primary",
            ServedBy::Replica => "replica",
        };
        let label = ServerLabel { group: group.to_owned(), server };
        self.reads.get_or_create(&label).inc();
    }

    /// Counts a request refused as not run.
    pub fn count_refusal(&self, group: &str, reason: NotRunReason) {
        let label = ReasonLabel { group: group.to_owned(), reason: format!("{reason:?}") };
        self.refusals.get_or_create(&label).inc();
    }
}
