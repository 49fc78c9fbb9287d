//! Counters and times of a gateway.
//!
//! They are for operators. This module owns the names of families, labels and fixed label values, which
//! stay as they are (held by a test). It relies on the others to note what happens.

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

/// Upper bounds of the buckets of times, in seconds. Chosen, not measured: other bounds blur other times.
const TIME_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// One of so many successes gets a line of its own. Chosen, not measured: lower, lines of successes crowd out
/// those of failures; higher, a quiet gateway shows none for long.
const SAMPLED_EVERY: u64 = 256;

/// How a statement ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: String,
}

/// What the product refused, by reason and priority class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refusal {
    reason: &'static str,
    priority: u32,
}

/// A priority class; 0 is served first.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Class {
    priority: u32,
}

/// A state of connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionState {
    state: &'static str,
}

/// The outcome of asking another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemoteOutcome {
    /// It served.
    Served,
    /// It had no connection to give.
    NoneFree,
    /// It knows no position that is young enough for the read.
    NoPosition,
    /// It does not reach the member, or cannot be reached itself.
    NotReached,
    /// It may have run the statement and gave no answer.
    Lost,
}

/// What a gateway holds now, over all members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Holdings {
    /// Connections in use or being opened.
    pub(crate) in_use: usize,
    /// Connections that nobody uses.
    pub(crate) idle: usize,
    /// Statements that wait for a connection, by priority class.
    pub(crate) waiting: BTreeMap<u32, usize>,
    /// Members that could not be reached when last tried.
    pub(crate) unreached: usize,
    /// Members that served less than half of what was sent to them lately.
    pub(crate) unserving: usize,
}

/// Counters and times of a gateway.
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
    allowances: Gauge,
    counted: Gauge,
    remote: Family<Outcome, Counter>,
    reported_positions: Family<Outcome, Counter>,
    sessions: Gauge,
    document_version: Gauge,
    answered: Rc<Cell<u64>>,
}

impl Metrics {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let statements = Family::default();
        registry.register(
            "corktack_gateway_statements",
            "Statements answered, by outcome",
            statements.clone(),
        );
        let statement_seconds = Histogram::new(TIME_BUCKETS);
        let help = "Time from a statement's arrival to its answer";
        registry.register("corktack_gateway_statement_seconds", help, statement_seconds.clone());
        let metrics = Self {
            statements,
            statement_seconds,
            wait_seconds: Histogram::new(TIME_BUCKETS),
            connections: Family::default(),
            waiting: Family::default(),
            refusals: Family::default(),
            unreached: Gauge::default(),
            unserving: Gauge::default(),
            allowances: Gauge::default(),
            counted: Gauge::default(),
            remote: Family::default(),
            reported_positions: Family::default(),
            sessions: Gauge::default(),
            document_version: Gauge::default(),
            answered: Rc::default(),
        };
        metrics.register_holdings(registry);
        metrics.register_decisions(registry);
        metrics
    }

    fn register_holdings(&self, registry: &mut Registry) {
        let help = "Time that a statement waited for a connection of this gateway";
        registry.register("corktack_gateway_wait_seconds", help, self.wait_seconds.clone());
        let help = "Connections to members, by state: in_use or idle";
        registry.register("corktack_gateway_connections", help, self.connections.clone());
        let help = "Members that could not be reached when last tried";
        registry.register("corktack_gateway_unreached_members", help, self.unreached.clone());
        let help = "Questions to gateways that hold connections, by outcome";
        registry.register("corktack_gateway_elsewhere", help, self.remote.clone());
        let help = "Positions of primaries that other gateways told, by outcome: used or too_old";
        registry.register("corktack_gateway_told_positions", help, self.reported_positions.clone());
        let help = "Sessions of callers that are open";
        registry.register("corktack_gateway_sessions", help, self.sessions.clone());
        let help = "Version of the document in force";
        registry.register("corktack_gateway_document_version", help, self.document_version.clone());
    }

    /// What tells how load is queued, refused, placed and limited.
    fn register_decisions(&self, registry: &mut Registry) {
        let help = "Statements that wait for a connection, by priority class";
        registry.register("corktack_gateway_waiting", help, self.waiting.clone());
        let help = "Statements refused that did not run, by reason and priority class";
        registry.register("corktack_gateway_refusals", help, self.refusals.clone());
        let help = "Members that served less than half of what was sent to them lately";
        registry.register("corktack_gateway_unserving_members", help, self.unserving.clone());
        let help = "Operations of limited tenants that may begin here in a window";
        registry.register("corktack_gateway_allowed_operations", help, self.allowances.clone());
        let help = "Operations of limited tenants that were counted here in the last window";
        registry.register("corktack_gateway_counted_operations", help, self.counted.clone());
    }

    /// The product refused a statement that did not run.
    pub(crate) fn record_refusal(&self, reason: RefusalReason, priority: u32) {
        let refusal = Refusal { reason: reason.name(), priority };
        self.refusals.get_or_create(&refusal).inc();
    }

    /// What limited tenants may begin here in a window, and what they did in the last one.
    pub(crate) fn record_limits(&self, totals: LimitTotals) {
        set(&self.allowances, totals.allowed);
        set(&self.counted, totals.counted);
    }

    pub(crate) fn record_wait(&self, waited: Duration) {
        self.wait_seconds.observe(waited.as_secs_f64());
    }

    pub(crate) fn record_remote(&self, outcome: RemoteOutcome) {
        let outcome = match outcome {
            RemoteOutcome::Served => "served",
            RemoteOutcome::NoneFree => "none_free",
            RemoteOutcome::NoPosition => "no_position",
            RemoteOutcome::NotReached => "not_reached",
            RemoteOutcome::Lost => "lost",
        };
        self.remote.get_or_create(&Outcome { outcome: outcome.to_owned() }).inc();
    }

    /// Another gateway reported a position; one from before this gateway's clock began is too old.
    pub(crate) fn record_reported_position(&self, used: bool) {
        let outcome = if used { "used" } else { "too_old" };
        self.reported_positions.get_or_create(&Outcome { outcome: outcome.to_owned() }).inc();
    }

    pub(crate) fn record_holdings(&self, holdings: &Holdings, sessions: usize) {
        let state = |state| self.connections.get_or_create(&ConnectionState { state }).clone();
        set(&state("in_use"), holdings.in_use as u64);
        set(&state("idle"), holdings.idle as u64);
        for (priority, waiting) in &holdings.waiting {
            let waits = self.waiting.get_or_create(&Class { priority: *priority }).clone();
            set(&waits, *waiting as u64);
        }
        set(&self.unreached, holdings.unreached as u64);
        set(&self.unserving, holdings.unserving as u64);
        set(&self.sessions, sessions as u64);
    }

    pub(crate) fn record_document(&self, version: u64) {
        set(&self.document_version, version);
    }

    /// Whether the statement just answered is one of those that get a line though they succeeded.
    pub(crate) fn is_sample(&self) -> bool {
        self.answered.get().is_multiple_of(SAMPLED_EVERY)
    }

    pub(crate) fn record_statement(&self, code: Option<ErrorCode>, taken: Duration) {
        let outcome = code.map_or_else(|| "done".to_owned(), |code| format!("{code:?}"));
        self.statements.get_or_create(&Outcome { outcome }).inc();
        self.answered.set(self.answered.get() + 1);
        self.statement_seconds.observe(taken.as_secs_f64());
    }
}

fn set(gauge: &Gauge, count: u64) {
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
