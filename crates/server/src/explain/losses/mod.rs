//! Where requests are lost: by windows of time, by process and by member, by log lines alone.
//!
//! It is for an operator who looks for the cause of failures. It owns which lines count as what; it relies on
//! [`Attempt`] and [`DialKind`] for the texts in them. Of requests that succeeded only a sample has lines: they
//! are not counted, nor what they were offered in vain. A process that dies writes no line for what it had under
//! way.

mod attempt;
mod counts;
mod text;

pub use attempt::{Attempt, AttemptKind, DialKind};
pub use counts::{Dials, Events, MemberLosses, Offers, ProcessLosses, Times, Window};

use super::line::LogLine;
use super::summary::{ENDED, end_of};
use std::collections::BTreeMap;

/// Length of a window, in seconds. Chosen, not measured: a primary is replaced within about a second, so that a
/// loss and what it caused stand in one row or in two. Lower, there are more rows than can be overlooked; higher,
/// what is lost before and after an event stands in one row.
pub const WINDOW_SECONDS: u64 = 2;
/// Of the lines' times.
const MILLIS_PER_SECOND: u64 = 1_000;
/// What the reason begins with where a request did not run.
const NOT_RUN: &str = "not run: ";
/// What stands before the time after which a caller should come back, in milliseconds.
const RETRY_AFTER: &str = "retry_after_ms=";
/// Message of a gateway that could not open a connection to a member.
const NOT_CONNECTED: &str = "member cannot be connected to";
/// Message of a gateway at its start.
const GATEWAY_STARTS: &str = "gateway starts";
/// Message of a gateway that learns of a primary.
const PRIMARY_FOUND: &str = "primary found";
/// Message of control's leader when a promotion is done.
const PROMOTED: &str = "member leads";
/// Message of a control replica whose role, term or leader changed.
const ROLE_CHANGED: &str = "role changed";
/// Its role once it is elected.
const LEADER: &str = "Leader";

/// Where requests were lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// By the first second of the window, of the time of day.
    pub windows: BTreeMap<u64, Window>,
    /// By process, of those that lost something or started as a gateway.
    pub processes: BTreeMap<String, ProcessLosses>,
    /// By member that was asked in vain.
    pub members: BTreeMap<String, MemberLosses>,
}

impl Losses {
    /// Counts a line.
    pub(super) fn add(&mut self, line: &LogLine) {
        match line.message.as_str() {
            ENDED => self.add_end(line),
            NOT_CONNECTED => self.add_dial(line),
            GATEWAY_STARTS => {
                self.window(line).events.started += 1;
                self.process(line).started += 1;
            }
            PRIMARY_FOUND => self.window(line).events.found += 1,
            PROMOTED => self.window(line).events.promoted += 1,
            ROLE_CHANGED if line.text("role") == Some(LEADER) => {
                self.window(line).events.elected += 1;
            }
            _ => (),
        }
    }

    fn add_end(&mut self, line: &LogLine) {
        let Some(end) = end_of(line) else { return };
        let why = line.text("why").unwrap_or_default();
        let attempts = Attempt::list(line.text("attempts").unwrap_or_default());
        if why.starts_with(NOT_RUN) {
            self.process(line).refused += 1;
            let window = self.window(line);
            *window.refused.entry(end).or_default() += 1;
            window.add_refused_times(line, why, !attempts.is_empty());
        } else {
            self.process(line).failed += 1;
            *self.window(line).failed.entry(end).or_default() += 1;
        }
        for Attempt { kind, member } in attempts {
            self.window(line).offers.add(kind);
            self.process(line).offers.add(kind);
            self.member(member.as_deref()).offers.add(kind);
        }
    }

    fn add_dial(&mut self, line: &LogLine) {
        let kind = DialKind::read(line.text("error").unwrap_or_default());
        self.window(line).dials.add(kind);
        self.process(line).dials.add(kind);
        self.member(line.text("member")).dials.add(kind);
    }

    fn window(&mut self, line: &LogLine) -> &mut Window {
        let second = line.time_ms / MILLIS_PER_SECOND;
        self.windows.entry(second - second % WINDOW_SECONDS).or_default()
    }

    /// The last word before the JSON names the process.
    fn process(&mut self, line: &LogLine) -> &mut ProcessLosses {
        let name = line.source.split_whitespace().last().unwrap_or("-");
        self.processes.entry(name.to_owned()).or_default()
    }

    fn member(&mut self, name: Option<&str>) -> &mut MemberLosses {
        self.members.entry(name.unwrap_or("-").to_owned()).or_default()
    }
}

impl Window {
    fn add_refused_times(&mut self, line: &LogLine, why: &str, offered: bool) {
        let taken = line.number("after_ms");
        let times = if offered { &mut self.refused_offered } else { &mut self.refused_not_offered };
        taken.into_iter().for_each(|millis| times.add(millis));
        let told = why.rsplit_once(RETRY_AFTER).and_then(|(_, millis)| millis.parse().ok());
        told.into_iter().for_each(|millis| self.retry_after.add(millis));
    }
}
