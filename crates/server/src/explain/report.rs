//! The report of `corktack explain --summary`: how many requests failed and why, then where they were lost.
//!
//! Both parts are counted in one pass over the lines.

use super::line::LogLine;
use super::losses::Losses;
use super::summary::Summary;
use std::fmt;

/// Failed requests, as the logs of processes report them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Counts of the failed requests by time, class, tenant and group.
    pub summary: Summary,
    /// Counts of the failed requests by window of time, process and member.
    pub losses: Losses,
}

/// Counts the lines of any number of processes. Each line comes with the name of its log, which names the
/// process where the line has no text before the JSON.
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
