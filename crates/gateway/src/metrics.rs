//! Counters and times of a gateway.

use corktack_core::statement::ErrorCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Upper bounds of the buckets of times, in seconds.
const TIME_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// One of so many successes is told.
const SAMPLED_EVERY: u64 = 256;

/// How a statement ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    outcome: String,
}

/// Counters and times of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    statements: Family<Outcome, Counter>,
    statement_seconds: Histogram,
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
        Self { statements, statement_seconds, answered: Rc::default() }
    }

    /// Whether the statement just answered is one of those that are told though they succeeded.
    pub(crate) fn is_sample(&self) -> bool {
        self.answered.get().is_multiple_of(SAMPLED_EVERY)
    }

    pub(crate) fn note_statement(&self, code: Option<ErrorCode>, taken: Duration) {
        let outcome = code.map_or_else(|| "done".to_owned(), |code| format!("{code:?}"));
        self.statements.get_or_create(&Outcome { outcome }).inc();
        self.answered.set(self.answered.get() + 1);
        self.statement_seconds.observe(taken.as_secs_f64());
    }
}
