//! What is counted of a window, of a process and of a member.
//!
//! It is for [`super::Losses`], which finds the lines, and [`super::text`], which writes the tables. It owns the
//! counts and how times are put together.

use super::attempt::{AttemptKind, DialKind};
use crate::explain::Ends;

/// Times of requests, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Times(Vec<u64>);

impl Times {
    pub(super) fn add(&mut self, millis: u64) {
        self.0.push(millis);
    }

    /// How many.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// All of them together.
    #[must_use]
    pub fn sum_ms(&self) -> u64 {
        self.0.iter().sum()
    }

    /// The one in the middle; of two in the middle the longer.
    #[must_use]
    pub fn median_ms(&self) -> Option<u64> {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied()
    }

    /// How many are longer than a limit.
    #[must_use]
    pub fn beyond(&self, limit_ms: u64) -> usize {
        self.0.iter().filter(|millis| **millis > limit_ms).count()
    }
}

/// Offers of statements to members that were in vain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offers {
    /// The member lacked the position that the read needed.
    pub lagging: u64,
    /// It had no slot or took no more connections.
    pub full: u64,
    /// It was not the primary.
    pub not_primary: u64,
    /// No answer came.
    pub silent: u64,
    /// The connection broke, or could not be opened.
    pub lost: u64,
    /// Anything else.
    pub other: u64,
}

impl Offers {
    pub(super) fn add(&mut self, kind: AttemptKind) {
        *match kind {
            AttemptKind::Lagging => &mut self.lagging,
            AttemptKind::Full => &mut self.full,
            AttemptKind::NotPrimary => &mut self.not_primary,
            AttemptKind::Silent => &mut self.silent,
            AttemptKind::Lost => &mut self.lost,
            AttemptKind::Other => &mut self.other,
        } += 1;
    }

    /// All of them, in the order of the tables.
    #[must_use]
    pub const fn all(&self) -> [u64; 6] {
        [self.lagging, self.full, self.not_primary, self.silent, self.lost, self.other]
    }

    /// How many.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.all().iter().sum()
    }
}

/// Connections to members that could not be opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dials {
    /// The member takes no more.
    pub full: u64,
    /// Nothing answers at its address, or another member does.
    pub unreachable: u64,
    /// It was reached and was not ready, or the error is not known.
    pub other: u64,
}

impl Dials {
    pub(super) fn add(&mut self, kind: DialKind) {
        *match kind {
            DialKind::Full => &mut self.full,
            DialKind::Unreachable => &mut self.unreachable,
            DialKind::Other => &mut self.other,
        } += 1;
    }

    /// All of them, in the order of the tables.
    #[must_use]
    pub const fn all(&self) -> [u64; 3] {
        [self.full, self.unreachable, self.other]
    }

    /// How many.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.all().iter().sum()
    }
}

/// What happened that explains losses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Gateways that started.
    pub started: u64,
    /// Times that a gateway found another member to be a primary; each gateway finds it for itself.
    pub found: u64,
    /// Members that were promoted and lead.
    pub promoted: u64,
    /// Leaders of control that were elected.
    pub elected: u64,
}

/// What was lost in a window of time, and what happened in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// How requests ended that failed, other than those that did not run.
    pub failed: Ends,
    /// How requests ended that did not run.
    pub refused: Ends,
    /// What requests that were lost had been offered in vain.
    pub offers: Offers,
    /// Time that requests took which did not run, and had been offered to a member in vain.
    pub refused_offered: Times,
    /// Time that requests took which did not run, where no offer to a member is told.
    pub refused_not_offered: Times,
    /// When callers were told to come back.
    pub retry_after: Times,
    /// Connections to members that could not be opened.
    pub dials: Dials,
    /// What happened.
    pub events: Events,
}

impl Window {
    /// Requests that were lost.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.failed.values().chain(self.refused.values()).sum()
    }
}

/// What a process lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLosses {
    /// Requests that failed, other than those that did not run.
    pub failed: u64,
    /// Requests that did not run.
    pub refused: u64,
    /// Offers in vain.
    pub offers: Offers,
    /// Connections to members that could not be opened.
    pub dials: Dials,
    /// Times that it started as a gateway.
    pub started: u64,
}

/// What was asked of a member in vain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberLosses {
    /// Offers of statements.
    pub offers: Offers,
    /// Connections that could not be opened.
    pub dials: Dials,
}
