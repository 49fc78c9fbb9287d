//! Ways to a member that a gateway does not reach itself: through gateways that hold connections.
//!
//! A cut between some gateways and a primary is no reason to replace it as long as others reach
//! it. Whether any of them does is found out by one question at a time; while none does, the
//! question is asked again after a growing pause.
//!
//! Owns, of one member, whether others reach it. Relies on the gateway to ask them. On a users' day where a cut
//! left one gateway of seven apart from its primary, the primary stays in place and worth rose from 0.884 to
//! 0.909 (trial, together with the rule for suspected primaries in `registry::promotion`).

use crate::time::Timestamp;
use std::time::Duration;

/// First pause after no gateway reached the member; doubled with each that follows. Chosen, not measured: with
/// less, every statement costs a question to all holders; with more, a primary is used again later.
const FAILED_FIRST: Duration = Duration::from_millis(150);
/// Longest such pause.
const FAILED_LAST: Duration = Duration::from_secs(1);

/// How long an answer is waited for: who asked may have gone. Chosen, not measured.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// What may be done about a member that is not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetourStep {
    /// Ask other gateways.
    Take,
    /// Another question is under way: wait for what comes of it.
    Wait,
    /// No other gateway reached it a moment ago.
    Closed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Unknown,
    Asking {
        since: Timestamp,
    },
    Open,
    Closed {
        until: Timestamp,
    },
}

/// Whether other gateways reach a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Detour {
    state: State,
    failures: u32,
}

impl Detour {
    /// What may be done now. [`DetourStep::Take`] is followed by [`Detour::reached`] or
    /// [`Detour::failed`], unless who asked went away.
    pub fn step(&mut self, now: Timestamp) -> DetourStep {
        match self.state {
            State::Open => DetourStep::Take,
            State::Asking { since } if now.saturating_since(since) < ANSWER_LIMIT => {
                DetourStep::Wait
            }
            State::Closed { until } if now < until => DetourStep::Closed,
            State::Unknown | State::Asking { .. } | State::Closed { .. } => {
                self.state = State::Asking { since: now };
                DetourStep::Take
            }
        }
    }

    /// Whether a detour was taken last time.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// A gateway reaches the member.
    pub fn reached(&mut self) {
        *self = Self { state: State::Open, failures: 0 };
    }

    /// None of those asked reaches it.
    pub fn failed(&mut self, now: Timestamp) {
        let pause = FAILED_FIRST.saturating_mul(1 << self.failures.min(8)).min(FAILED_LAST);
        self.failures += 1;
        self.state = State::Closed { until: now + pause };
    }
}
