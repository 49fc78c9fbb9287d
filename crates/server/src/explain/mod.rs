//! Explains from log lines alone why a request ended as it did.
//!
//! The input is lines as processes write them (see [`crate::telemetry::lines`]), in any order and from any
//! number of processes, with or without text before the JSON. The result is the lines of the request and
//! the lines about its group from around the same time, in order of time.

mod line;
pub mod losses;
mod report;
mod summary;
mod table;

pub use line::LogLine;
pub use report::{Report, report};
pub use summary::{FailureCounts, LimitedTenant, Summary, summarize};

/// Error for a request that no line mentions.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no line has the id {id:?}")]
pub struct UnknownRequest {
    /// Id of the request.
    pub id: String,
}

/// Returns the lines that explain the request with an id, in order of time.
///
/// # Errors
/// [`UnknownRequest`] when no line has the id: the request succeeded and was not sampled, its line was
/// dropped (a line reports how many were), or the request reached no process.
pub fn explain<'t>(
    id: &str,
    lines: impl Iterator<Item = &'t str>,
) -> Result<Vec<LogLine>, UnknownRequest> {
    let lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    let requests: Vec<&LogLine> =
        lines.iter().filter(|line| line.text_field("id") == Some(id)).collect();
    if requests.is_empty() {
        return Err(UnknownRequest { id: id.to_owned() });
    }
    let belongs = |line: &&LogLine| {
        line.text_field("id") == Some(id)
            || requests.iter().any(|request| line.may_explain(request))
    };
    let mut explained: Vec<LogLine> = lines.iter().filter(belongs).cloned().collect();
    explained.sort_by_key(|line| line.time_ms);
    Ok(explained)
}
