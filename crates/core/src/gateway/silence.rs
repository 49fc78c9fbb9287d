//! Detection of a member that accepts connections but answers nothing.
//!
//! A single late answer says little, because a busy member answers late as well. A stalled process
//! accepts connections as long as its machine runs, and leaves many questions unanswered for a long
//! time.
//!
//! [`SilenceDetector`] owns the count of unanswered questions to one member. Other modules decide what
//! follows when the member counts as gone (reports to the control service, promotions).

use crate::time::Timestamp;
use std::time::Duration;

/// Time without any answer after which a member counts as gone. Without this rule a stalled primary
/// stays in place for 4.9 s; with a shorter time, busy members are replaced.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Minimum number of unanswered questions within that time. With fewer, a single unlucky caller has
/// a primary replaced.
const MIN_UNANSWERED_QUESTIONS: u32 = 4;

/// Unanswered questions to a member since its last answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SilenceDetector {
    /// When the first of these questions timed out.
    since: Option<Timestamp>,
    unanswered_count: u32,
}

impl SilenceDetector {
    /// Records that a question timed out, and reports whether the member counts as gone now.
    pub fn record_unanswered(&mut self, now: Timestamp) -> bool {
        let since = *self.since.get_or_insert(now);
        self.unanswered_count += 1;
        self.unanswered_count >= MIN_UNANSWERED_QUESTIONS
            && now.saturating_since(since) >= SILENCE_LIMIT
    }

    /// Records that the member answered at the time `at`. An answer from before the silence began
    /// does not end it.
    pub fn record_answer(&mut self, at: Timestamp) {
        if self.since.is_none_or(|since| at >= since) {
            *self = Self::default();
        }
    }
}
