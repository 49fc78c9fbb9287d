//! Decisions made for one statement, and the log line that explains its outcome to operators.

use crate::error::RefusalReason;
use corktack_core::gateway::{PositionSource, ReadPosition};
use corktack_core::registry::{Consistency, RouteRule};
use corktack_core::tenancy::Principal;
use std::time::Duration;

/// Most attempts that are recorded for one statement. Deadlines the length of the log line; a read makes
/// fewer attempts.
const MAX_ATTEMPTS: usize = 8;

/// Decisions made for one statement, with the inputs that led to them.
#[derive(Debug, Default)]
pub(super) struct Decision {
    route: String,
    /// Priority class of the route; 0 is served first.
    priority: u32,
    /// Principal for which the statement is run.
    principal: Principal,
    consistency: &'static str,
    group: String,
    /// Position that a member had to hold, and the inputs from which it was derived; none if only the primary
    /// could serve, or if no member was found.
    position: Option<ReadPosition>,
    /// Outcomes of failed attempts at members, in order.
    attempts: Vec<String>,
}

impl Decision {
    /// Records the statement's route, principal and group.
    pub(super) fn record_route(&mut self, rule: &RouteRule, principal: &Principal, group: &str) {
        rule.name.as_str().clone_into(&mut self.route);
        self.priority = rule.priority;
        self.principal.clone_from(principal);
        group.clone_into(&mut self.group);
        self.consistency = match rule.consistency {
            Consistency::Linearizable => "linearizable",
            Consistency::BoundedStaleness(_) => "bounded",
            Consistency::ReadYourWrites(_) => "read_your_writes",
        };
    }

    /// Records the position that a member had to hold.
    pub(super) fn record_position(&mut self, position: Option<ReadPosition>) {
        self.position = position;
    }

    /// Returns the priority class of the route; 0 is served first.
    pub(super) const fn priority(&self) -> u32 {
        self.priority
    }

    /// Records a failed attempt at a member.
    pub(super) fn record_attempt(&mut self, outcome: &str) {
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(outcome.to_owned());
        }
    }

    /// Logs the statement's outcome with the decisions.
    pub(super) fn log(
        &self,
        id: &str,
        database: &str,
        outcome: &str,
        why: &str,
        refusal: Option<RefusalReason>,
        elapsed: Duration,
    ) {
        let position = self.position;
        let needed = position.map_or_else(|| "primary".to_owned(), |read| read.needed.to_string());
        let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        let age = millis(position.map(|read| read.newest_age));
        let floor_age = millis(position.map(|read| read.basis.age));
        let floor_from = position.map_or("none", |read| source_name(read.basis.source));
        log::info!(
            id, database, outcome, why, after_ms = elapsed.as_millis() as u64,
            refusal = refusal.map_or("", RefusalReason::name), priority = self.priority,
            route = self.route.as_str(), tenant:% = self.principal, consistency = self.consistency,
            group = self.group.as_str(), needed = needed.as_str(), position_age_ms = age,
            floor_age_ms = floor_age, floor_from, attempts = self.attempts.join("; ").as_str();
            "statement ended"
        );
    }
}

/// Returns the name of a source in log lines.
pub(super) const fn source_name(source: PositionSource) -> &'static str {
    match source {
        PositionSource::Primary => "primary",
        PositionSource::Gateway => "gateway",
    }
}
