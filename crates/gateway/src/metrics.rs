//! Metrics of a gateway.
//!
//! Names of families, labels and fixed label values must not change; the test `metric_names` guards them.

use crate::error::RefusalReason;
use corktack_core::limits::LimitTotals;
use corktack_core::statement::ErrorCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// Number of answered statements per log line of a success. With a lower number, lines of successes crowd out
/// those of failures; with a higher one, a gateway with little load logs no success for a long time.
const STATEMENTS_PER_SAMPLE: u64 = 256;

/// Label for the outcome of a statement, of a request to another gateway, or of a reported position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: String,
}

/// Labels of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refusal {
    reason: &'static str,
    priority: u32,
}

/// Label for a priority class; 0 is served first.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Class {
    priority: u32,
}

/// Label for the state of connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionState {
    state: &'static str,
}

/// Outcome of a request to another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemoteOutcome {
    /// The other gateway served the request.
    Served,
    /// The other gateway had no free connection.
    NoneFree,
    /// The other gateway knows no position that is recent enough for the read.
    NoPosition,
    /// The other gateway doesn't reach the member, or can't be reached itself.
    NotReached,
    /// The other gateway may have run the statement and gave no answer.
    Lost,
}

/// Numbers of connections, waiting statements and impaired members of a gateway, summed over all members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionTotals {
    /// Connections in use or being opened.
    pub(crate) in_use: usize,
    /// Idle connections.
    pub(crate) idle: usize,
    /// Statements that wait for a connection, by priority class.
    pub(crate) waiting: BTreeMap<u32, usize>,
    /// Members that could not be reached in the last attempt.
    pub(crate) unreached: usize,
    /// Members that served less than half of the statements sent to them recently.
    pub(crate) unserving: usize,
}

/// Handles to the registered metrics of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    statements: Family<Outcome, Counter>,
    statement_seconds: Histogram,
    wait_seconds: Histogram,
    connections: Family<ConnectionState, Gauge>,
    waiting: Family<Class, Gauge>,
    refusals: Family<Refusal, Counter>,
    unreached: Gauge,
    unserving: Gauge,
    allowed_operations: Gauge,
    counted_operations: Gauge,
    remote_requests: Family<Outcome, Counter>,
    reported_positions: Family<Outcome, Counter>,
    sessions: Gauge,
    document_version: Gauge,
    /// Number of answered statements, for [`Metrics::is_sample`].
    answered_statements: Rc<Cell<u64>>,
}

