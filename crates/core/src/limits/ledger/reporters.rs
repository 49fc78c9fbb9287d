//! The gateways that reported in one leadership.
//!
//! Puts reports in order and numbers grants. Owns, of each gateway, its incarnation, its newest report and
//! the number of its newest grant. What the reports say is booked elsewhere ([`super::tenant`]).

use super::GatewayIncarnation;
use super::answer::AnswerBuilder;
use crate::identity::{Incarnation, ProxyName};
use crate::limits::messages::{AllowanceGrant, AllowanceReport};
use crate::position::Term;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Shortest time between two recalls from one gateway: it answers the first one within that, a round trip
/// between the users' regions (42 ms). Chosen, not measured: with less, recalls cross the answers; with more,
/// a gateway that lacks operations of several tenants gets them later.
const RECALL_SPACING: Duration = Duration::from_millis(100);

/// What is known of a gateway with its newest report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportStatus {
    /// A newer report has overtaken this one.
    Overtaken,
    /// The gateway has not reported everything that it holds yet.
    InPart,
    /// What the gateway holds is known.
    Whole,
}

/// A gateway that reported.
#[derive(Debug)]
struct Reporter {
    incarnation: Incarnation,
    /// Sequence of its newest report.
    sequence: u64,
    reported_at: Timestamp,
    /// Number of the newest grant to it.
    number: u64,
    /// When some of what it holds was recalled last.
    recalled_at: Option<Timestamp>,
    /// Whether it has reported everything that it holds.
    reported_whole: bool,
}

/// The gateways that reported.
#[derive(Debug, Default)]
pub(super) struct Reporters(HashMap<ProxyName, Reporter>);

impl Reporters {
    /// The incarnation that a gateway reported in.
    pub(super) fn incarnation(&self, gateway: &ProxyName) -> Option<Incarnation> {
        self.0.get(gateway).map(|reporter| reporter.incarnation)
    }

    /// The incarnations that reported.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = GatewayIncarnation> {
        self.0.iter().map(|(gateway, reporter)| GatewayIncarnation {
            gateway: gateway.clone(),
            incarnation: reporter.incarnation,
        })
    }

    /// An incarnation is over.
    pub(super) fn remove(&mut self, gateway: &ProxyName) {
        self.0.remove(gateway);
    }

    /// Notes a report of the incarnation that is known, or of the first one.
    pub(super) fn note_report(&mut self, now: Timestamp, report: &AllowanceReport) -> ReportStatus {
        let new = || Reporter {
            incarnation: report.incarnation,
            sequence: 0,
            reported_at: now,
            number: 0,
            recalled_at: None,
            reported_whole: false,
        };
        let reporter = self.0.entry(report.gateway.clone()).or_insert_with(new);
        if report.sequence <= reporter.sequence {
            return ReportStatus::Overtaken;
        }
        reporter.sequence = report.sequence;
        reporter.reported_at = now;
        reporter.reported_whole |= report.whole;
        if reporter.reported_whole { ReportStatus::Whole } else { ReportStatus::InPart }
    }

    /// Gateways that have been silent for so long; what they hold must be reported anew. The numbers of
    /// their grants go on if they come back.
    pub(super) fn silent_since(
        &mut self,
        now: Timestamp,
        limit: Duration,
    ) -> Vec<GatewayIncarnation> {
        let is_silent = |reporter: &Reporter| now.saturating_since(reporter.reported_at) >= limit;
        let silent = self.0.iter_mut().filter(|(_, it)| it.reported_whole && is_silent(it));
        let silent = silent.map(|(gateway, reporter)| {
            reporter.reported_whole = false;
            GatewayIncarnation { gateway: gateway.clone(), incarnation: reporter.incarnation }
        });
        silent.collect()
    }

    /// The grant to a gateway that is being put together.
    pub(super) fn grant<'a>(
        &mut self,
        answer: &'a mut AnswerBuilder,
        term: Term,
        gateway: &ProxyName,
    ) -> Option<&'a mut AllowanceGrant> {
        if !answer.grants.contains_key(gateway) {
            let reporter = self.0.get_mut(gateway)?;
            reporter.number += 1;
            let grant = AllowanceGrant {
                gateway: gateway.clone(),
                incarnation: reporter.incarnation,
                term,
                number: reporter.number,
                answers: reporter.sequence,
                wants_whole: false,
                allowances: Vec::new(),
                recalls: Vec::new(),
            };
            answer.grants.insert(gateway.clone(), grant);
        }
        answer.grants.get_mut(gateway)
    }

    /// As [`Reporters::grant`], to recall some of what a gateway holds; none where that was done a moment
    /// ago.
    pub(super) fn recall<'a>(
        &mut self,
        answer: &'a mut AnswerBuilder,
        term: Term,
        now: Timestamp,
        gateway: &ProxyName,
    ) -> Option<&'a mut AllowanceGrant> {
        let reporter = self.0.get_mut(gateway)?;
        let recently = |at: Timestamp| at < now && now.saturating_since(at) < RECALL_SPACING;
        if reporter.recalled_at.is_some_and(recently) {
            return None;
        }
        reporter.recalled_at = Some(now);
        self.grant(answer, term, gateway)
    }
}
