//! Runs many seeds, and tells how to repeat one that failed.

use crate::CommandError;
use crate::flags::Run;
use corktack_sim::run::{Report, Variant, run as run_seed, run_traced};
use std::io::Write;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Sums over the seeds run.
#[derive(Debug, Default)]
struct Totals {
    events: u64,
    virtual_micros: u64,
    writes: u64,
    reads: u64,
    changes: u64,
    failed: Vec<u64>,
}

/// Runs the seeds; tells whether all passed.
pub fn run(flags: &Run) -> eyre::Result<bool> {
    let seeds = parse_seeds(&flags.seeds)?;
    let variant = parse_variant(flags.variant.as_deref())?;
    let begin = Instant::now();
    let totals = Mutex::new(Totals::default());
    for_each_seed(&seeds, flags.threads, |seed| {
        let report = if flags.trace { run_traced(seed, variant) } else { run_seed(seed, variant) };
        let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.add(&report);
        print(flags, &report, variant);
    });
    let totals = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    writeln!(
        std::io::stdout(),
        "{} seeds, {} failed {:?}; {} events, {} virtual s, {} writes, {} reads, {} changes; {:.1} s",
        seeds.end - seeds.start,
        totals.failed.len(),
        totals.failed,
        totals.events,
        totals.virtual_micros / 1_000_000,
        totals.writes,
        totals.reads,
        totals.changes,
        begin.elapsed().as_secs_f64()
    )?;
    Ok(totals.failed.is_empty())
}

/// Runs seeds on so many threads, one if not said.
pub fn for_each_seed(seeds: &Range<u64>, threads: Option<usize>, run: impl Fn(u64) + Sync) {
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

impl Totals {
    fn add(&mut self, report: &Report) {
        self.events += report.events;
        self.virtual_micros += report.length;
        self.writes += report.counts.writes;
        self.reads += report.counts.reads;
        self.changes += report.counts.changes;
        if !report.violations.is_empty() {
            self.failed.push(report.seed);
        }
    }
}

fn print(flags: &Run, report: &Report, variant: Variant) {
    let mut out = std::io::stdout().lock();
    let failed = !report.violations.is_empty();
    // A closed output ends the printing, not the runs.
    for line in &report.lines {
        let _ = writeln!(out, "{line}");
    }
    if failed || flags.verbose {
        let _ = writeln!(out, "{report}");
    }
    if failed {
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
pub fn parse_seeds(text: &str) -> Result<Range<u64>, CommandError> {
    let parsed = || match text.split_once("..") {
        Some((first, end)) => Some(first.parse().ok()?..end.parse().ok()?),
        None => text.parse::<u64>().ok().map(|seed| seed..seed.saturating_add(1)),
    };
    parsed().filter(|seeds| !seeds.is_empty()).ok_or_else(|| CommandError::Seeds(text.to_owned()))
}

fn parse_variant(name: Option<&str>) -> Result<Variant, CommandError> {
    let Some(name) = name else { return Ok(Variant::Correct) };
    let known = || Variant::BROKEN.iter().map(|variant| format!("{variant:?}"));
    let found = Variant::BROKEN.into_iter().find(|variant| format!("{variant:?}") == name);
    found.ok_or_else(|| CommandError::UnknownVariant(name.to_owned(), known().collect()))
}
