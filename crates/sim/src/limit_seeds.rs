//! Runs many seeds of the limits, and tells how to repeat one that failed.

use crate::CommandError;
use crate::flags::Limits;
use crate::seeds::{for_each_seed, parse_seeds};
use corktack_sim::limits::{LimitsReport, LimitsVariant, run as run_seed};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Sums over the seeds run.
#[derive(Debug, Default)]
struct Totals {
    begun: u64,
    refused: u64,
    restarts: u64,
    elections: u64,
    fullest: f64,
    failed: Vec<u64>,
}

impl Totals {
    fn add(&mut self, report: &LimitsReport) {
        self.begun += report.counts.begun;
        self.refused += report.counts.refused;
        self.restarts += report.counts.restarts;
        self.elections += report.counts.elections;
        self.fullest = self.fullest.max(report.highest_part);
        if report.exceeded.is_some() {
            self.failed.push(report.seed);
        }
    }
}

/// Runs the seeds; tells whether all passed.
pub fn run(flags: &Limits) -> eyre::Result<bool> {
    let seeds = parse_seeds(&flags.seeds)?;
    let variant = parse_variant(flags.variant.as_deref())?;
    let begin = Instant::now();
    let totals = Mutex::new(Totals::default());
    for_each_seed(&seeds, flags.threads, |seed| {
        let report = run_seed(seed, variant);
        let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.add(&report);
        if flags.verbose || report.exceeded.is_some() {
            // A closed output ends the printing, not the runs.
            let _ = writeln!(std::io::stdout(), "{report}");
        }
    });
    let Totals { begun, refused, restarts, elections, fullest, failed } =
        totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    writeln!(
        std::io::stdout(),
        "{} seeds, {} failed {failed:?}; {begun} operations begun, {refused} refused, \
         {restarts} restarts, {elections} elections, fullest window {fullest:.3} of its limit; {:.1} s",
        seeds.end - seeds.start,
        failed.len(),
        begin.elapsed().as_secs_f64()
    )?;
    Ok(failed.is_empty())
}

fn parse_variant(name: Option<&str>) -> Result<LimitsVariant, CommandError> {
    let Some(name) = name else { return Ok(LimitsVariant::Correct) };
    let known = || LimitsVariant::BROKEN.iter().map(|variant| format!("{variant:?}"));
    let found = LimitsVariant::BROKEN.into_iter().find(|variant| format!("{variant:?}") == name);
    found.ok_or_else(|| CommandError::UnknownVariant(name.to_owned(), known().collect()))
}
