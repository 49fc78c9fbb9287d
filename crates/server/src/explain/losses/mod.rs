//! Counts lost requests by window of time, process and member, from log lines alone.
//!
//! The counts help an operator to find the cause of failures. [`Attempt`] and [`ConnectFailure`] parse the
//! texts within the lines. Successful requests and their failed attempts are not counted, since only a
//! sample of them has lines. A process that crashes writes no lines for its requests in flight.

mod attempt;
mod counts;
mod text;

pub use attempt::{Attempt, AttemptFailure, ConnectFailure};
pub use counts::{
    Durations, Events, FailedAttempts, FailedConnects, MemberLosses, ProcessLosses, Window,
};

use super::line::LogLine;
use super::summary::{STATEMENT_ENDED, failure_of};
use std::collections::BTreeMap;

/// Length of a window, in seconds. A primary is replaced within about a second, so that a loss and its
/// consequences are in one row or in two. A lower value gives more rows than a reader can survey; a higher
/// one puts losses before and after an event into one row.
pub const WINDOW_SECONDS: u64 = 2;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Prefix of the reason of a request that did not run.
const NOT_RUN_PREFIX: &str = "not run: ";
/// Text before the delay after which the caller should retry, in milliseconds.
const RETRY_AFTER_KEY: &str = "retry_after_ms=";
/// Message of a gateway that could not open a connection to a member.
const NOT_CONNECTED: &str = "member cannot be connected to";
/// Message of a gateway at its start.
const GATEWAY_STARTS: &str = "gateway starts";
/// Message of a gateway that learns which member is the primary.
const PRIMARY_FOUND: &str = "primary found";
/// Message of control's leader when a promotion is complete.
const MEMBER_LEADS: &str = "member leads";
/// Message of a control replica whose role, term or leader changed.
const ROLE_CHANGED: &str = "role changed";
/// Role of a control replica that was elected.
const ROLE_LEADER: &str = "Leader";

/// Counts of lost requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Counts by window; the key is the window's first second of the time of day.
    pub windows: BTreeMap<u64, Window>,
    /// Counts by process, of processes that lost requests or started as a gateway.
    pub processes: BTreeMap<String, ProcessLosses>,
    /// Counts by member, of members with failed attempts or connections.
    pub members: BTreeMap<String, MemberLosses>,
}

impl Losses {
    /// Adds a line to the counts.
    pub(super) fn add(&mut self, line: &LogLine) {
        match line.message.as_str() {
            STATEMENT_ENDED => self.add_failure(line),
            NOT_CONNECTED => self.add_failed_connect(line),
            GATEWAY_STARTS => {
                self.window(line).events.gateways_started += 1;
                self.process(line).gateway_starts += 1;
            }
            PRIMARY_FOUND => self.window(line).events.primaries_found += 1,
            MEMBER_LEADS => self.window(line).events.members_promoted += 1,
            ROLE_CHANGED if line.text_field("role") == Some(ROLE_LEADER) => {
                self.window(line).events.leaders_elected += 1;
            }
            _ => (),
        }
    }

    fn add_failure(&mut self, line: &LogLine) {
        let Some(failure) = failure_of(line) else { return };
        let why = line.text_field("why").unwrap_or_default();
        let attempts = Attempt::parse_list(line.text_field("attempts").unwrap_or_default());
        if why.starts_with(NOT_RUN_PREFIX) {
            self.process(line).refused += 1;
            let window = self.window(line);
            *window.refused.entry(failure).or_default() += 1;
            window.add_refused_durations(line, why, !attempts.is_empty());
        } else {
            self.process(line).failed += 1;
            *self.window(line).failed.entry(failure).or_default() += 1;
        }
        for Attempt { kind, member } in attempts {
            self.window(line).failed_attempts.add(kind);
            self.process(line).failed_attempts.add(kind);
            self.member(member.as_deref()).failed_attempts.add(kind);
        }
    }

    fn add_failed_connect(&mut self, line: &LogLine) {
        let kind = ConnectFailure::parse(line.text_field("error").unwrap_or_default());
        self.window(line).failed_connects.add(kind);
        self.process(line).failed_connects.add(kind);
        self.member(line.text_field("member")).failed_connects.add(kind);
    }

    fn window(&mut self, line: &LogLine) -> &mut Window {
        let second = line.time_ms / MILLIS_PER_SECOND;
        self.windows.entry(second - second % WINDOW_SECONDS).or_default()
    }

    /// Returns the counts of the line's process, which the last word before the JSON names.
    fn process(&mut self, line: &LogLine) -> &mut ProcessLosses {
        let name = line.source.split_whitespace().last().unwrap_or("-");
        self.processes.entry(name.to_owned()).or_default()
    }

    fn member(&mut self, name: Option<&str>) -> &mut MemberLosses {
        self.members.entry(name.unwrap_or("-").to_owned()).or_default()
    }
}

impl Window {
    fn add_refused_durations(&mut self, line: &LogLine, why: &str, has_attempts: bool) {
        let duration = line.number_field("after_ms");
        let durations = if has_attempts {
            &mut self.refused_after_attempts
        } else {
            &mut self.refused_without_attempts
        };
        duration.into_iter().for_each(|millis| durations.add(millis));
        let retry_after =
            why.rsplit_once(RETRY_AFTER_KEY).and_then(|(_, millis)| millis.parse().ok());
        retry_after.into_iter().for_each(|millis| self.retry_after.add(millis));
    }
}
