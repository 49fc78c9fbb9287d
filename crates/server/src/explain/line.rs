//! A log line, read back, and which lines belong to what happened to a request.

use serde_json::{Map, Value};

/// How long before a request's end a line may be part of its cause, in milliseconds. Chosen, not measured; a
/// lower value misses causes of requests that waited, a higher one shows more that is none.
const BEFORE_MS: u64 = 3_000;
/// How long after it: lines of other processes may be stamped by another clock. Chosen, not measured; it bounds
/// the difference of clocks that is made up for.
const AFTER_MS: u64 = 1_000;
/// Messages that concern every group.
const ABOUT_ALL: [&str; 3] = ["role changed", "connection to control lost", "document in force"];

/// A line of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// What stood before the JSON: the machine, say.
    pub source: String,
    /// Its time of day, in milliseconds.
    pub time_ms: u64,
    /// Its message.
    pub message: String,
    /// Its other keys.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; none if it holds no line of this product's.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (source, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let message = fields.remove("message")?.as_str()?.to_owned();
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        Some(Self { source: source.trim().to_owned(), time_ms, message, fields })
    }

    /// A number among its keys.
    pub(super) fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    /// A text among its keys.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    /// Whether the line may be part of what happened to a request.
    pub(super) fn concerns(&self, request: &Self) -> bool {
        let time = request.time_ms;
        let near = (time.saturating_sub(BEFORE_MS)..=time + AFTER_MS).contains(&self.time_ms);
        let group = request.text("group").filter(|group| !group.is_empty());
        let same_group = group.is_some() && self.text("group") == group;
        let is_request = self.fields.contains_key("id");
        near && !is_request && (same_group || ABOUT_ALL.contains(&self.message.as_str()))
    }
}

impl std::fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {} {}", self.time_ms, self.source, self.message)?;
        let hidden = ["level", "target", "up_ms"];
        for (key, value) in self.fields.iter().filter(|(key, _)| !hidden.contains(&key.as_str())) {
            write!(formatter, " {key}={value}")?;
        }
        Ok(())
    }
}
