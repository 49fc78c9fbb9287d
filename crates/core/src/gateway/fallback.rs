//! Connections that a gateway opens to a member whose holders do not answer.
//!
//! It is for the question how many such connections there may be and until when. It owns the end of that
//! time. It relies on the caller for the time and for the connections themselves.

use super::member_pauses::ClockInstant;
use std::time::Duration;

/// Connections that a gateway opens to a member without holding a share of it. Chosen, not measured:
/// fewer make all statements for the member queue behind one, more take connections that the member's
/// holders count as theirs once they are back.
pub const FALLBACK_CONNECTIONS: usize = 2;
/// For how long: the view names other holders by then, or those are back. Chosen, not measured: shorter,
/// silent holders are asked again while they are still gone; longer, the connections lie beside the shares.
const FALLBACK_TIME: Duration = Duration::from_secs(2);

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
