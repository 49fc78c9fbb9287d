//! Why a settings file is refused.

use corktack_core::identity::NameError;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Why settings were refused. Each variant names the file, and the key and value where one is at fault.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("settings file {}: cannot be read", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML of the expected form: a bad type, an unknown or a missing key.
    #[error("settings file {}, line {line} ({text:?}): {reason}", file.display())]
    Form {
        /// The file.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// The line, with its key and value.
        text: String,
        /// What the parser says.
        reason: String,
    },
    /// A value is well formed and not allowed.
    #[error(transparent)]
    Value(Box<SettingsValueError>),
}

/// A value that is well formed and not allowed.
#[derive(Debug, thiserror::Error)]
#[error("settings file {}: {key} = {value}: {problem}", file.display())]
pub struct SettingsValueError {
    /// The file.
    pub file: PathBuf,
    /// Path of the key.
    pub key: &'static str,
    /// The value.
    pub value: String,
    /// What is wrong with it.
    pub problem: ValueProblem,
}

/// What is wrong with a value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ValueProblem {
    /// A number is out of its range.
    #[error("must be {} to {}", .0.start(), .0.end())]
    Range(RangeInclusive<u64>),
    /// A list must not be empty.
    #[error("must name at least one")]
    Empty,
    /// An entry of a list stands twice.
    #[error("stands twice")]
    Duplicate,
    /// Two values that must rise do not.
    #[error("must not be above {0}")]
    Above(&'static str),
    /// Of two values that must differ, the one that must be larger is not.
    #[error("must be above {0}")]
    NotAbove(&'static str),
    /// It has no effect without another setting.
    #[error("has no effect without {0}")]
    Needs(&'static str),
    /// It is empty.
    #[error("must not be empty")]
    EmptyText,
    /// It is no path of HTTP.
    #[error("must begin with /")]
    NoPath,
    /// An address that others can reach takes callers or operators without authentication.
    #[error("is not a loopback address, which needs authentication: {0}")]
    Unauthenticated(&'static str),
    /// Two listeners have one address.
    #[error("is also the address of {0}")]
    SameAddress(&'static str),
    /// The port is zero where other processes must know it.
    #[error("must name a port")]
    NoPort,
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// This replica is not in the list of the cell.
    #[error("is not among the cell's members")]
    NotMember,
    /// The text is too short to be a secret.
    #[error("must have at least {0} characters")]
    TooShort(usize),
}
