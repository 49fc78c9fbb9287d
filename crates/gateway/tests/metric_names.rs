//! Names of the gateway's metrics, which operators rely on: families, labels, and fixed label values. The
//! modules are included by path because their types aren't public.

#![allow(dead_code, missing_docs, clippy::unwrap_used)]

#[path = "../src/error.rs"]
mod error;
#[path = "../src/metrics.rs"]
mod metrics;
#[path = "../src/retry_after.rs"]
mod retry_after;

use corktack_core::statement::ErrorCode;
use error::RefusalReason;
use expect_test::expect;
use metrics::{ConnectionTotals, Metrics, RemoteOutcome};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::time::Duration;

const CODES: [ErrorCode; 15] = [
    ErrorCode::Busy,
    ErrorCode::Aborted,
    ErrorCode::Lagging,
    ErrorCode::ReadOnly,
    ErrorCode::WrongMember,
    ErrorCode::TooManyConnections,
    ErrorCode::UnknownStatement,
    ErrorCode::UnknownDatabase,
    ErrorCode::Unauthenticated,
    ErrorCode::OverLimit,
    ErrorCode::Malformed,
    ErrorCode::Failed,
    ErrorCode::TimedOut,
    ErrorCode::InDoubt,
    ErrorCode::Other,
];

const REASONS: [RefusalReason; 8] = [
    RefusalReason::OverLimit,
    RefusalReason::NoSlot,
    RefusalReason::NoMember,
    RefusalReason::MemberUnreachable,
    RefusalReason::MemberFull,
    RefusalReason::NoHolder,
    RefusalReason::NoPosition,
    RefusalReason::MemoryShort,
];

const OUTCOMES: [RemoteOutcome; 5] = [
    RemoteOutcome::Served,
    RemoteOutcome::NoneFree,
    RemoteOutcome::NoPosition,
    RemoteOutcome::NotReached,
    RemoteOutcome::Lost,
];

/// Returns the lines of the encoded registry without their values, sorted: the registry's own order of label
/// values is that of a hash map.
fn names(registry: &Registry) -> String {
    let mut encoded = String::new();
    encode(&mut encoded, registry).expect("writing to a string can't fail");
    let name = |line: &str| match line.strip_prefix('#') {
        Some(_) => line.to_owned(),
        None => line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned(),
    };
    let mut names: Vec<_> = encoded.lines().map(name).collect();
    names.sort();
    names.iter().map(|name| format!("{name}\n")).collect()
}

