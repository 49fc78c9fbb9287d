//! For how long a gateway leaves a member alone after trouble with it.
//!
//! It is for the question whether a member may be used now: reads, writes, a new connection, another
//! attempt to connect. It owns the times at which each pause ends and the count of failed attempts. It
//! relies on the caller for the time, of whichever clock the caller keeps: nothing is rounded here.

use std::ops::{Add, Sub};
use std::time::Duration;

/// First pause after a member could not be connected to; each further failure doubles it, up to the last.
/// Chosen, not measured: a lower first pause sends more connection attempts to a machine that is gone, a
/// higher one finds a restarted member later; the last bounds how late a member that is back is used.
const UNREACHABLE_FIRST: Duration = Duration::from_millis(100);
const UNREACHABLE_LAST: Duration = Duration::from_secs(2);
/// How often the pause is doubled at most, so that the factor stays small.
const DOUBLED_AT_MOST: u32 = 8;
/// How long a member that lacked a position is passed over while others can serve. Chosen, not measured:
/// lower, the same member refuses the next reads as well; higher, the others carry its part for longer.
const LAGGING_PAUSE: Duration = Duration::from_millis(150);
/// How long a member that had no room is passed over while others can serve. Chosen, not measured: lower,
/// it is asked again while it is still full; higher, room that it has is left unused.
const BUSY_PAUSE: Duration = Duration::from_millis(50);
/// How long a member that owed an answer is passed over while it is connected to anew, and the shortest
/// time between two such attempts. Chosen, not measured: lower, more statements run into a member that is
/// gone; higher, one that was only slow is left aside for longer.
const SILENT_PAUSE: Duration = Duration::from_millis(300);
/// How long a refused connection keeps the gateway from opening more of them. Chosen, not measured:
/// lower, a full member spends its time on refusals; higher, connections that others closed stay unused.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// A point in time of the caller's clock.
pub trait ClockInstant: Copy + Ord + Add<Duration, Output = Self> + Sub<Output = Duration> {}

impl<I: Copy + Ord + Add<Duration, Output = I> + Sub<Output = Duration>> ClockInstant for I {}

/// Whether a pause is still on.
fn is_pending<I: ClockInstant>(until: Option<I>, now: I) -> bool {
    until.is_some_and(|until| now < until)
}

/// The pauses of one member, as one gateway keeps them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberPauses<I> {
    /// Attempts to connect that failed since the last that did not.
    failures: u32,
    unreachable_until: Option<I>,
    passed_over_until: Option<I>,
    full_until: Option<I>,
    checked_until: Option<I>,
    draining_since: Option<I>,
}

impl<I> Default for MemberPauses<I> {
    fn default() -> Self {
        Self {
            failures: 0,
            unreachable_until: None,
            passed_over_until: None,
            full_until: None,
            checked_until: None,
            draining_since: None,
        }
    }
}

impl<I: ClockInstant> MemberPauses<I> {
    /// The registry says that the member drains; the first time counts.
    pub fn note_draining(&mut self, now: I) {
        self.draining_since.get_or_insert(now);
    }

    /// Whether it drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Whether it drains and the time in which a draining primary still gets work is over.
    #[must_use]
    pub fn has_left(&self, now: I, drain_limit: Duration) -> bool {
        self.draining_since.is_some_and(|since| now - since >= drain_limit)
    }

    /// Whether it takes reads as far as is known.
    #[must_use]
    pub fn takes_reads(&self, now: I) -> bool {
        !self.is_draining() && !self.is_unreachable(now)
    }

    /// Whether it takes writes as far as is known, if it is the primary: one that drains does until it is
    /// replaced, or until the end of its time.
    #[must_use]
    pub fn takes_writes(&self, now: I, drain_limit: Duration) -> bool {
        !self.has_left(now, drain_limit) && !self.is_unreachable(now)
    }

    /// Whether it could not be reached and is not tried again yet.
    #[must_use]
    pub fn is_unreachable(&self, now: I) -> bool {
        is_pending(self.unreachable_until, now)
    }

    /// Whether it could not be reached when last tried.
    #[must_use]
    pub const fn is_unreached(&self) -> bool {
        self.failures > 0
    }

    /// It was reached; says whether that is news.
    pub fn note_reached(&mut self) -> bool {
        self.forget_failures()
    }

    /// Attempts that failed count no longer; says whether there were any.
    pub fn forget_failures(&mut self) -> bool {
        let had_failed = self.failures > 0;
        self.failures = 0;
        self.unreachable_until = None;
        had_failed
    }

    /// It could not be reached; says whether that is news.
    pub fn note_unreachable(&mut self, now: I) -> bool {
        let news = self.failures == 0;
        let pause = UNREACHABLE_FIRST.saturating_mul(1 << self.failures.min(DOUBLED_AT_MOST));
        self.failures += 1;
        self.unreachable_until = Some(now + pause.min(UNREACHABLE_LAST));
        news
    }

    /// Whether others are preferred for a moment.
    #[must_use]
    pub fn is_passed_over(&self, now: I) -> bool {
        is_pending(self.passed_over_until, now)
    }

    /// It lacked a position that a read had to see.
    pub fn note_lagging(&mut self, now: I) {
        self.passed_over_until = Some(now + LAGGING_PAUSE);
    }

    /// It cannot be used now, for a reason that may not be its own.
    pub fn note_busy(&mut self, now: I) {
        self.passed_over_until = Some(now + BUSY_PAUSE);
    }

    /// It owes an answer.
    pub fn note_silent(&mut self, now: I) {
        self.passed_over_until = Some(now + SILENT_PAUSE);
    }

    /// It takes no more connections.
    pub fn note_full(&mut self, now: I) {
        self.full_until = Some(now + FULL_PAUSE);
    }

    /// Whether it took no more connections a moment ago.
    #[must_use]
    pub fn is_full(&self, now: I) -> bool {
        is_pending(self.full_until, now)
    }

    /// Begins an attempt to connect to it anew, if it is time for one; says whether it is.
    pub fn begin_check(&mut self, now: I) -> bool {
        let is_due = !self.is_unreachable(now) && !is_pending(self.checked_until, now);
        if is_due {
            self.checked_until = Some(now + SILENT_PAUSE);
        }
        is_due
    }
}
