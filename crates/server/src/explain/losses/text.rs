//! Formats the counts of lost requests as tables.
//!
//! This module defines the tables' headings, and which rows are shown in which order; the counts are in
//! [`super::counts`].

use super::counts::{Durations, Window};
use super::{Losses, WINDOW_SECONDS};
use crate::explain::FailureCounts;
use crate::explain::summary::{MAX_ROWS_SHOWN, format_counts};
use crate::explain::table::{Column, Table};
use std::collections::BTreeMap;
use std::fmt;

/// Largest number of windows that are shown, those with the most lost requests: enough for two minutes of
/// uninterrupted losses. With a lower value the start of a long failure may be missing; a higher one gives
/// more rows than anyone reads.
const MAX_WINDOWS_SHOWN: usize = 60;
/// Retry delays above this value, in milliseconds, are counted separately. The value is the longest delay
/// that the gateway sets by itself; only a queue gives longer ones. A lower value counts ordinary queues, a
/// higher one misses callers that were turned away for long.
const LONG_RETRY_AFTER_MS: u64 = 1_000;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Note under the tables on what they don't count.
const FOOTNOTE: &str = "not counted: requests that succeeded (only a sample has lines) with what they were \
                           offered in vain, and what a process had under way when it died";

const WINDOW_COLUMN: Column = Column::text("window");
const LOSS_COLUMNS: [Column; 8] = [
    WINDOW_COLUMN,
    Column::numeric("failed"),
    Column::numeric("refused"),
    Column::numeric("started"),
    Column::numeric("found"),
    Column::numeric("promoted"),
    Column::numeric("elected"),
    Column::text("failed and refused by reason"),
];
const ATTEMPT_COLUMNS: [Column; 6] = [
    Column::numeric("lagging"),
    Column::numeric("full"),
    Column::numeric("not primary"),
    Column::numeric("silent"),
    Column::numeric("lost"),
    Column::numeric("other"),
];
const DURATION_COLUMNS: [Column; 6] = [
    Column::numeric("offered"),
    Column::numeric("median ms"),
    Column::numeric("sum s"),
    Column::numeric("not offered"),
    Column::numeric("median ms"),
    Column::numeric("sum s"),
];
const RETRY_AFTER_COLUMNS: [Column; 3] =
    [Column::numeric("told"), Column::numeric("median ms"), Column::numeric("over 1 s")];
const CONNECT_COLUMNS: [Column; 3] = [
    Column::numeric("refused as full"),
    Column::numeric("unreachable"),
    Column::numeric("other errors"),
];
const PROCESS_COLUMNS: [Column; 8] = [
    Column::text("gateway"),
    Column::numeric("failed"),
    Column::numeric("refused"),
    Column::numeric("offered in vain"),
    CONNECT_COLUMNS[0],
    CONNECT_COLUMNS[1],
    CONNECT_COLUMNS[2],
    Column::numeric("started"),
];

impl fmt::Display for Losses {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let windows = self.windows_shown();
        write!(formatter, "{}", self.loss_table(&windows))?;
        let omitted = self.windows.len() - windows.len();
        if omitted > 0 {
            writeln!(formatter, "  {omitted} windows in which less was lost are left out")?;
        }
        write!(formatter, "{}", attempt_table(&windows))?;
        write!(formatter, "{}", retry_after_table(&windows))?;
        write!(formatter, "{}", self.process_table())?;
        write!(formatter, "{}", self.member_table())?;
        writeln!(formatter, "{FOOTNOTE}")
    }
}

impl Losses {
    /// Returns the windows with the most lost requests, in order of time.
    fn windows_shown(&self) -> BTreeMap<u64, &Window> {
        let mut windows: Vec<_> = self.windows.iter().collect();
        windows.sort_by_key(|(_, window)| std::cmp::Reverse(window.lost()));
        windows
            .into_iter()
            .take(MAX_WINDOWS_SHOWN)
            .map(|(start, window)| (*start, window))
            .collect()
    }

