//! Errors of reading, parsing and checking a settings file.

use corktack_core::identity::NameError;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Error of a settings file. Each variant names the file, and the key and value that caused the error if
/// there is one.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("settings file {}: cannot be read", file.display())]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("settings file {}, line {line} ({text:?}): {reason}", file.display())]
    Form {
        /// Path of the file.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Content of the line, with its key and value.
        text: String,
        /// Message of the parser.
        reason: String,
    },
    /// A value has the right type, but is not allowed.
    #[error(transparent)]
    Value(Box<SettingsValueError>),
}

/// Reports a value that has the right type, but is not allowed.
#[derive(Debug, thiserror::Error)]
#[error("settings file {}: {key} = {value}: {problem}", file.display())]
pub struct SettingsValueError {
    /// Path of the file.
    pub file: PathBuf,
    /// Path of the key, for example `limits.callers`.
    pub key: &'static str,
    /// Value as text; a secret is replaced by a placeholder.
    pub value: String,
    /// Rule that the value breaks.
    pub problem: ValueProblem,
}

/// Rule that a value of a settings file breaks.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ValueProblem {
    /// The number is outside its range.
    #[error("must be {} to {}", .0.start(), .0.end())]
    OutOfRange(RangeInclusive<u64>),
    /// The list is empty.
    #[error("must name at least one")]
    EmptyList,
    /// The entry is in its list twice.
    #[error("stands twice")]
    Duplicate,
    /// The value is larger than that of the named key.
    #[error("must not be above {0}")]
    Above(&'static str),
    /// The value is not larger than that of the named key.
    #[error("must be above {0}")]
    NotAbove(&'static str),
    /// The value has no effect without the named setting.
    #[error("has no effect without {0}")]
    RequiresSetting(&'static str),
    /// The text is empty.
    #[error("must not be empty")]
    EmptyText,
    /// The text is not an HTTP path, which begins with `/`.
    #[error("must begin with /")]
    InvalidPath,
    /// The address can be reached from other machines, and its clients do not authenticate; the text names
    /// the setting that helps.
    #[error("is not a loopback address, which needs authentication: {0}")]
    Unauthenticated(&'static str),
    /// The listener of the named key has the same address.
    #[error("is also the address of {0}")]
    SameAddress(&'static str),
    /// The port is 0, but other processes need to know it.
    #[error("must name a port")]
    NoPort,
    /// The name is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The replica's identity is not among the cell's members.
    #[error("is not among the cell's members")]
    NotMember,
    /// The secret is shorter than the given number of characters.
    #[error("must have at least {0} characters")]
    TooShort(usize),
}
