//! When a member that accepts connections and answers nothing counts as gone.
//!
//! One late answer says little: a member may have much to do. A process that stands still accepts
//! connections as long as its machine lives, and answers none of many questions in a long time.
//!
//! Owns the count of unanswered questions to one member. What follows when it counts as gone (reports to
//! control, promotions) is decided elsewhere.

use crate::time::Timestamp;
use std::time::Duration;

/// Time without any answer after which a member counts as gone. Chosen, not measured beside other values:
/// without the rule a primary that stood still was kept for 4.9 s of a soak; with less time, members that have
/// much to do are replaced.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Questions that must have stayed without an answer in that time. Chosen, not measured: with fewer, one
/// caller's bad luck replaces a primary.
const SILENT_QUESTIONS: u32 = 4;

/// Questions to a member that stayed without an answer since its last one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// When the first of them had waited long enough.
    since: Option<Timestamp>,
    questions: u32,
}

impl Silence {
    /// A question had no answer in its time. Says whether the member counts as gone now.
    pub fn unanswered(&mut self, now: Timestamp) -> bool {
        let since = *self.since.get_or_insert(now);
        self.questions += 1;
        self.questions >= SILENT_QUESTIONS && now.saturating_since(since) >= SILENCE_LIMIT
    }

    /// The member answered something at this time. An answer from before the silence began does
    /// not end it.
    pub fn answered(&mut self, at: Timestamp) {
        if self.since.is_none_or(|since| at >= since) {
            *self = Self::default();
        }
    }
}