    fn loss_table(&self, windows: &BTreeMap<u64, &Window>) -> Table {
        let title = format!(
            "where requests were lost, by windows of {WINDOW_SECONDS} s ({}), beside it gateways \
             started, primaries found and promoted, leaders elected",
            self.windows.len()
        );
        let mut table = Table::new(title, &LOSS_COLUMNS);
        for (start, window) in windows {
            let events = window.events;
            let numbers = [*start, total(&window.failed), total(&window.refused)];
            let events = [
                events.gateways_started,
                events.primaries_found,
                events.members_promoted,
                events.leaders_elected,
            ];
            let mut cells = number_cells(numbers.into_iter().chain(events));
            let parts = [&window.failed, &window.refused].map(format_counts);
            let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
            cells.push(parts.join(", "));
            table.add_row(cells);
        }
        table
    }

    fn process_table(&self) -> Table {
        let mut rows: Vec<_> = self.processes.iter().collect();
        rows.sort_by_key(|(_, process)| {
            std::cmp::Reverse((
                process.failed + process.refused,
                process.failed_connects.total(),
                process.gateway_starts,
            ))
        });
        let title = format!("by gateway (the most of {})", rows.len());
        let mut table = Table::new(title, &PROCESS_COLUMNS);
        for (name, process) in rows.into_iter().take(MAX_ROWS_SHOWN) {
            let lost = [process.failed, process.refused, process.failed_attempts.total()];
            let numbers = lost
                .into_iter()
                .chain(process.failed_connects.all())
                .chain([process.gateway_starts]);
            table.add_row(named_row(name, numbers));
        }
        table
    }

    fn member_table(&self) -> Table {
        let mut rows: Vec<_> = self.members.iter().collect();
        rows.sort_by_key(|(_, member)| {
            std::cmp::Reverse(member.failed_attempts.total() + member.failed_connects.total())
        });
        let title = format!(
            "by member: offered in vain, and connections to it (the most of {})",
            rows.len()
        );
        let columns = [&[Column::text("member")], &ATTEMPT_COLUMNS[..], &CONNECT_COLUMNS].concat();
        let mut table = Table::new(title, &columns);
        for (name, member) in rows.into_iter().take(MAX_ROWS_SHOWN) {
            table.add_row(named_row(
                name,
                member.failed_attempts.all().into_iter().chain(member.failed_connects.all()),
            ));
        }
        table
    }
}

fn attempt_table(windows: &BTreeMap<u64, &Window>) -> Table {
    let title = "offered in vain by why, and time that refused requests took which were offered \
                 to a member and which were not";
    let columns = [&[WINDOW_COLUMN], &ATTEMPT_COLUMNS[..], &DURATION_COLUMNS].concat();
    let mut table = Table::new(title.to_owned(), &columns);
    for (start, window) in windows {
        let mut cells = named_row(&start.to_string(), window.failed_attempts.all().into_iter());
        cells.extend(duration_cells(&window.refused_after_attempts));
        cells.extend(duration_cells(&window.refused_without_attempts));
        table.add_row(cells);
    }
    table
}

fn retry_after_table(windows: &BTreeMap<u64, &Window>) -> Table {
    let title = "callers told when to come back, and connections to members";
    let columns = [&[WINDOW_COLUMN], &RETRY_AFTER_COLUMNS[..], &CONNECT_COLUMNS].concat();
    let mut table = Table::new(title.to_owned(), &columns);
    for (start, window) in windows {
        let durations = &window.retry_after;
        let mut cells =
            vec![start.to_string(), durations.count().to_string(), median_cell(durations)];
        cells.push(durations.count_above(LONG_RETRY_AFTER_MS).to_string());
        cells.extend(number_cells(window.failed_connects.all().into_iter()));
        table.add_row(cells);
    }
    table
}

/// Returns the cells for the number of durations, their median and their sum in seconds.
fn duration_cells(durations: &Durations) -> [String; 3] {
    let seconds = durations.sum_ms() as f64 / MILLIS_PER_SECOND;
    [durations.count().to_string(), median_cell(durations), format!("{seconds:.1}")]
}

fn median_cell(durations: &Durations) -> String {
    durations.median_ms().map_or_else(|| "-".to_owned(), |millis| millis.to_string())
}

fn total(counts: &FailureCounts) -> u64 {
    counts.values().sum()
}

fn number_cells(numbers: impl Iterator<Item = u64>) -> Vec<String> {
    numbers.map(|number| number.to_string()).collect()
}

fn named_row(name: &str, numbers: impl Iterator<Item = u64>) -> Vec<String> {
    [name.to_owned()].into_iter().chain(number_cells(numbers)).collect()
}
