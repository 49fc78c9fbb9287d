//! The counts that are kept for a window of time, a process and a member.
//!
//! [`super::Losses`] adds the lines to these counts, and [`super::text`] formats them as tables.

use super::attempt::{AttemptFailure, ConnectFailure};
use crate::explain::FailureCounts;

/// Durations of requests, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durations(Vec<u64>);

impl Durations {
    pub(super) fn add(&mut self, millis: u64) {
        self.0.push(millis);
    }

    /// Returns the number of durations.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns the sum of the durations, in milliseconds.
    #[must_use]
    pub fn sum_ms(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Returns the median duration, the longer of the two middle ones for an even number; `None` without
    /// durations.
    #[must_use]
    pub fn median_ms(&self) -> Option<u64> {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied()
    }

    /// Returns the number of durations above a limit.
    #[must_use]
    pub fn count_above(&self, limit_ms: u64) -> usize {
        self.0.iter().filter(|millis| **millis > limit_ms).count()
    }
}

/// Failed attempts to run statements at members, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailedAttempts {
    /// Attempts at members that had not reached the position that the read needed.
    pub lagging: u64,
    /// Attempts at members that had no free slot or accepted no more connections.
    pub full: u64,
    /// Attempts at members that were not the primary.
    pub not_primary: u64,
    /// Attempts without an answer.
    pub silent: u64,
    /// Attempts whose connection failed or could not be opened.
    pub lost: u64,
    /// Attempts that failed for any other reason.
    pub other: u64,
}

impl FailedAttempts {
    pub(super) fn add(&mut self, kind: AttemptFailure) {
        *match kind {
            AttemptFailure::Lagging => &mut self.lagging,
            AttemptFailure::Full => &mut self.full,
            AttemptFailure::NotPrimary => &mut self.not_primary,
            AttemptFailure::Silent => &mut self.silent,
            AttemptFailure::Lost => &mut self.lost,
            AttemptFailure::Other => &mut self.other,
        } += 1;
    }

    /// Returns the counts in the order of the tables' columns.
    #[must_use]
    pub const fn all(&self) -> [u64; 6] {
        [self.lagging, self.full, self.not_primary, self.silent, self.lost, self.other]
    }

    /// Returns the sum of the counts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.all().iter().sum()
    }
}

/// Connections to members that could not be opened, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailedConnects {
    /// Connections to members that accept no more connections.
    pub full: u64,
    /// Connections to members at whose address nothing answers, or another member does.
    pub unreachable: u64,
    /// Connections to members that were reached and were not ready, or whose error is unknown.
    pub other: u64,
}

impl FailedConnects {
    pub(super) fn add(&mut self, kind: ConnectFailure) {
        *match kind {
            ConnectFailure::Full => &mut self.full,
            ConnectFailure::Unreachable => &mut self.unreachable,
            ConnectFailure::Other => &mut self.other,
        } += 1;
    }

    /// Returns the counts in the order of the tables' columns.
    #[must_use]
    pub const fn all(&self) -> [u64; 3] {
        [self.full, self.unreachable, self.other]
    }

    /// Returns the sum of the counts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.all().iter().sum()
    }
}

/// Number of events that may explain losses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Gateways that started.
    pub gateways_started: u64,
    /// Times that a gateway learned that another member is a primary; each gateway learns this for itself.
    pub primaries_found: u64,
    /// Members that became primaries by a promotion.
    pub members_promoted: u64,
    /// Control leaders that were elected.
    pub leaders_elected: u64,
}

/// Lost requests and events in a window of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Failed requests that ran or may have run, by outcome.
    pub failed: FailureCounts,
    /// Requests that did not run, by outcome.
    pub refused: FailureCounts,
    /// Failed attempts of lost requests.
    pub failed_attempts: FailedAttempts,
    /// Durations of requests that did not run and had failed attempts.
    pub refused_after_attempts: Durations,
    /// Durations of requests that did not run and for which no attempt is reported.
    pub refused_without_attempts: Durations,
    /// Retry delays that were reported to callers.
    pub retry_after: Durations,
    /// Connections to members that could not be opened.
    pub failed_connects: FailedConnects,
    /// Events in the window.
    pub events: Events,
}

impl Window {
    /// Returns the number of lost requests, whether they ran or not.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.failed.values().chain(self.refused.values()).sum()
    }
}

/// Lost requests and failed attempts of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLosses {
    /// Failed requests that ran or may have run.
    pub failed: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Failed attempts.
    pub failed_attempts: FailedAttempts,
    /// Connections to members that could not be opened.
    pub failed_connects: FailedConnects,
    /// Times that the process started as a gateway.
    pub gateway_starts: u64,
}

/// Failed attempts and connections at a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberLosses {
    /// Failed attempts to run statements.
    pub failed_attempts: FailedAttempts,
    /// Connections to the member that could not be opened.
    pub failed_connects: FailedConnects,
}
