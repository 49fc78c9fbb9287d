//! Back-off of a gateway after a failure of a member.
//!
//! [`MemberPauses`] decides whether the gateway may now use a member for reads, for writes, for a
//! new connection or for a further attempt to connect. It owns the end of each pause and the count
//! of failed attempts. The caller passes the time of its own clock; durations are never rounded.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Pause after the first failed attempt to connect to a member. Each further failure doubles the
/// pause up to [`LONGEST_CONNECT_PAUSE`]. A shorter first pause sends more connection attempts to a
/// machine that is gone; a longer one finds a restarted member later.
const FIRST_CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between attempts to connect, which bounds how late a recovered member is used
/// again.
const LONGEST_CONNECT_PAUSE: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the pause; the bound keeps the factor from overflowing.
const MAX_DOUBLINGS: u32 = 8;
/// How long other members are preferred to one that lacked a required position. After a shorter
/// pause, the member refuses the next reads as well; during a longer one, the other members carry
/// its share.
const LAGGING_PAUSE: Duration = Duration::from_millis(150);
/// How long other members are preferred to one that had no room. After a shorter pause, the member
/// is asked again while it is still full; during a longer one, its free capacity stays unused.
const BUSY_PAUSE: Duration = Duration::from_millis(50);
/// How long other members are preferred to one that owes an answer, while the gateway opens a new
/// connection to it; also the minimum time between two such attempts. With a shorter pause, more
/// statements are sent to a member that is gone; with a longer one, a member that was only slow
/// stays unused.
const SILENT_PAUSE: Duration = Duration::from_millis(300);
/// How long the gateway opens no further connections to a member that refused one. With a shorter
/// pause, a full member spends its time on refusals; with a longer one, connections that other
/// gateways closed stay unused.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// A point in time of the caller's clock.
pub trait ClockInstant: Copy + Ord + Add<Duration, Output = Self> + Sub<Output = Duration> {}

impl<I: Copy + Ord + Add<Duration, Output = I> + Sub<Output = Duration>> ClockInstant for I {}

/// Reports whether a pause that ends at `until` is still running.
fn is_pending<I: ClockInstant>(until: Option<I>, now: I) -> bool {
    until.is_some_and(|until| now < until)
}

/// The pauses of one member at one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberPauses<I> {
    /// Failed attempts to connect since the last successful one.
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
    /// Records that the registry reports the member as draining. Only the first call sets the start
    /// of the drain.
    pub fn record_draining(&mut self, now: I) {
        self.draining_since.get_or_insert(now);
    }

    /// Reports whether the member is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Reports whether the member has been draining for `drain_limit`, the time in which a draining
    /// primary still gets work.
    #[must_use]
    pub fn is_drain_over(&self, now: I, drain_limit: Duration) -> bool {
        self.draining_since.is_some_and(|since| now - since >= drain_limit)
    }

    /// Reports whether the member is expected to accept reads.
    #[must_use]
    pub fn accepts_reads(&self, now: I) -> bool {
        !self.is_draining() && !self.is_unreachable(now)
    }

    /// Reports whether the member is expected to accept writes if it is the primary. A draining
    /// primary accepts them until it is replaced or `drain_limit` has passed.
    #[must_use]
    pub fn accepts_writes(&self, now: I, drain_limit: Duration) -> bool {
        !self.is_drain_over(now, drain_limit) && !self.is_unreachable(now)
    }

    /// Reports whether the last attempt to connect failed and the pause after it is still running.
    #[must_use]
    pub fn is_unreachable(&self, now: I) -> bool {
        is_pending(self.unreachable_until, now)
    }

    /// Reports whether the last attempt to connect failed.
    #[must_use]
    pub const fn has_failed_attempts(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful connection. Returns whether attempts had failed before.
    pub fn record_reached(&mut self) -> bool {
        self.clear_failures()
    }

    /// Clears the failed attempts. Returns whether there were any.
    pub fn clear_failures(&mut self) -> bool {
        let had_failed = self.failures > 0;
        self.failures = 0;
        self.unreachable_until = None;
        had_failed
    }

    /// Records a failed attempt to connect. Returns whether it is the first since the last success.
    pub fn record_unreachable(&mut self, now: I) -> bool {
        let is_first_failure = self.failures == 0;
        let pause = FIRST_CONNECT_PAUSE.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.unreachable_until = Some(now + pause.min(LONGEST_CONNECT_PAUSE));
        is_first_failure
    }

    /// Reports whether other members are preferred to this one at the moment.
    #[must_use]
    pub fn is_passed_over(&self, now: I) -> bool {
        is_pending(self.passed_over_until, now)
    }

    /// Records that the member lacked a position that a read had to see.
    pub fn record_lagging(&mut self, now: I) {
        self.passed_over_until = Some(now + LAGGING_PAUSE);
    }

    /// Records that the member cannot be used now, for a reason that may not be its own.
    pub fn record_busy(&mut self, now: I) {
        self.passed_over_until = Some(now + BUSY_PAUSE);
    }

    /// Records that the member owes an answer.
    pub fn record_silence(&mut self, now: I) {
        self.passed_over_until = Some(now + SILENT_PAUSE);
    }

    /// Records that the member refused a further connection.
    pub fn record_full(&mut self, now: I) {
        self.full_until = Some(now + FULL_PAUSE);
    }

    /// Reports whether the member refused a further connection within the last `FULL_PAUSE`.
    #[must_use]
    pub fn is_full(&self, now: I) -> bool {
        is_pending(self.full_until, now)
    }

    /// Starts a new attempt to connect if one is due, and reports whether it is.
    pub fn begin_check(&mut self, now: I) -> bool {
        let is_due = !self.is_unreachable(now) && !is_pending(self.checked_until, now);
        if is_due {
            self.checked_until = Some(now + SILENT_PAUSE);
        }
        is_due
    }
}
