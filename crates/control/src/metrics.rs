//! Metrics of a control replica: their names, and their update from the status.

use crate::consensus::ReplicaStatus;
use corktack_core::consensus::Role;
use corktack_core::registry::VoterShortage;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Buckets of the histograms: 18 upper bounds from 0.1 ms to 13 s, each twice the previous bound. Queries of
/// operators refer to these bounds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_1;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 18;

/// Label for the phase of a failover.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PhaseLabel {
    pub(crate) phase: &'static str,
}

/// Metrics of a control replica; clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) leader: Gauge,
    pub(crate) term: Gauge,
    pub(crate) commit_index: Gauge,
    pub(crate) applied_index: Gauge,
    pub(crate) proposals: Counter,
    pub(crate) proposals_rejected: Counter,
    pub(crate) syncs: Counter,
    pub(crate) sync_seconds: Histogram,
    pub(crate) stall_seconds: Histogram,
    pub(crate) duties_wait_seconds: Histogram,
    pub(crate) snapshots: Counter,
    pub(crate) storage_outages: Counter,
    pub(crate) storage_unwritable: Gauge,
    pub(crate) cell_messages_dropped: Counter,
    pub(crate) cell_voters_missing: Gauge,
    pub(crate) cell_join_requests: Counter,
    pub(crate) cell_disks_known: Gauge,
    pub(crate) cell_disks_refused: Counter,
    pub(crate) proxies_connected: Gauge,
    pub(crate) proxy_bytes_sent: Counter,
    pub(crate) proxy_snapshots: Counter,
    pub(crate) failover_steps: Family<PhaseLabel, Counter>,
    pub(crate) failover_seconds: Histogram,
}

fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT))
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

impl Metrics {
    pub(crate) fn new() -> Self {
        Self {
            leader: Gauge::default(),
            term: Gauge::default(),
            commit_index: Gauge::default(),
            applied_index: Gauge::default(),
            proposals: Counter::default(),
            proposals_rejected: Counter::default(),
            syncs: Counter::default(),
            sync_seconds: seconds_histogram(),
            stall_seconds: seconds_histogram(),
            duties_wait_seconds: seconds_histogram(),
            snapshots: Counter::default(),
            storage_outages: Counter::default(),
            storage_unwritable: Gauge::default(),
            cell_messages_dropped: Counter::default(),
            cell_voters_missing: Gauge::default(),
            cell_join_requests: Counter::default(),
            cell_disks_known: Gauge::default(),
            cell_disks_refused: Counter::default(),
            proxies_connected: Gauge::default(),
            proxy_bytes_sent: Counter::default(),
            proxy_snapshots: Counter::default(),
            failover_steps: Family::default(),
            failover_seconds: seconds_histogram(),
        }
    }

    /// Registers the metrics, which may be in several registries.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("corktack_control");
        self.register_consensus(registry);
        self.register_proxies(registry);
        self.register_failover(registry);
    }

    /// Sets the gauges from the status of the replica.
    pub(crate) fn record_status(&self, status: &ReplicaStatus) {
        self.leader.set(i64::from(status.role == Role::Leader));
        self.term.set(gauge_value(status.term.0));
        self.commit_index.set(gauge_value(status.commit_index));
        self.applied_index.set(gauge_value(status.applied_index));
    }

    /// Sets the number of voters that the cell lacks; a replica that does not lead knows of none.
    pub(crate) fn record_shortage(&self, shortage: Option<&VoterShortage>) {
        let missing = shortage.map_or(0, |shortage| shortage.missing);
        self.cell_voters_missing.set(i64::try_from(missing).unwrap_or(i64::MAX));
    }

    fn register_consensus(&self, registry: &mut Registry) {
        registry.register("leader", "1 while this replica leads", self.leader.clone());
        registry.register("term", "Term of the control log", self.term.clone());
        registry.register("commit_index", "Newest committed entry", self.commit_index.clone());
        registry.register("applied_index", "Newest applied entry", self.applied_index.clone());
        registry.register("proposals", "Commands proposed here", self.proposals.clone());
        let rejected = self.proposals_rejected.clone();
        registry.register("proposals_rejected", "Commands rejected here", rejected);
        registry.register("syncs", "Syncs of the log", self.syncs.clone());
        registry.register("sync_seconds", "Time of a write and sync", self.sync_seconds.clone());
        let stalls = self.stall_seconds.clone();
        registry.register("stall_seconds", "Time without receiving messages", stalls);
        let duties_wait = self.duties_wait_seconds.clone();
        registry.register("duties_wait_seconds", "Time from election to duties", duties_wait);
        registry.register("snapshots", "Snapshots made or installed", self.snapshots.clone());
        let outages = self.storage_outages.clone();
        registry.register("storage_outages", "Times the log became unwritable", outages);
        let unwritable = self.storage_unwritable.clone();
        registry.register("storage_unwritable", "1 while the log is unwritable", unwritable);
        let dropped = self.cell_messages_dropped.clone();
        registry.register("cell_messages_dropped", "Messages dropped, queue full", dropped);
        let missing = self.cell_voters_missing.clone();
        registry.register("cell_voters_missing", "Voters that the led cell lacks", missing);
        let join_requests = self.cell_join_requests.clone();
        registry.register("cell_join_requests", "Requests to join the cell", join_requests);
        self.register_disks(registry);
    }

    fn register_disks(&self, registry: &mut Registry) {
        let known = self.cell_disks_known.clone();
        registry.register("cell_disks_known", "Other replicas whose disk is known", known);
        let refused = self.cell_disks_refused.clone();
        registry.register("cell_disks_refused", "Connections from unknown disks", refused);
    }

    fn register_proxies(&self, registry: &mut Registry) {
        let connected = self.proxies_connected.clone();
        registry.register("proxies_connected", "Proxies that watch here", connected);
        let bytes = self.proxy_bytes_sent.clone();
        registry.register("proxy_sent_bytes", "Bytes sent to proxies", bytes);
        let snapshots = self.proxy_snapshots.clone();
        registry.register("proxy_snapshots", "Snapshots sent to proxies", snapshots);
    }

    fn register_failover(&self, registry: &mut Registry) {
        let steps = self.failover_steps.clone();
        registry.register("failover_steps", "Steps of changes of primary", steps);
        let seconds = self.failover_seconds.clone();
        registry.register("failover_seconds", "Time from decision to new primary", seconds);
    }
}
