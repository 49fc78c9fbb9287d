//! Writes the results of commands as text tables, JSON or YAML.

use crate::table::Table;
use serde::Serialize;
use std::io::Write;
use std::str::FromStr;

/// Output format of a command, set with `--output`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns of text.
    #[default]
    Table,
    /// Indented JSON.
    Json,
    /// YAML, one document for each value.
    Yaml,
}

/// Error for a word that names no output format; holds the word.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no form of output; there are table, json and yaml")]
pub struct FormatError(pub String);

impl FromStr for Format {
    type Err = FormatError;

    fn from_str(word: &str) -> Result<Self, FormatError> {
        match word {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "yaml" => Ok(Self::Yaml),
            _ => Err(FormatError(word.to_owned())),
        }
    }
}

/// Reason why output could not be written.
#[derive(Debug, thiserror::Error)]
pub enum OutputError {
    /// Writing to the stream failed.
    #[error("output cannot be written")]
    Stream(#[from] std::io::Error),
    /// The value cannot be represented in JSON.
    #[error("output has no JSON form")]
    Json(#[from] serde_json::Error),
    /// The value cannot be represented in YAML.
    #[error("output has no YAML form")]
    Yaml(#[from] serde_yaml_ng::Error),
}

/// Output stream of a command, with the format that the operator asked for.
pub(crate) struct Output<'a> {
    format: Format,
    stream: &'a mut dyn Write,
}

impl<'a> Output<'a> {
    pub(crate) fn new(format: Format, stream: &'a mut dyn Write) -> Self {
        Self { format, stream }
    }

    pub(crate) const fn format(&self) -> Format {
        self.format
    }

    /// Writes a value as JSON or YAML, or writes the table that the closure builds from the value.
    pub(crate) fn write_value<T: Serialize>(
        &mut self,
        value: &T,
        to_table: impl FnOnce(&T) -> Table,
    ) -> Result<(), OutputError> {
        match self.format {
            Format::Table => self.write_text(&to_table(value).to_string()),
            Format::Json => {
                let text = serde_json::to_string_pretty(value)?;
                self.write_line(&text)
            }
            Format::Yaml => self.write_document(value),
        }
    }

    /// Writes a value as one document of a YAML stream, whatever the output format is.
    pub(crate) fn write_document<T: Serialize>(&mut self, value: &T) -> Result<(), OutputError> {
        let text = serde_yaml_ng::to_string(value)?;
        self.write_text(&format!("---\n{text}"))
    }

    /// Writes one line of text and flushes the stream.
    pub(crate) fn write_line(&mut self, text: &str) -> Result<(), OutputError> {
        writeln!(self.stream, "{text}")?;
        Ok(self.stream.flush()?)
    }

    fn write_text(&mut self, text: &str) -> Result<(), OutputError> {
        write!(self.stream, "{text}")?;
        Ok(self.stream.flush()?)
    }
}
