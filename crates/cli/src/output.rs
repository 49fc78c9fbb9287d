//! Forms of the output.

use crate::table::Table;
use serde::Serialize;
use std::io::Write;
use std::str::FromStr;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Columns for people.
    #[default]
    Table,
    /// JSON.
    Json,
    /// YAML.
    Yaml,
}

/// A word that names no form of the output.
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

/// Why output could not be written.
#[derive(Debug, thiserror::Error)]
pub enum OutputError {
    /// The stream failed.
    #[error("output cannot be written")]
    Stream(#[from] std::io::Error),
    /// The value has no JSON form.
    #[error("output has no JSON form")]
    Json(#[from] serde_json::Error),
    /// The value has no YAML form.
    #[error("output has no YAML form")]
    Yaml(#[from] serde_yaml_ng::Error),
}

/// Where output goes, and in which form.
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

    /// Writes a value as JSON or YAML, or the table made from it.
    pub(crate) fn value<T: Serialize>(
        &mut self,
        value: &T,
        table: impl FnOnce(&T) -> Table,
    ) -> Result<(), OutputError> {
        match self.format {
            Format::Table => self.text(&table(value).to_string()),
            Format::Json => {
                let text = serde_json::to_string_pretty(value)?;
                self.line(&text)
            }
            Format::Yaml => self.document(value),
        }
    }

    /// Writes one document of a YAML stream.
    pub(crate) fn document<T: Serialize>(&mut self, value: &T) -> Result<(), OutputError> {
        let text = serde_yaml_ng::to_string(value)?;
        self.text(&format!("---\n{text}"))
    }

    /// Writes one line, and flushes it.
    pub(crate) fn line(&mut self, text: &str) -> Result<(), OutputError> {
        writeln!(self.stream, "{text}")?;
        Ok(self.stream.flush()?)
    }

    fn text(&mut self, text: &str) -> Result<(), OutputError> {
        write!(self.stream, "{text}")?;
        Ok(self.stream.flush()?)
    }
}
