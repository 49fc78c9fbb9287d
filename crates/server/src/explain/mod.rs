//! From the id of a request to its cause, by log lines alone.
//!
//! Takes lines as processes write them (see [`crate::telemetry::lines`]), in any order and from any
//! number of processes, with or without something before the JSON. Gives the lines of the request
//! and those that tell what happened around it to its group, in order of time.

mod line;
pub mod losses;
mod report;
mod summary;
mod table;

pub use line::LogLine;
pub use report::{Report, report};
pub use summary::{Ends, LimitedTenant, Summary, summarize};

/// Why a request cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no line has the id {id:?}")]
pub struct UnknownRequest {
    /// The id.
    pub id: String,
}

/// The lines that explain the request of an id, in order of time.
///
/// # Errors
/// [`UnknownRequest`] when no line has the id: it succeeded and was not sampled, its line was
/// dropped (a line says how many were), or it reached no process.
pub fn explain<'t>(
    id: &str,
    lines: impl Iterator<Item = &'t str>,
) -> Result<Vec<LogLine>, UnknownRequest> {
    let lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    let requests: Vec<&LogLine> = lines.iter().filter(|it| it.text("id") == Some(id)).collect();
    if requests.is_empty() {
        return Err(UnknownRequest { id: id.to_owned() });
    }
    let wanted = |line: &&LogLine| {
        line.text("id") == Some(id) || requests.iter().any(|request| line.concerns(request))
    };
    let mut explained: Vec<LogLine> = lines.iter().filter(wanted).cloned().collect();
    explained.sort_by_key(|line| line.time_ms);
    Ok(explained)
}
