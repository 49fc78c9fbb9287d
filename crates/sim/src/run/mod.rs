//! Deterministic simulation of the core under faults drawn by seed.
//!
//! One loop takes packets, ticks and faults in the order of a virtual clock; every
//! draw comes from one generator seeded by the run's seed, so a seed reproduces a
//! run bit for bit, which [`Report::hash`] shows.

mod client;
mod control;
mod event;
mod faults;
mod health;
mod history;
mod member;
mod names;
mod network;
mod operator;
mod proxy;
mod trace;
mod variant;
mod world;

pub use event::{Address, Write};
pub use history::{Counts, Violation};
pub use variant::Variant;

use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use world::World;

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Hash over everything that happened, in order.
    pub hash: String,
    /// Packets, ticks and faults handled.
    pub events: u64,
    /// Length on the virtual clock, in microseconds.
    pub length: u64,
    /// What it did.
    pub counts: Counts,
    /// The faults, as text.
    pub faults: Vec<String>,
    /// What it may not do and did; the run ends at the first.
    pub violations: Vec<Violation>,
    /// Everything that happened, where it was asked for.
    pub lines: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.length / 1_000_000;
        writeln!(
            formatter,
            "seed {}: {} events, {seconds} s, {:?}",
            self.seed, self.events, self.counts
        )?;
        for fault in &self.faults {
            writeln!(formatter, "  {fault}")?;
        }
        for violation in &self.violations {
            writeln!(formatter, "  VIOLATED: {violation:?}")?;
        }
        write!(formatter, "  trace {}", self.hash)
    }
}

/// Runs one seed.
#[must_use]
pub fn run(seed: u64, variant: Variant) -> Report {
    run_with(seed, variant, false)
}

/// Runs one seed and keeps a line for everything that happened.
#[must_use]
pub fn run_traced(seed: u64, variant: Variant) -> Report {
    run_with(seed, variant, true)
}

fn run_with(seed: u64, variant: Variant, keep_lines: bool) -> Report {
    let run = || World::new(seed, variant, keep_lines).run();
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| Report {
        seed,
        hash: String::new(),
        events: 0,
        length: 0,
        counts: Counts::default(),
        faults: Vec::new(),
        violations: vec![Violation::Panicked(panic_text(panic.as_ref()))],
        lines: Vec::new(),
    })
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned())).unwrap_or_default()
}
