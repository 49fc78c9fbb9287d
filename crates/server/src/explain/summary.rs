//! How many requests failed, when, why and whose, by log lines alone.
//!
//! Every request that failed has a line (see [`crate::telemetry::lines`]); of those that succeeded only a
//! sample has, so that these are not counted. Lines that a process dropped are counted as missing.

use super::line::LogLine;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// Message of the line that tells how a request ended.
pub(super) const ENDED: &str = "statement ended";
/// Outcome of a request that succeeded.
const DONE: &str = "Done";
/// Message of the line that tells of a tenant whose limit is nearly used.
const NEAR_LIMIT: &str = "tenant is near its limit";
/// Message of the line that tells of lines that were dropped.
const DROPPED: &str = "log lines dropped";
/// Rows of a table that are shown; the rest is summed in one. Chosen, not measured; a table should fit a screen.
pub(super) const ROWS_SHOWN: usize = 12;
/// Of the lines' times.
const MILLIS_PER_SECOND: u64 = 1_000;

/// How a request ended that failed: its outcome, with the reason where it was refused.
pub type Ends = BTreeMap<String, u64>;

/// What the lines of control's leader hold of a tenant that comes near its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitedTenant {
    /// Lines about it, at most one a second.
    pub lines: u64,
    /// Operations that may begin in a window, as the last line has it.
    pub limit: u64,
    /// The most that gateways could let begin of them.
    pub most_given: u64,
    /// The most that was needed of them.
    pub most_needed: u64,
}

/// Requests that failed, counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// By second of the time of day.
    pub seconds: BTreeMap<u64, Ends>,
    /// By priority class, where one is known.
    pub classes: BTreeMap<u64, Ends>,
    /// By tenant; those without one count as `-`.
    pub tenants: BTreeMap<String, Ends>,
    /// By group.
    pub groups: BTreeMap<String, Ends>,
    /// Tenants near their limits.
    pub limited: BTreeMap<String, LimitedTenant>,
    /// Lines that processes dropped: some of what failed is not counted.
    pub dropped: u64,
}

/// Counts the requests that failed, from the lines of any number of processes.
#[must_use]
pub fn summarize<'t>(lines: impl Iterator<Item = &'t str>) -> Summary {
    let mut summary = Summary::default();
    lines.filter_map(LogLine::parse).for_each(|line| summary.add(&line));
    summary
}

/// How a request ended that failed; none where it succeeded.
pub(super) fn end_of(line: &LogLine) -> Option<String> {
    let outcome = line.text("outcome").filter(|outcome| *outcome != DONE)?;
    let refusal = line.text("refusal").filter(|refusal| !refusal.is_empty());
    Some(refusal.map_or_else(|| outcome.to_owned(), |why| format!("{outcome}/{why}")))
}

impl Summary {
    /// Counts a line.
    pub(super) fn add(&mut self, line: &LogLine) {
        match line.message.as_str() {
            ENDED => self.add_end(line),
            NEAR_LIMIT => self.add_limited(line),
            DROPPED => self.dropped += line.number("lines").unwrap_or(0),
            _ => (),
        }
    }

    fn add_end(&mut self, line: &LogLine) {
        let Some(end) = end_of(line) else { return };
        let count = |ends: &mut Ends| *ends.entry(end.clone()).or_default() += 1;
        count(self.seconds.entry(line.time_ms / MILLIS_PER_SECOND).or_default());
        if let Some(priority) = line.fields.get("priority").and_then(Value::as_u64) {
            count(self.classes.entry(priority).or_default());
        }
        let tenant = line.text("tenant").unwrap_or("-");
        count(self.tenants.entry(tenant.to_owned()).or_default());
        let group = line.text("group").unwrap_or_default();
        count(self.groups.entry(group.to_owned()).or_default());
    }

    fn add_limited(&mut self, line: &LogLine) {
        let Some(name) = line.text("tenant") else { return };
        let tenant = self.limited.entry(name.to_owned()).or_default();
        tenant.lines += 1;
        tenant.limit = line.number("limit").unwrap_or(tenant.limit);
        tenant.most_given = tenant.most_given.max(line.number("given").unwrap_or(0));
        tenant.most_needed = tenant.most_needed.max(line.number("needed").unwrap_or(0));
    }
}

fn total(ends: &Ends) -> u64 {
    ends.values().sum()
}

/// How requests ended, each way with how many.
pub(super) fn ends_text(ends: &Ends) -> String {
    let parts: Vec<String> = ends.iter().map(|(end, count)| format!("{end} {count}")).collect();
    parts.join(", ")
}

/// One line: a name, how many, and how they ended.
fn write_row(formatter: &mut fmt::Formatter<'_>, name: &str, ends: &Ends) -> fmt::Result {
    writeln!(formatter, "  {name:<24} {:>7}  {}", total(ends), ends_text(ends))
}

/// The rows with most, the most first.
fn write_most(
    formatter: &mut fmt::Formatter<'_>,
    title: &str,
    counted: &BTreeMap<String, Ends>,
) -> fmt::Result {
    let mut rows: Vec<_> = counted.iter().collect();
    rows.sort_by_key(|(_, ends)| std::cmp::Reverse(total(ends)));
    writeln!(formatter, "{title} ({} with failures)", rows.len())?;
    for (name, ends) in rows.iter().take(ROWS_SHOWN) {
        write_row(formatter, name, ends)?;
    }
    let others: u64 = rows.iter().skip(ROWS_SHOWN).map(|(_, ends)| total(ends)).sum();
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
        for (second, ends) in &self.seconds {
            write_row(formatter, &second.to_string(), ends)?;
        }
        writeln!(formatter, "by priority class (0 is served first)")?;
        for (priority, ends) in &self.classes {
            write_row(formatter, &priority.to_string(), ends)?;
        }
        write_most(formatter, "by tenant", &self.tenants)?;
        write_most(formatter, "by group", &self.groups)?;
        writeln!(formatter, "tenants near their limits ({})", self.limited.len())?;
        for (name, LimitedTenant { lines, limit, most_given, most_needed }) in &self.limited {
            writeln!(
                formatter,
                "  {name:<24} limit {limit}, given at most {most_given}, needed at most \
                 {most_needed}, told {lines} times"
            )?;
        }
        Ok(())
    }
}
