//! Outcome of one run of the limits.
//!
//! Owns what a run counted and the first window that was exceeded, as tests and the command line read them.

use super::check::WindowExceeded;
use std::fmt;

/// What happened in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitsCounts {
    /// Operations begun.
    pub begun: u64,
    /// Operations refused.
    pub refused: u64,
    /// Processes that started again.
    pub restarts: u64,
    /// Leaders after the first.
    pub elections: u64,
    /// Messages lost.
    pub lost: u64,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsReport {
    /// The seed.
    pub seed: u64,
    /// The first window that was exceeded.
    pub exceeded: Option<WindowExceeded>,
    /// The fullest window, as a part of its limit.
    pub highest_part: f64,
    /// What happened.
    pub counts: LimitsCounts,
}

impl fmt::Display for LimitsReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, exceeded, highest_part, counts } = self;
        write!(formatter, "seed {seed}: {exceeded:?}, fullest {highest_part:.2}, {counts:?}")
    }
}
