//! Reads a settings file, and what both roles do with its values.

use super::error::SettingsError;
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// Reads a file's text and parses it, without a check of the values.
pub(super) fn parse_file<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let read = std::fs::read_to_string(file);
    let text = read.map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
    parse(file, &text)
}

fn parse<T: DeserializeOwned>(file: &Path, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|error| {
        let (line, content) = locate(text, error.span());
        SettingsError::Form {
            file: file.to_owned(),
            line,
            text: content.to_owned(),
            reason: error.message().to_owned(),
        }
    })
}

/// Number and content of the line at which a span starts.
fn locate(text: &str, span: Option<Range<usize>>) -> (usize, &str) {
    let start = span.map_or(0, |span| span.start).min(text.len());
    let line = text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count();
    (line + 1, text.lines().nth(line).unwrap_or_default().trim())
}

/// A setting in milliseconds as a duration.
#[must_use]
pub fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

/// Puts a value given on the command line over the file's.
pub(super) fn replace<T>(value: &mut T, by: Option<T>) {
    if let Some(by) = by {
        *value = by;
    }
}
