//! Counts failed requests by time, priority class, tenant and group, from log lines alone.
//!
//! Every failed request has a line (see [`crate::telemetry::lines`]). Successful requests are not counted,
//! since only a sample of them has lines. Lines that a process dropped are counted as missing.

use super::line::LogLine;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// Message of the line on the end of a request.
pub(super) const STATEMENT_ENDED: &str = "statement ended";
/// Outcome of a successful request.
const OUTCOME_DONE: &str = "Done";
/// Message of the line on a tenant whose limit is nearly used up.
const NEAR_LIMIT: &str = "tenant is near its limit";
/// Message of the line on dropped lines.
const LINES_DROPPED: &str = "log lines dropped";
/// Largest number of rows of a table, so that the table fits on a screen. The tables by tenant and by group
/// add up the remaining rows in one row.
pub(super) const MAX_ROWS_SHOWN: usize = 12;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Number of failed requests by outcome, or by `outcome/refusal` where the request was refused.
pub type FailureCounts = BTreeMap<String, u64>;

/// What the lines of control's leader report of a tenant that is near its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitedTenant {
    /// Number of lines about the tenant, at most one a second.
    pub lines: u64,
    /// Operations that may begin in a window, from the last line.
    pub limit: u64,
    /// Largest number of operations that gateways were allowed to begin.
    pub max_given: u64,
    /// Largest number of operations that were needed.
    pub max_needed: u64,
}

/// Counts of failed requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Failures by second of the time of day.
    pub seconds: BTreeMap<u64, FailureCounts>,
    /// Failures by priority class, of requests whose class is known.
    pub classes: BTreeMap<u64, FailureCounts>,
    /// Failures by tenant; requests without a tenant count under `-`.
    pub tenants: BTreeMap<String, FailureCounts>,
    /// Failures by group.
    pub groups: BTreeMap<String, FailureCounts>,
    /// Tenants near their limits, by name.
    pub limited: BTreeMap<String, LimitedTenant>,
    /// Number of lines that processes dropped: some failures are not counted.
    pub dropped: u64,
}

/// Counts the failed requests in the lines of any number of processes.
#[must_use]
pub fn summarize<'t>(lines: impl Iterator<Item = &'t str>) -> Summary {
    let mut summary = Summary::default();
    lines.filter_map(LogLine::parse).for_each(|line| summary.add(&line));
    summary
}

/// Returns the outcome of a failed request, with its refusal if any; `None` for a successful request.
pub(super) fn failure_of(line: &LogLine) -> Option<String> {
    let outcome = line.text_field("outcome").filter(|outcome| *outcome != OUTCOME_DONE)?;
    let refusal = line.text_field("refusal").filter(|refusal| !refusal.is_empty());
    Some(refusal.map_or_else(|| outcome.to_owned(), |reason| format!("{outcome}/{reason}")))
}

impl Summary {
    /// Adds a line to the counts.
    pub(super) fn add(&mut self, line: &LogLine) {
        match line.message.as_str() {
            STATEMENT_ENDED => self.add_failure(line),
            NEAR_LIMIT => self.add_limited_tenant(line),
            LINES_DROPPED => self.dropped += line.number_field("lines").unwrap_or(0),
            _ => (),
        }
    }

    fn add_failure(&mut self, line: &LogLine) {
        let Some(failure) = failure_of(line) else { return };
        let count = |counts: &mut FailureCounts| *counts.entry(failure.clone()).or_default() += 1;
        count(self.seconds.entry(line.time_ms / MILLIS_PER_SECOND).or_default());
        if let Some(priority) = line.fields.get("priority").and_then(Value::as_u64) {
            count(self.classes.entry(priority).or_default());
        }
        let tenant = line.text_field("tenant").unwrap_or("-");
        count(self.tenants.entry(tenant.to_owned()).or_default());
        let group = line.text_field("group").unwrap_or_default();
        count(self.groups.entry(group.to_owned()).or_default());
    }

    fn add_limited_tenant(&mut self, line: &LogLine) {
        let Some(name) = line.text_field("tenant") else { return };
        let tenant = self.limited.entry(name.to_owned()).or_default();
        tenant.lines += 1;
        tenant.limit = line.number_field("limit").unwrap_or(tenant.limit);
        tenant.max_given = tenant.max_given.max(line.number_field("given").unwrap_or(0));
        tenant.max_needed = tenant.max_needed.max(line.number_field("needed").unwrap_or(0));
    }
}

fn total(counts: &FailureCounts) -> u64 {
    counts.values().sum()
}

/// Formats counts of failures as one text.
pub(super) fn format_counts(counts: &FailureCounts) -> String {
    let parts: Vec<String> =
        counts.iter().map(|(failure, count)| format!("{failure} {count}")).collect();
    parts.join(", ")
}

/// Writes a row: a name, the total and the counts.
fn write_row(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    counts: &FailureCounts,
) -> fmt::Result {
    writeln!(formatter, "  {name:<24} {:>7}  {}", total(counts), format_counts(counts))
}

/// Writes the rows with the largest totals in descending order, and the sum of the others.
fn write_largest_rows(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    counts_by_name: &BTreeMap<String, FailureCounts>,
) -> fmt::Result {
    let mut rows: Vec<_> = counts_by_name.iter().collect();
    rows.sort_by_key(|(_, counts)| std::cmp::Reverse(total(counts)));
    writeln!(formatter, "{title} ({} with failures)", rows.len())?;
    for (name, counts) in rows.iter().take(MAX_ROWS_SHOWN) {
        write_row(formatter, name, counts)?;
    }
    let others: u64 = rows.iter().skip(MAX_ROWS_SHOWN).map(|(_, counts)| total(counts)).sum();
    if others > 0 {
        writeln!(formatter, "  {:<24} {others:>7}", "others")?;
    }
    Ok(())
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.dropped > 0 {
            writeln!(formatter, "{} log lines were dropped: not all is counted", self.dropped)?;
        }
        writeln!(formatter, "by second of the time of day")?;
        for (second, counts) in &self.seconds {
            write_row(formatter, &second.to_string(), counts)?;
        }
        writeln!(formatter, "by priority class (0 is served first)")?;
        for (priority, counts) in &self.classes {
            write_row(formatter, &priority.to_string(), counts)?;
        }
        write_largest_rows(formatter, "by tenant", &self.tenants)?;
        write_largest_rows(formatter, "by group", &self.groups)?;
        writeln!(formatter, "tenants near their limits ({})", self.limited.len())?;
        for (name, LimitedTenant { lines, limit, max_given, max_needed }) in &self.limited {
            writeln!(
                formatter,
                "  {name:<24} limit {limit}, given at most {max_given}, needed at most \
                 {max_needed}, told {lines} times"
            )?;
        }
        Ok(())
    }
}
