//! Reads and parses a settings file, and has the conversions and overrides of values that both roles share.

use super::error::SettingsError;
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// Reads and parses a settings file; the values are not checked.
pub(super) fn parse_file<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let read_result = std::fs::read_to_string(file);
    let text =
        read_result.map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
    parse(file, &text)
}

fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|error| {
        let (line, content) = locate_line(text, error.span());
        SettingsError::Form {
            file: file.to_owned(),
            line,
            text: content.to_owned(),
            reason: error.message().to_owned(),
        }
    })
}

/// Returns the number, from 1, and the trimmed content of the line in which a span starts.
fn locate_line(text: &str, span: Option<Range<usize>>) -> (usize, &str) {
    let start = span.map_or(0, |span| span.start).min(text.len());
    let line_index = text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count();
    (line_index + 1, text.lines().nth(line_index).unwrap_or_default().trim())
}

/// Converts a setting in milliseconds to a duration.
#[must_use]
pub fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

/// Replaces the file's value by the one given on the command line, if there is one.
pub(super) fn apply_override<T>(value: &mut T, replacement: Option<T>) {
    if let Some(replacement) = replacement {
        *value = replacement;
    }
}
