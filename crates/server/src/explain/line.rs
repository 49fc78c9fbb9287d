//! Parsing of log lines, and the rule for which lines may explain what happened to a request.

use serde_json::{Map, Value};

/// Longest time before a request's end at which a line may explain it, in milliseconds. A lower value
/// misses causes of requests that waited, a higher one shows more unrelated lines.
const MAX_MS_BEFORE_END: u64 = 3_000;
/// Longest time after a request's end at which a line may explain it, in milliseconds. Other processes may
/// use another clock: the value bounds the clock difference that is tolerated.
const MAX_MS_AFTER_END: u64 = 1_000;
/// Messages of events that affect every group.
const GLOBAL_MESSAGES: [&str; 3] =
    ["role changed", "connection to control lost", "document in force"];

/// A log line of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Text before the JSON, for example the machine's name.
    pub source: String,
    /// Time of day at which the line was logged, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Text of the line's `message`.
    pub message: String,
    /// Keys and values other than `message` and `time_ms`.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns `None` when the text is not a log line of this project.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (source, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let message = fields.remove("message")?.as_str()?.to_owned();
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        Some(Self { source: source.trim().to_owned(), time_ms, message, fields })
    }

    /// Returns the value of a key, when it is an unsigned number.
    pub(super) fn number_field(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    /// Returns the value of a key, when it is a string.
    pub(super) fn text_field(&self, key: &str) -> Option<&str> {
        self.fields.get(key)?.as_str()
    }

    /// Reports whether the line may explain what happened to a request: it is not a request's own line, is
    /// near the request's end in time and is about the request's group or about all groups.
    pub(super) fn may_explain(&self, request: &Self) -> bool {
        let time = request.time_ms;
        let is_near = (time.saturating_sub(MAX_MS_BEFORE_END)..=time + MAX_MS_AFTER_END)
            .contains(&self.time_ms);
        let group = request.text_field("group").filter(|group| !group.is_empty());
        let has_same_group = group.is_some() && self.text_field("group") == group;
        let is_request = self.fields.contains_key("id");
        is_near
            && !is_request
            && (has_same_group || GLOBAL_MESSAGES.contains(&self.message.as_str()))
    }
}

impl std::fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {} {}", self.time_ms, self.source, self.message)?;
        let omitted_keys = ["level", "target", "up_ms"];
        for (key, value) in
            self.fields.iter().filter(|(key, _)| !omitted_keys.contains(&key.as_str()))
        {
            write!(formatter, " {key}={value}")?;
        }
        Ok(())
    }
}
