//! Counts operations in every window.
//!
//! Owns the operations begun in the newest window and the limits in force in it, in true time; it knows no
//! gateway and no leader.

use std::collections::VecDeque;
use std::time::Duration;

/// More operations began in a window than the limit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowExceeded {
    /// Microseconds of true time at which the window ends.
    pub ends_at: u64,
    /// Operations begun in it.
    pub begun: u64,
    /// The highest limit in force in it.
    pub limit: u64,
}

/// Follows operations and limits in true time.
#[derive(Debug)]
pub(super) struct WindowCheck {
    window: u64,
    begun: VecDeque<u64>,
    /// When each limit came into force anywhere, and until when it was; open while it is.
    limits: Vec<(u64, u64, Option<u64>)>,
    exceeded: Option<WindowExceeded>,
    highest_part: f64,
}

impl WindowCheck {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window: window.as_micros() as u64,
            begun: VecDeque::new(),
            limits: Vec::new(),
            exceeded: None,
            highest_part: 0.0,
        }
    }

    /// These limits are in force somewhere at this time, and no others.
    pub(super) fn in_force(&mut self, now: u64, limits: &[u64]) {
        for (limit, _, until) in &mut self.limits {
            if until.is_none() && !limits.contains(limit) {
                *until = Some(now);
            }
        }
        for limit in limits {
            let open = self.limits.iter().any(|(it, _, until)| it == limit && until.is_none());
            if !open {
                self.limits.push((*limit, now, None));
            }
        }
    }

    /// An operation began.
    pub(super) fn begin(&mut self, now: u64) {
        self.begun.push_back(now);
        while self.begun.front().is_some_and(|first| first + self.window <= now) {
            self.begun.pop_front();
        }
        let oldest = now.saturating_sub(self.window);
        let in_window =
            self.limits.iter().filter(|(_, _, until)| until.is_none_or(|it| it >= oldest));
        let limit = in_window.map(|(limit, ..)| *limit).max().unwrap_or(0);
        let begun = self.begun.len() as u64;
        self.highest_part = self.highest_part.max(begun as f64 / limit.max(1) as f64);
        if begun > limit && self.exceeded.is_none() {
            self.exceeded = Some(WindowExceeded { ends_at: now, begun, limit });
        }
    }

    pub(super) const fn exceeded(&self) -> Option<WindowExceeded> {
        self.exceeded
    }

    /// The fullest window, as a part of its limit.
    pub(super) const fn highest_part(&self) -> f64 {
        self.highest_part
    }
}
