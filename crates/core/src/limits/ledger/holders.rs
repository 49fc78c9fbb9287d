//! The gateways that reported in one leadership.

use super::GatewayIncarnation;
use super::answer::AnswerBuilder;
use crate::identity::{Incarnation, ProxyName};
use crate::limits::messages::{AllowanceGrant, AllowanceReport};
use crate::position::Term;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Shortest time between two recalls from one gateway: it answers the first one within that.
const RECALL_SPACING: Duration = Duration::from_millis(100);

/// What was heard of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Heard {
    /// A report that a newer one has overtaken.
    Overtaken,
    /// It has not told everything that it holds yet.
    InPart,
    /// What it holds is known.
    Whole,
}

/// A gateway that reported.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    /// Sequence of its newest report.
    sequence: u64,
    heard_at: Timestamp,
    /// Number of the newest grant to it.
    number: u64,
    /// When it was told to give something back last.
    recalled_at: Option<Timestamp>,
    /// Whether it has told everything that it holds.
    told_whole: bool,
}

/// The gateways that reported.
#[derive(Debug, Default)]
pub(super) struct Holders(HashMap<ProxyName, Holder>);

impl Holders {
    /// The life that a gateway reported in.
    pub(super) fn incarnation(&self, gateway: &ProxyName) -> Option<Incarnation> {
        self.0.get(gateway).map(|holder| holder.incarnation)
    }

    /// The lives that reported.
    pub(super) fn lives(&self) -> impl Iterator<Item = GatewayIncarnation> {
        self.0.iter().map(|(gateway, holder)| GatewayIncarnation {
            gateway: gateway.clone(),
            incarnation: holder.incarnation,
        })
    }

    /// A life is over.
    pub(super) fn remove(&mut self, gateway: &ProxyName) {
        self.0.remove(gateway);
    }

    /// Notes a report of the life that is known, or of the first one.
    pub(super) fn note_heard(&mut self, now: Timestamp, report: &AllowanceReport) -> Heard {
        let new = || Holder {
            incarnation: report.incarnation,
            sequence: 0,
            heard_at: now,
            number: 0,
            recalled_at: None,
            told_whole: false,
        };
        let holder = self.0.entry(report.gateway.clone()).or_insert_with(new);
        if report.sequence <= holder.sequence {
            return Heard::Overtaken;
        }
        holder.sequence = report.sequence;
        holder.heard_at = now;
        holder.told_whole |= report.whole;
        if holder.told_whole { Heard::Whole } else { Heard::InPart }
    }

    /// Gateways that have been silent for so long; what they hold must be told anew. The numbers of
    /// their grants go on if they come back.
    pub(super) fn silent_since(
        &mut self,
        now: Timestamp,
        limit: Duration,
    ) -> Vec<GatewayIncarnation> {
        let is_silent = |holder: &Holder| now.saturating_since(holder.heard_at) >= limit;
        let silent = self.0.iter_mut().filter(|(_, it)| it.told_whole && is_silent(it));
        let silent = silent.map(|(gateway, holder)| {
            holder.told_whole = false;
            GatewayIncarnation { gateway: gateway.clone(), incarnation: holder.incarnation }
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
            let holder = self.0.get_mut(gateway)?;
            holder.number += 1;
            let grant = AllowanceGrant {
                gateway: gateway.clone(),
                incarnation: holder.incarnation,
                term,
                number: holder.number,
                answers: holder.sequence,
                wants_whole: false,
                allowances: Vec::new(),
                recalls: Vec::new(),
            };
            answer.grants.insert(gateway.clone(), grant);
        }
        answer.grants.get_mut(gateway)
    }

    /// As [`Holders::grant`], to tell a gateway to give something back; none where it was told a moment
    /// ago.
    pub(super) fn recall<'a>(
        &mut self,
        answer: &'a mut AnswerBuilder,
        term: Term,
        now: Timestamp,
        gateway: &ProxyName,
    ) -> Option<&'a mut AllowanceGrant> {
        let holder = self.0.get_mut(gateway)?;
        let recently = |at: Timestamp| at < now && now.saturating_since(at) < RECALL_SPACING;
        if holder.recalled_at.is_some_and(recently) {
            return None;
        }
        holder.recalled_at = Some(now);
        self.grant(answer, term, gateway)
    }
}
