//! Runs many seeds, and tells how to repeat one that failed.
//!
//! Owns what the commands `run` and `limits` have in common: the range of seeds, the threads, the broken
//! variant by its name and the list of failed seeds. Relies on the library for what one seed does.

use crate::CommandError;
use crate::flags::{Limits, Run};
use corktack_sim::limits::{self, LimitsVariant};
use corktack_sim::run::{self, Report, Variant};
use std::fmt::Debug;
use std::io::Write;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Runs the seeds of the core; tells whether all passed.
pub fn run_core(flags: &Run) -> eyre::Result<bool> {
    let variant = variant(flags.variant.as_deref(), Variant::Correct, &Variant::BROKEN)?;
    check_seeds(&flags.seeds, flags.threads, |seed| {
        let run = if flags.trace { run::run_traced } else { run::run };
        let report = run(seed, variant);
        let failed = !report.violations.is_empty();
        print(&report, variant, failed || flags.verbose);
        Checked { failed, events: report.events }
    })
}

/// Runs the seeds of the limits; tells whether all passed.
pub fn run_limits(flags: &Limits) -> eyre::Result<bool> {
    let variant =
        variant(flags.variant.as_deref(), LimitsVariant::Correct, &LimitsVariant::BROKEN)?;
    check_seeds(&flags.seeds, flags.threads, |seed| {
        let report = limits::run(seed, variant);
        let failed = report.exceeded.is_some();
        if flags.verbose || failed {
            // A closed output ends the printing, not the runs.
            let _ = writeln!(std::io::stdout(), "{report}");
        }
        Checked { failed, events: report.counts.begun }
    })
}

/// What one seed came to.
struct Checked {
    failed: bool,
    /// Packets, ticks and faults handled, or operations begun.
    events: u64,
}

/// Checks every seed, prints those that failed, and tells whether there are none.
fn check_seeds(
    seeds: &str,
    threads: Option<usize>,
    check: impl Fn(u64) -> Checked + Sync,
) -> eyre::Result<bool> {
    let seeds = parse_seeds(seeds)?;
    let begin = Instant::now();
    let failed = Mutex::new(Vec::new());
    let events = AtomicU64::new(0);
    for_each_seed(&seeds, threads, |seed| {
        let checked = check(seed);
        events.fetch_add(checked.events, Ordering::Relaxed);
        if checked.failed {
            failed.lock().unwrap_or_else(PoisonError::into_inner).push(seed);
        }
    });
    let failed = failed.into_inner().unwrap_or_else(PoisonError::into_inner);
    let (count, seconds) = (seeds.end - seeds.start, begin.elapsed().as_secs_f64());
    writeln!(
        std::io::stdout(),
        "{count} seeds, {} failed {failed:?}; {} events; {seconds:.1} s",
        failed.len(),
        events.into_inner()
    )?;
    Ok(failed.is_empty())
}

/// Runs seeds on so many threads, one if not said.
fn for_each_seed(seeds: &Range<u64>, threads: Option<usize>, run: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(seeds.start);
    std::thread::scope(|scope| {
        for _ in 0..threads.unwrap_or(1).max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    run(seed);
                }
            });
        }
    });
}

fn print(report: &Report, variant: Variant, whole: bool) {
    let mut out = std::io::stdout().lock();
    // A closed output ends the printing, not the runs.
    for line in &report.lines {
        let _ = writeln!(out, "{line}");
    }
    if whole {
        let _ = writeln!(out, "{report}");
    }
    if !report.violations.is_empty() {
        let variant = match variant {
            Variant::Correct => String::new(),
            broken => format!(" --variant {broken:?}"),
        };
        let seed = report.seed;
        let command = format!("corktack-sim run --seeds {seed}{variant} --trace");
        let _ = writeln!(out, "  replay: {command}");
    }
}

/// Reads `FIRST..END` or one seed.
fn parse_seeds(text: &str) -> Result<Range<u64>, CommandError> {
    let parsed = || match text.split_once("..") {
        Some((first, end)) => Some(first.parse().ok()?..end.parse().ok()?),
        None => text.parse::<u64>().ok().map(|seed| seed..seed.saturating_add(1)),
    };
    parsed().filter(|seeds| !seeds.is_empty()).ok_or_else(|| CommandError::Seeds(text.to_owned()))
}

/// The broken variant of that name, or the correct one where none is named.
fn variant<V: Copy + Debug>(
    name: Option<&str>,
    correct: V,
    broken: &[V],
) -> Result<V, CommandError> {
    let Some(name) = name else { return Ok(correct) };
    let known = || broken.iter().map(|variant| format!("{variant:?}")).collect();
    let found = broken.iter().copied().find(|variant| format!("{variant:?}") == name);
    found.ok_or_else(|| CommandError::UnknownVariant(name.to_owned(), known()))
}
