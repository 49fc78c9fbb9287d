//! What was decided for one statement, for the line that explains its outcome.
//!
//! It is for operators. It owns the names of that line's fields. It decides nothing.

use crate::error::RefusalReason;
use corktack_core::gateway::{PositionSource, ReadPosition};
use corktack_core::registry::{Consistency, RouteRule};
use corktack_core::tenancy::Principal;
use std::time::Duration;

/// Attempts that are remembered of one statement: more than a read is offered to. Chosen, not measured; it
/// bounds the length of the line.
const ATTEMPT_LIMIT: usize = 8;

/// What was decided for one statement, with the inputs that decided it.
#[derive(Debug, Default)]
pub(super) struct Decision {
    route: String,
    /// Priority class of the route; 0 is served first.
    priority: u32,
    /// On whose behalf it is run.
    principal: Principal,
    consistency: &'static str,
    group: String,
    /// The position that a member had to hold, and what it was chosen by; none where only the primary
    /// could serve, or where no member was found.
    position: Option<ReadPosition>,
    attempts: Vec<String>,
}

impl Decision {
    /// The route in force for the statement.
    pub(super) fn routed(&mut self, rule: &RouteRule, principal: &Principal, group: &str) {
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

    /// The position that a member had to hold.
    pub(super) fn needs(&mut self, position: Option<ReadPosition>) {
        self.position = position;
    }

    /// Priority class of the route; 0 is served first.
    pub(super) const fn priority(&self) -> u32 {
        self.priority
    }

    /// A member was asked in vain.
    pub(super) fn attempted(&mut self, outcome: &str) {
        if self.attempts.len() < ATTEMPT_LIMIT {
            self.attempts.push(outcome.to_owned());
        }
    }

    /// Writes the line that explains how the statement ended.
    pub(super) fn explain(
        &self,
        id: &str,
        database: &str,
        outcome: &str,
        why: &str,
        refusal: Option<RefusalReason>,
        taken: Duration,
    ) {
        let position = self.position;
        let needed = position.map_or_else(|| "primary".to_owned(), |it| it.needed.to_string());
        let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        let age = millis(position.map(|it| it.newest_age));
        let floor_age = millis(position.map(|it| it.basis.age));
        let floor_from = position.map_or("none", |it| source_name(it.basis.source));
        log::info!(
            id, database, outcome, why, after_ms = taken.as_millis() as u64,
            refusal = refusal.map_or("", RefusalReason::name), priority = self.priority,
            route = self.route.as_str(), tenant:% = self.principal, consistency = self.consistency,
            group = self.group.as_str(), needed = needed.as_str(), position_age_ms = age,
            floor_age_ms = floor_age, floor_from, attempts = self.attempts.join("; ").as_str();
            "statement ended"
        );
    }
}

/// The name of a source in log lines and figures.
pub(super) const fn source_name(source: PositionSource) -> &'static str {
    match source {
        PositionSource::Primary => "primary",
        PositionSource::Gateway => "gateway",
    }
}
