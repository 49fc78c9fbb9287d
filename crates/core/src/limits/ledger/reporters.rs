//! The gateways that reported in one leadership.
//!
//! Orders reports and numbers grants. Holds the incarnation of each gateway, the sequence number of its
//! newest report and the number of its newest grant. [`super::tenant`] books the contents of the
//! reports.

use super::GatewayIncarnation;
use super::answer::AnswerBuilder;
use crate::identity::{Incarnation, ProxyName};
use crate::limits::messages::{AllowanceGrant, AllowanceReport};
use crate::position::Term;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Shortest time between two recalls from one gateway: it answers the first one within that, a round
/// trip between the users' regions (42 ms). With less, recalls and answers cross; with more, a gateway
/// that lacks operations of several tenants gets them later.
const RECALL_SPACING: Duration = Duration::from_millis(100);

/// What is known of a gateway after it reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportStatus {
    /// A newer report has been processed already.
    Stale,
    /// The gateway has not sent a full report yet.
    Partial,
    /// The gateway has sent a full report: everything that it holds is known.
    Complete,
}

/// State of a gateway that reported.
#[derive(Debug)]
struct Reporter {
    incarnation: Incarnation,
    /// Sequence number of its newest report.
    sequence: u64,
    reported_at: Timestamp,
    /// Number of the newest grant to it.
    last_grant_number: u64,
    /// Time of the last recall from it.
    recalled_at: Option<Timestamp>,
    /// Whether it has sent a full report.
    has_reported_fully: bool,
}

/// The gateways that reported, by name.
#[derive(Debug, Default)]
pub(super) struct Reporters(HashMap<ProxyName, Reporter>);

impl Reporters {
    /// Returns the incarnation that a gateway reported in.
    pub(super) fn incarnation(&self, gateway: &ProxyName) -> Option<Incarnation> {
        self.0.get(gateway).map(|reporter| reporter.incarnation)
    }

    /// Returns the incarnations that reported.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = GatewayIncarnation> {
        self.0.iter().map(|(gateway, reporter)| GatewayIncarnation {
            gateway: gateway.clone(),
            incarnation: reporter.incarnation,
        })
    }

    /// Removes a gateway whose incarnation has ended.
    pub(super) fn remove(&mut self, gateway: &ProxyName) {
        self.0.remove(gateway);
    }

    /// Records a report of the known incarnation of a gateway, or of its first one.
    pub(super) fn record_report(
        &mut self,
        now: Timestamp,
        report: &AllowanceReport,
    ) -> ReportStatus {
        let new_reporter = || Reporter {
            incarnation: report.incarnation,
            sequence: 0,
            reported_at: now,
            last_grant_number: 0,
            recalled_at: None,
            has_reported_fully: false,
        };
        let reporter = self.0.entry(report.gateway.clone()).or_insert_with(new_reporter);
        if report.sequence <= reporter.sequence {
            return ReportStatus::Stale;
        }
        reporter.sequence = report.sequence;
        reporter.reported_at = now;
        reporter.has_reported_fully |= report.is_full;
        if reporter.has_reported_fully { ReportStatus::Complete } else { ReportStatus::Partial }
    }

    /// Returns gateways that have been silent for at least `limit`, and requires a new full report of
    /// them. The numbers of their grants continue if they report again.
    pub(super) fn expire_silent(
        &mut self,
        now: Timestamp,
        limit: Duration,
    ) -> Vec<GatewayIncarnation> {
        let is_silent = |reporter: &Reporter| now.saturating_since(reporter.reported_at) >= limit;
        let silent = self
            .0
            .iter_mut()
            .filter(|(_, reporter)| reporter.has_reported_fully && is_silent(reporter));
        let silent = silent.map(|(gateway, reporter)| {
            reporter.has_reported_fully = false;
            GatewayIncarnation { gateway: gateway.clone(), incarnation: reporter.incarnation }
        });
        silent.collect()
    }

    /// Returns the grant to a gateway in the answer being built, and adds one if there is none; none
    /// where the gateway has not reported.
    pub(super) fn grant<'a>(
        &mut self,
        answer: &'a mut AnswerBuilder,
        term: Term,
        gateway: &ProxyName,
    ) -> Option<&'a mut AllowanceGrant> {
        if !answer.grants.contains_key(gateway) {
            let reporter = self.0.get_mut(gateway)?;
            reporter.last_grant_number += 1;
            let grant = AllowanceGrant {
                gateway: gateway.clone(),
                incarnation: reporter.incarnation,
                term,
                number: reporter.last_grant_number,
                report_sequence: reporter.sequence,
                wants_full_report: false,
                allowances: Vec::new(),
                recalls: Vec::new(),
            };
            answer.grants.insert(gateway.clone(), grant);
        }
        answer.grants.get_mut(gateway)
    }

    /// As [`Reporters::grant`], for recalling some of what a gateway holds; none where something was
    /// recalled from it less than [`RECALL_SPACING`] ago.
    pub(super) fn recall<'a>(
        &mut self,
        answer: &'a mut AnswerBuilder,
        term: Term,
        now: Timestamp,
        gateway: &ProxyName,
    ) -> Option<&'a mut AllowanceGrant> {
        let reporter = self.0.get_mut(gateway)?;
        let is_recent = |recalled_at: Timestamp| {
            recalled_at < now && now.saturating_since(recalled_at) < RECALL_SPACING
        };
        if reporter.recalled_at.is_some_and(is_recent) {
            return None;
        }
        reporter.recalled_at = Some(now);
        self.grant(answer, term, gateway)
    }
}