impl Metrics {
    /// Registers all metrics, at zero.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let statements = Family::default();
        registry.register(
            "corktack_gateway_statements",
            "Statements answered, by outcome",
            statements.clone(),
        );
        let statement_seconds = Histogram::new(TIME_BUCKETS_S);
        let help = "Time from a statement's arrival to its answer";
        registry.register("corktack_gateway_statement_seconds", help, statement_seconds.clone());
        let metrics = Self {
            statements,
            statement_seconds,
            wait_seconds: Histogram::new(TIME_BUCKETS_S),
            connections: Family::default(),
            waiting: Family::default(),
            refusals: Family::default(),
            unreached: Gauge::default(),
            unserving: Gauge::default(),
            allowed_operations: Gauge::default(),
            counted_operations: Gauge::default(),
            remote_requests: Family::default(),
            reported_positions: Family::default(),
            sessions: Gauge::default(),
            document_version: Gauge::default(),
            answered_statements: Rc::default(),
        };
        metrics.register_connections(registry);
        metrics.register_admission(registry);
        metrics
    }

    /// Registers the metrics of connections, requests to other gateways, sessions and the configuration.
    fn register_connections(&self, registry: &mut Registry) {
        let help = "Time that a statement waited for a connection of this gateway";
        registry.register("corktack_gateway_wait_seconds", help, self.wait_seconds.clone());
        let help = "Connections to members, by state: in_use or idle";
        registry.register("corktack_gateway_connections", help, self.connections.clone());
        let help = "Members that could not be reached when last tried";
        registry.register("corktack_gateway_unreached_members", help, self.unreached.clone());
        let help = "Questions to gateways that hold connections, by outcome";
        registry.register("corktack_gateway_elsewhere", help, self.remote_requests.clone());
        let help = "Positions of primaries that other gateways told, by outcome: used or too_old";
        registry.register("corktack_gateway_told_positions", help, self.reported_positions.clone());
        let help = "Sessions of callers that are open";
        registry.register("corktack_gateway_sessions", help, self.sessions.clone());
        let help = "Version of the document in force";
        registry.register("corktack_gateway_document_version", help, self.document_version.clone());
    }

    /// Registers the metrics of queued, refused and limited load.
    fn register_admission(&self, registry: &mut Registry) {
        let help = "Statements that wait for a connection, by priority class";
        registry.register("corktack_gateway_waiting", help, self.waiting.clone());
        let help = "Statements refused that did not run, by reason and priority class";
        registry.register("corktack_gateway_refusals", help, self.refusals.clone());
        let help = "Members that served less than half of what was sent to them lately";
        registry.register("corktack_gateway_unserving_members", help, self.unserving.clone());
        let help = "Operations of limited tenants that may begin here in a window";
        registry.register(
            "corktack_gateway_allowed_operations",
            help,
            self.allowed_operations.clone(),
        );
        let help = "Operations of limited tenants that were counted here in the last window";
        registry.register(
            "corktack_gateway_counted_operations",
            help,
            self.counted_operations.clone(),
        );
    }

    /// Counts a statement that the gateway refused; it did not run.
    pub(crate) fn record_refusal(&self, reason: RefusalReason, priority: u32) {
        let refusal = Refusal { reason: reason.name(), priority };
        self.refusals.get_or_create(&refusal).inc();
    }

    /// Sets how many operations limited tenants may begin here in a window, and began in the last one.
    pub(crate) fn record_limits(&self, totals: LimitTotals) {
        set_gauge(&self.allowed_operations, totals.allowed);
        set_gauge(&self.counted_operations, totals.counted);
    }

    /// Records the time that a statement waited for a connection.
    pub(crate) fn record_wait(&self, waited: Duration) {
        self.wait_seconds.observe(waited.as_secs_f64());
    }

    /// Counts the outcome of a request to another gateway.
    pub(crate) fn record_remote(&self, outcome: RemoteOutcome) {
        let outcome = match outcome {
            RemoteOutcome::Served => "served",
            RemoteOutcome::NoneFree => "none_free",
            RemoteOutcome::NoPosition => "no_position",
            RemoteOutcome::NotReached => "not_reached",
            RemoteOutcome::Lost => "lost",
        };
        self.remote_requests.get_or_create(&Outcome { outcome: outcome.to_owned() }).inc();
    }

    /// Counts a position reported by another gateway. A position from before the origin of this gateway's
    /// clock is too old to be used.
    pub(crate) fn record_reported_position(&self, used: bool) {
        let outcome = if used { "used" } else { "too_old" };
        self.reported_positions.get_or_create(&Outcome { outcome: outcome.to_owned() }).inc();
    }

    /// Sets the gauges of connections, waiting statements, impaired members and sessions.
    pub(crate) fn record_connection_totals(&self, totals: &ConnectionTotals, sessions: usize) {
        let state = |state| self.connections.get_or_create(&ConnectionState { state }).clone();
        set_gauge(&state("in_use"), totals.in_use as u64);
        set_gauge(&state("idle"), totals.idle as u64);
        for (priority, waiting) in &totals.waiting {
            let gauge = self.waiting.get_or_create(&Class { priority: *priority }).clone();
            set_gauge(&gauge, *waiting as u64);
        }
        set_gauge(&self.unreached, totals.unreached as u64);
        set_gauge(&self.unserving, totals.unserving as u64);
        set_gauge(&self.sessions, sessions as u64);
    }

    /// Sets the version of the document in force.
    pub(crate) fn record_document(&self, version: u64) {
        set_gauge(&self.document_version, version);
    }

    /// Reports whether the statement just answered is to be logged although it succeeded.
    pub(crate) fn is_sample(&self) -> bool {
        self.answered_statements.get().is_multiple_of(STATEMENTS_PER_SAMPLE)
    }

    /// Records the outcome of an answered statement (none for a success) and the time it took.
    pub(crate) fn record_statement(&self, code: Option<ErrorCode>, elapsed: Duration) {
        let outcome = code.map_or_else(|| "done".to_owned(), |code| format!("{code:?}"));
        self.statements.get_or_create(&Outcome { outcome }).inc();
        self.answered_statements.set(self.answered_statements.get() + 1);
        self.statement_seconds.observe(elapsed.as_secs_f64());
    }
}

fn set_gauge(gauge: &Gauge, count: u64) {
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
