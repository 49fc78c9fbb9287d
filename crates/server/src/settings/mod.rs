//! Settings files: TOML, one form a role, unknown keys refused, values checked at start.

pub mod control;
mod error;
pub mod failover;
pub mod proxy;

pub use control::{ControlOverrides, ControlSettings};
pub use error::{SettingsError, SettingsValueError, ValueProblem};
pub use failover::FailoverTimes;
pub use proxy::{ProxyOverrides, ProxySettings};

use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// Largest time-out, in milliseconds.
const TIMEOUT_MAXIMUM_MS: u64 = 3_600_000;

/// Reads a file's text and parses it, without a check of the values.
fn parse_file<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
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

/// Keys that only a control replica's file has.
const CONTROL_KEYS: [&str; 4] = ["replica", "members", "cell", "join"];
/// The same inside its section `addresses`.
const CONTROL_ADDRESSES: [&str; 3] = ["cell", "proxies", "operators"];

/// Checks a settings file of either role. Its keys tell the role, and one of them is enough,
/// so that a mistyped key is reported against the right role.
///
/// # Errors
/// A [`SettingsError`] that names the file, key and value.
pub fn check_file(file: &Path) -> Result<(), SettingsError> {
    let keys: toml::Table = parse_file(file)?;
    if is_control(&keys) {
        return ControlSettings::load(file, ControlOverrides::default()).map(drop);
    }
    ProxySettings::load(file, ProxyOverrides::default()).map(drop)
}

fn is_control(keys: &toml::Table) -> bool {
    let addresses = keys.get("addresses").and_then(toml::Value::as_table);
    CONTROL_KEYS.iter().any(|key| keys.contains_key(*key))
        || addresses.is_some_and(|addresses| {
            CONTROL_ADDRESSES.iter().any(|key| addresses.contains_key(*key))
        })
}

/// A setting in milliseconds as a duration.
#[must_use]
pub fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

/// Puts a value given on the command line over the file's.
fn replace<T>(value: &mut T, by: Option<T>) {
    if let Some(by) = by {
        *value = by;
    }
}