#[test]
fn families_labels_and_fixed_label_values_keep_their_names() {
    let mut registry = Registry::default();
    let metrics = Metrics::register(&mut registry);
    metrics.record_statement(None, Duration::ZERO);
    CODES.iter().for_each(|code| metrics.record_statement(Some(*code), Duration::ZERO));
    REASONS.iter().for_each(|reason| metrics.record_refusal(*reason, 0));
    OUTCOMES.iter().for_each(|outcome| metrics.record_remote(*outcome));
    [true, false].iter().for_each(|used| metrics.record_reported_position(*used));
    let waiting = [(0, 1)].into();
    metrics
        .record_connection_totals(&ConnectionTotals { waiting, ..ConnectionTotals::default() }, 0);
    expect![[r##"
        # EOF
        # HELP corktack_gateway_allowed_operations Operations of limited tenants that may begin here in a window.
        # HELP corktack_gateway_connections Connections to members, by state: in_use or idle.
        # HELP corktack_gateway_counted_operations Operations of limited tenants that were counted here in the last window.
        # HELP corktack_gateway_document_version Version of the document in force.
        # HELP corktack_gateway_elsewhere Questions to gateways that hold connections, by outcome.
        # HELP corktack_gateway_refusals Statements refused that did not run, by reason and priority class.
        # HELP corktack_gateway_sessions Sessions of callers that are open.
        # HELP corktack_gateway_statement_seconds Time from a statement's arrival to its answer.
        # HELP corktack_gateway_statements Statements answered, by outcome.
        # HELP corktack_gateway_told_positions Positions of primaries that other gateways told, by outcome: used or too_old.
        # HELP corktack_gateway_unreached_members Members that could not be reached when last tried.
        # HELP corktack_gateway_unserving_members Members that served less than half of what was sent to them lately.
        # HELP corktack_gateway_wait_seconds Time that a statement waited for a connection of this gateway.
        # HELP corktack_gateway_waiting Statements that wait for a connection, by priority class.
        # TYPE corktack_gateway_allowed_operations gauge
        # TYPE corktack_gateway_connections gauge
        # TYPE corktack_gateway_counted_operations gauge
        # TYPE corktack_gateway_document_version gauge
        # TYPE corktack_gateway_elsewhere counter
        # TYPE corktack_gateway_refusals counter
        # TYPE corktack_gateway_sessions gauge
        # TYPE corktack_gateway_statement_seconds histogram
        # TYPE corktack_gateway_statements counter
        # TYPE corktack_gateway_told_positions counter
        # TYPE corktack_gateway_unreached_members gauge
        # TYPE corktack_gateway_unserving_members gauge
        # TYPE corktack_gateway_wait_seconds histogram
        # TYPE corktack_gateway_waiting gauge
        corktack_gateway_allowed_operations
        corktack_gateway_connections{state="idle"}
        corktack_gateway_connections{state="in_use"}
        corktack_gateway_counted_operations
        corktack_gateway_document_version
        corktack_gateway_elsewhere_total{outcome="lost"}
        corktack_gateway_elsewhere_total{outcome="no_position"}
        corktack_gateway_elsewhere_total{outcome="none_free"}
        corktack_gateway_elsewhere_total{outcome="not_reached"}
        corktack_gateway_elsewhere_total{outcome="served"}
        corktack_gateway_refusals_total{reason="member_full",priority="0"}
        corktack_gateway_refusals_total{reason="member_unreachable",priority="0"}
        corktack_gateway_refusals_total{reason="memory_short",priority="0"}
        corktack_gateway_refusals_total{reason="no_holder",priority="0"}
        corktack_gateway_refusals_total{reason="no_member",priority="0"}
        corktack_gateway_refusals_total{reason="no_position",priority="0"}
        corktack_gateway_refusals_total{reason="no_slot",priority="0"}
        corktack_gateway_refusals_total{reason="over_limit",priority="0"}
        corktack_gateway_sessions
        corktack_gateway_statement_seconds_bucket{le="+Inf"}
        corktack_gateway_statement_seconds_bucket{le="0.005"}
        corktack_gateway_statement_seconds_bucket{le="0.01"}
        corktack_gateway_statement_seconds_bucket{le="0.025"}
        corktack_gateway_statement_seconds_bucket{le="0.05"}
        corktack_gateway_statement_seconds_bucket{le="0.1"}
        corktack_gateway_statement_seconds_bucket{le="0.25"}
        corktack_gateway_statement_seconds_bucket{le="0.5"}
        corktack_gateway_statement_seconds_bucket{le="1.0"}
        corktack_gateway_statement_seconds_bucket{le="2.0"}
        corktack_gateway_statement_seconds_bucket{le="5.0"}
        corktack_gateway_statement_seconds_count
        corktack_gateway_statement_seconds_sum
        corktack_gateway_statements_total{outcome="Aborted"}
        corktack_gateway_statements_total{outcome="Busy"}
        corktack_gateway_statements_total{outcome="Failed"}
        corktack_gateway_statements_total{outcome="InDoubt"}
        corktack_gateway_statements_total{outcome="Lagging"}
        corktack_gateway_statements_total{outcome="Malformed"}
        corktack_gateway_statements_total{outcome="Other"}
        corktack_gateway_statements_total{outcome="OverLimit"}
        corktack_gateway_statements_total{outcome="ReadOnly"}
        corktack_gateway_statements_total{outcome="TimedOut"}
        corktack_gateway_statements_total{outcome="TooManyConnections"}
        corktack_gateway_statements_total{outcome="Unauthenticated"}
        corktack_gateway_statements_total{outcome="UnknownDatabase"}
        corktack_gateway_statements_total{outcome="UnknownStatement"}
        corktack_gateway_statements_total{outcome="WrongMember"}
        corktack_gateway_statements_total{outcome="done"}
        corktack_gateway_told_positions_total{outcome="too_old"}
        corktack_gateway_told_positions_total{outcome="used"}
        corktack_gateway_unreached_members
        corktack_gateway_unserving_members
        corktack_gateway_wait_seconds_bucket{le="+Inf"}
        corktack_gateway_wait_seconds_bucket{le="0.005"}
        corktack_gateway_wait_seconds_bucket{le="0.01"}
        corktack_gateway_wait_seconds_bucket{le="0.025"}
        corktack_gateway_wait_seconds_bucket{le="0.05"}
        corktack_gateway_wait_seconds_bucket{le="0.1"}
        corktack_gateway_wait_seconds_bucket{le="0.25"}
        corktack_gateway_wait_seconds_bucket{le="0.5"}
        corktack_gateway_wait_seconds_bucket{le="1.0"}
        corktack_gateway_wait_seconds_bucket{le="2.0"}
        corktack_gateway_wait_seconds_bucket{le="5.0"}
        corktack_gateway_wait_seconds_count
        corktack_gateway_wait_seconds_sum
        corktack_gateway_waiting{priority="0"}
    "##]].assert_eq(&names(&registry));
}
