//! How far a member's log reaches, as far as a gateway has been told, and when a member that lagged is tried again.
//!
//! It is for the choice of a reader: a member without the position that a read must see refuses it, and the read
//! has lost a way there and back. While both replicas of a group lag, reads that try them first come to the
//! primary with little of their time left. Owns the newest position told by one member, the position that it
//! lacked, and the pause until the next try. Relies on the gateway to note what answers say; nothing here is a
//! promise: the member itself refuses a read that it is too far behind for.

use super::member_pauses::ClockInstant;
use crate::position::Position;
use std::time::Duration;

/// First pause after which one read tries a member that lagged again; each further refusal doubles it, up to the
/// last.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// How often the pause is doubled at most, so that the factor stays small.
const DOUBLED_AT_MOST: u32 = 8;

/// That a member lacked a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lag<I> {
    /// The lowest position that it is known to have lacked.
    lacked: Position,
    /// How often it refused since it last held what was asked for.
    refusals: u32,
    /// When one read may try it again.
    retry_at: I,
}

/// What is known of one member's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogProgress<I> {
    held: Option<Position>,
    lag: Option<Lag<I>>,
}

impl<I> Default for LogProgress<I> {
    fn default() -> Self {
        Self { held: None, lag: None }
    }
}

impl<I: ClockInstant> LogProgress<I> {
    /// The member said that its log reaches this position.
    pub fn note_held(&mut self, position: Position) {
        self.held = self.held.max(Some(position));
        if self.lag.is_some_and(|lag| lag.lacked <= position) {
            self.lag = None;
        }
    }

    /// The member refused a read that needed this position.
    pub fn note_lacking(&mut self, needed: Position, now: I) {
        let refusals = self.lag.map_or(0, |lag| lag.refusals);
        let pause = FIRST_PAUSE.saturating_mul(1 << refusals.min(DOUBLED_AT_MOST));
        let retry_at = now + pause.min(LONGEST_PAUSE);
        // What it said before may have been rolled back since.
        self.held = self.held.filter(|held| *held < needed);
        self.lag = Some(Lag { lacked: needed, refusals: refusals + 1, retry_at });
    }

    /// Whether it lacks what a read needs, as far as is known, and is not due for another try. Without a
    /// position, whether it lacks what was asked for last.
    #[must_use]
    pub fn lacks(&self, needed: Option<Position>, now: I) -> bool {
        let Some(lag) = self.lag else { return false };
        let is_below = needed.is_some_and(|needed| needed < lag.lacked);
        !is_below && now < lag.retry_at
    }

    /// A read that it may lack the position for is sent there: no other one is for a while.
    pub fn begin_try(&mut self, now: I) {
        if let Some(lag) = &mut self.lag
            && lag.retry_at <= now
        {
            lag.retry_at = now + FIRST_PAUSE;
        }
    }
}
