//! The tables of where requests are lost.
//!
//! It owns their headings, which rows are shown and in which order; the counts are those of [`super::counts`].

use super::counts::{Times, Window};
use super::{Losses, WINDOW_SECONDS};
use crate::explain::Ends;
use crate::explain::summary::{ROWS_SHOWN, ends_text};
use crate::explain::table::{Column, Table};
use std::collections::BTreeMap;
use std::fmt;

/// Windows that are shown, those in which most was lost. Chosen, not measured: two minutes of losses without a
/// gap; lower, the beginning of a long one may be missing, higher, nobody reads it.
const WINDOWS_SHOWN: usize = 60;
/// Callers that are told to come back later than that, in milliseconds, are counted by themselves: it is the
/// longest of the gateway's own times for them, and only a queue tells more. Chosen by that, not measured; lower,
/// it counts ordinary queues, higher, it misses callers that were sent away for long.
const LONG_RETRY_MS: u64 = 1_000;
/// Of the sums of times.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What the tables cannot show.
const NOT_COUNTED: &str = "not counted: requests that succeeded (only a sample has lines) with what they were \
                           offered in vain, and what a process had under way when it died";

const WINDOW: Column = Column::text("window");
const LOST: [Column; 8] = [
    WINDOW,
    Column::number("failed"),
    Column::number("refused"),
    Column::number("started"),
    Column::number("found"),
    Column::number("promoted"),
    Column::number("elected"),
    Column::text("failed and refused by reason"),
];
const OFFERED: [Column; 6] = [
    Column::number("lagging"),
    Column::number("full"),
    Column::number("not primary"),
    Column::number("silent"),
    Column::number("lost"),
    Column::number("other"),
];
const TAKEN: [Column; 6] = [
    Column::number("offered"),
    Column::number("median ms"),
    Column::number("sum s"),
    Column::number("not offered"),
    Column::number("median ms"),
    Column::number("sum s"),
];
const TOLD: [Column; 3] =
    [Column::number("told"), Column::number("median ms"), Column::number("over 1 s")];
const NOT_OPENED: [Column; 3] = [
    Column::number("refused as full"),
    Column::number("unreachable"),
    Column::number("other errors"),
];
const PROCESS: [Column; 8] = [
    Column::text("gateway"),
    Column::number("failed"),
    Column::number("refused"),
    Column::number("offered in vain"),
    NOT_OPENED[0],
    NOT_OPENED[1],
    NOT_OPENED[2],
    Column::number("started"),
];

impl fmt::Display for Losses {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let windows = self.shown();
        write!(formatter, "{}", self.lost(&windows))?;
        let left_out = self.windows.len() - windows.len();
        if left_out > 0 {
            writeln!(formatter, "  {left_out} windows in which less was lost are left out")?;
        }
        write!(formatter, "{}", offered(&windows))?;
        write!(formatter, "{}", told(&windows))?;
        write!(formatter, "{}", self.by_process())?;
        write!(formatter, "{}", self.by_member())?;
        writeln!(formatter, "{NOT_COUNTED}")
    }
}

impl Losses {
    /// The windows in which most was lost, in order of time.
    fn shown(&self) -> BTreeMap<u64, &Window> {
        let mut windows: Vec<_> = self.windows.iter().collect();
        windows.sort_by_key(|(_, window)| std::cmp::Reverse(window.lost()));
        windows.into_iter().take(WINDOWS_SHOWN).map(|(start, window)| (*start, window)).collect()
    }

    fn lost(&self, windows: &BTreeMap<u64, &Window>) -> Table {
        let title = format!(
            "where requests were lost, by windows of {WINDOW_SECONDS} s ({}), beside it gateways \
             started, primaries found and promoted, leaders elected",
            self.windows.len()
        );
        let mut table = Table::new(title, &LOST);
        for (start, window) in windows {
            let events = window.events;
            let numbers = [*start, sum(&window.failed), sum(&window.refused)];
            let events = [events.started, events.found, events.promoted, events.elected];
            let mut cells = texts(numbers.into_iter().chain(events));
            let parts = [&window.failed, &window.refused].map(ends_text);
            let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
            cells.push(parts.join(", "));
            table.row(cells);
        }
        table
    }

    fn by_process(&self) -> Table {
        let mut rows: Vec<_> = self.processes.iter().collect();
        rows.sort_by_key(|(_, it)| {
            std::cmp::Reverse((it.failed + it.refused, it.dials.total(), it.started))
        });
        let title = format!("by gateway (the most of {})", rows.len());
        let mut table = Table::new(title, &PROCESS);
        for (name, it) in rows.into_iter().take(ROWS_SHOWN) {
            let lost = [it.failed, it.refused, it.offers.total()];
            let numbers = lost.into_iter().chain(it.dials.all()).chain([it.started]);
            table.row(named(name, numbers));
        }
        table
    }

    fn by_member(&self) -> Table {
        let mut rows: Vec<_> = self.members.iter().collect();
        rows.sort_by_key(|(_, it)| std::cmp::Reverse(it.offers.total() + it.dials.total()));
        let title = format!(
            "by member: offered in vain, and connections to it (the most of {})",
            rows.len()
        );
        let columns = [&[Column::text("member")], &OFFERED[..], &NOT_OPENED].concat();
        let mut table = Table::new(title, &columns);
        for (name, it) in rows.into_iter().take(ROWS_SHOWN) {
            table.row(named(name, it.offers.all().into_iter().chain(it.dials.all())));
        }
        table
    }
}

fn offered(windows: &BTreeMap<u64, &Window>) -> Table {
    let title = "offered in vain by why, and time that refused requests took which were offered \
                 to a member and which were not";
    let columns = [&[WINDOW], &OFFERED[..], &TAKEN].concat();
    let mut table = Table::new(title.to_owned(), &columns);
    for (start, window) in windows {
        let mut cells = named(&start.to_string(), window.offers.all().into_iter());
        cells.extend(taken(&window.refused_offered));
        cells.extend(taken(&window.refused_not_offered));
        table.row(cells);
    }
    table
}

fn told(windows: &BTreeMap<u64, &Window>) -> Table {
    let title = "callers told when to come back, and connections to members";
    let columns = [&[WINDOW], &TOLD[..], &NOT_OPENED].concat();
    let mut table = Table::new(title.to_owned(), &columns);
    for (start, window) in windows {
        let times = &window.retry_after;
        let mut cells = vec![start.to_string(), times.count().to_string(), median(times)];
        cells.push(times.beyond(LONG_RETRY_MS).to_string());
        cells.extend(texts(window.dials.all().into_iter()));
        table.row(cells);
    }
    table
}

/// How many, their median and their sum.
fn taken(times: &Times) -> [String; 3] {
    let seconds = times.sum_ms() as f64 / MILLIS_PER_SECOND;
    [times.count().to_string(), median(times), format!("{seconds:.1}")]
}

fn median(times: &Times) -> String {
    times.median_ms().map_or_else(|| "-".to_owned(), |millis| millis.to_string())
}

fn sum(ends: &Ends) -> u64 {
    ends.values().sum()
}

fn texts(numbers: impl Iterator<Item = u64>) -> Vec<String> {
    numbers.map(|number| number.to_string()).collect()
}

fn named(name: &str, numbers: impl Iterator<Item = u64>) -> Vec<String> {
    [name.to_owned()].into_iter().chain(texts(numbers)).collect()
}
