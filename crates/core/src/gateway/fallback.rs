//! Connections that a gateway opens to a member whose holders do not answer, and what it has found by them.
//!
//! It is for the questions how many such connections there may be and until when, and for how long what a
//! gateway found of a member counts once it has no connections of its own. It owns the ends of those times. It
//! relies on the caller for the time and for the connections themselves.

use super::member_pauses::ClockInstant;
use std::time::Duration;

/// Connections that a gateway opens to a member without holding a share of it. Chosen, not measured:
/// fewer make all statements for the member queue behind one, more take connections that the member's
/// holders count as theirs once they are back.
pub const FALLBACK_CONNECTIONS: usize = 2;
/// For how long: the view names other holders by then, or those are back. Chosen, not measured: shorter,
/// silent holders are asked again while they are still gone; longer, the connections lie beside the shares.
const FALLBACK_TIME: Duration = Duration::from_secs(2);
/// How long what a gateway found of a member counts once it has no connections of its own. Chosen, not
/// measured: it outlasts the longest pause between two attempts to connect and the questions to holders before
/// the next fallback. Shorter, the word on a primary that is gone is taken back between two fallbacks, and
/// control's patience with it begins anew; longer, one that is back is suspected for longer.
const FINDINGS_KEPT: Duration = Duration::from_secs(4);

/// The time in which a gateway has fallback connections to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FallbackPeriod<I> {
    until: Option<I>,
}

impl<I> Default for FallbackPeriod<I> {
    fn default() -> Self {
        Self { until: None }
    }
}

impl<I: ClockInstant> FallbackPeriod<I> {
    /// Begins now.
    pub fn begin(&mut self, now: I) {
        self.until = Some(now + FALLBACK_TIME);
    }

    /// Ends, where its time is over; says whether it ended now.
    pub fn end_if_over(&mut self, now: I) -> bool {
        let is_over = self.until.is_some_and(|until| now >= until);
        if is_over {
            self.until = None;
        }
        is_over
    }

    /// Ends before its time: the gateway was given a share, or lost one.
    pub fn cancel(&mut self) {
        self.until = None;
    }
}

/// The time in which what a gateway found of a member counts. Without connections of its own it would never
/// notice that the member is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WitnessPeriod<I> {
    unconnected_since: Option<I>,
}

impl<I> Default for WitnessPeriod<I> {
    fn default() -> Self {
        Self { unconnected_since: None }
    }
}

impl<I: ClockInstant> WitnessPeriod<I> {
    /// Notes whether the gateway may have connections to the member now; says whether it has been without
    /// for so long that what it found is to be forgotten.
    pub fn is_over(&mut self, now: I, holds_connections: bool) -> bool {
        if holds_connections {
            self.unconnected_since = None;
            return false;
        }
        now - *self.unconnected_since.get_or_insert(now) >= FINDINGS_KEPT
    }
}
