//! The whole summary of logs: how many failed and why, then where they were lost.
//!
//! It is for `corktack explain --summary`. It owns the order of the two and reads each line once.

use super::line::LogLine;
use super::losses::Losses;
use super::summary::Summary;
use std::fmt;

/// What the logs of processes tell of requests that failed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// How many failed, when, why and whose.
    pub summary: Summary,
    /// Where they were lost.
    pub losses: Losses,
}

/// Reads the lines of any number of processes, each with the name of the log that it stands in: it names the
/// process where nothing stands before the JSON of a line.
#[must_use]
pub fn report<'t>(lines: impl Iterator<Item = (&'t str, &'t str)>) -> Report {
    let mut report = Report::default();
    for (log, text) in lines {
        let Some(mut line) = LogLine::parse(text) else { continue };
        if line.source.is_empty() {
            log.clone_into(&mut line.source);
        }
        report.summary.add(&line);
        report.losses.add(&line);
    }
    report
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}", self.summary, self.losses)
    }
}
